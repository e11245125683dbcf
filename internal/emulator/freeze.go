package emulator

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// freezer stops a server's work for a while, as if its host stood still: connections stay open and
// accept bytes, and nothing is answered.
type freezer struct {
	mu sync.Mutex
	// thawed is closed when the server goes on; nil while it runs.
	thawed chan struct{}
}

// Freeze stops the server's work until Thaw is called.
func (s *Server) Freeze() {
	s.freezer.mu.Lock()
	defer s.freezer.mu.Unlock()
	if s.freezer.thawed == nil {
		s.freezer.thawed = make(chan struct{})
	}
}

// Thaw lets a frozen server go on.
func (s *Server) Thaw() {
	s.freezer.mu.Lock()
	defer s.freezer.mu.Unlock()
	if s.freezer.thawed != nil {
		close(s.freezer.thawed)
		s.freezer.thawed = nil
	}
}

// await waits until the server isn't frozen. It returns false if the context ends first.
func (f *freezer) await(ctx context.Context) bool {
	f.mu.Lock()
	thawed := f.thawed
	f.mu.Unlock()
	if thawed == nil {
		return true
	}
	select {
	case <-thawed:
		return true
	case <-ctx.Done():
		return false
	}
}

// freezingWriter writes nothing while the server is frozen.
type freezingWriter struct {
	http.ResponseWriter
	freezer *freezer
	request *http.Request
}

// Unwrap returns the writer for http.ResponseController.
func (w *freezingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader sends the headers.
func (w *freezingWriter) WriteHeader(status int) {
	if w.freezer.await(w.request.Context()) {
		w.ResponseWriter.WriteHeader(status)
	}
}

// Write sends a part of the body.
func (w *freezingWriter) Write(data []byte) (int, error) {
	if !w.freezer.await(w.request.Context()) {
		return 0, net.ErrClosed
	}
	return w.ResponseWriter.Write(data)
}

// silentListener can stop answering attempts to connect, while it stays open.
type silentListener struct {
	net.Listener

	closeOnce sync.Once
	closed    chan struct{}
	mu        sync.Mutex
	silent    bool
	// fillers are the connections that fill its queue.
	fillers []net.Conn
}

// Accept waits for the next connection. A silent listener never returns one.
func (l *silentListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil || !l.isSilent() {
		return conn, err
	}
	<-l.closed
	return nil, net.ErrClosed
}

func (l *silentListener) isSilent() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.silent
}

// Close closes the listener.
func (l *silentListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range l.fillers {
		_ = conn.Close()
	}
	return l.Listener.Close()
}

// refuseSilently makes all further attempts to connect time out: the queue of connections that wait
// to be accepted gets the length zero and is filled.
func (l *silentListener) refuseSilently() {
	const (
		// fillers are one for the Accept that waits and more than the queue holds.
		fillers     = 4
		dialTimeout = 100 * time.Millisecond
	)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silent = true
	raw, err := l.Listener.(syscall.Conn).SyscallConn()
	if err != nil {
		return // the server stays reachable, which tests notice
	}
	_ = raw.Control(func(fd uintptr) { _ = unix.Listen(int(fd), 0) })
	for range fillers {
		if conn, err := net.DialTimeout("tcp", l.Addr().String(), dialTimeout); err == nil {
			l.fillers = append(l.fillers, conn)
		}
	}
}
