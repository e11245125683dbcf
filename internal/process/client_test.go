package process

import (
	"io"
	"net"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// TestClientHeadWithoutEnd guards against routers and agents that keep whatever a target, the store or the
// host list sends as the head of a response.
func TestClientHeadWithoutEnd(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	var sent atomic.Int64
	done := make(chan struct{})
	go func() {
		defer close(done)
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Filler: ")
		part := make([]byte, 1<<10)
		for i := range part {
			part[i] = 'a'
		}
		for err == nil {
			var n int
			n, err = conn.Write(part)
			sent.Add(int64(n))
		}
	}()
	client := newHTTPClient()
	defer client.CloseIdleConnections()
	response, err := client.Get("http://" + listener.Addr().String() + "/")
	if response != nil {
		_ = response.Body.Close()
	}
	is.True(err != nil)
	<-done
	const buffered = 8 << 20 // what the kernel may hold of it
	is.True(sent.Load() <= maxHeaderBytes+buffered)
}

// TestClientInformationalWithoutEnd guards against routers and agents that read informational responses as long
// as a target sends them.
func TestClientInformationalWithoutEnd(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	done := make(chan struct{})
	go func() {
		defer close(done)
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		for err == nil {
			_, err = io.WriteString(conn, "HTTP/1.1 103 X\r\nLink: </a>\r\n\r\n")
		}
	}()
	client := newHTTPClient()
	defer client.CloseIdleConnections()
	response, err := client.Get("http://" + listener.Addr().String() + "/")
	if response != nil {
		_ = response.Body.Close()
	}
	is.True(err != nil)
	<-done
}
