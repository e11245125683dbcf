// Package socket wraps system calls that the standard library doesn't offer: options of TCP
// connections, and a peek at the data that a connection has received.
package socket

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// UserTimeout returns a Control function for a net.Dialer or net.ListenConfig that sets
// TCP_USER_TIMEOUT: the kernel breaks a connection whose bytes stay unacknowledged for this
// time.
func UserTimeout(timeout time.Duration) func(network, address string, conn syscall.RawConn) error {
	return func(_, _ string, conn syscall.RawConn) error {
		var failure error
		err := conn.Control(func(fd uintptr) {
			failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return failure
	}
}

// Received is the receive state of a connection.
type Received int

// The receive states.
const (
	// Unknown: the connection is no socket, or its state can't be read.
	Unknown Received = iota
	// Nothing: the connection is open, and no data is waiting.
	Nothing
	// Bytes: data is waiting to be read.
	Bytes
	// End: the remote side has closed the connection, or it is broken.
	End
)

// Peek returns the receive state of a connection without reading from it.
func Peek(conn net.Conn) Received {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return Unknown
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return Unknown
	}
	found := Unknown
	err = control.Control(func(fd uintptr) { found = peekFD(int(fd)) })
	if err != nil {
		return End
	}
	return found
}

func peekFD(fd int) Received {
	var buffer [1]byte
	n, _, err := unix.Recvfrom(fd, buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	switch {
	case err == unix.EAGAIN || err == unix.EWOULDBLOCK:
		return Nothing
	case err == nil && n > 0:
		return Bytes
	}
	return End
}

// Output is the send state of a TCP connection.
type Output struct {
	// Broken means that the connection has ended in both directions, as after a reset.
	Broken bool
	// Pending means that there are bytes that the remote side has not acknowledged.
	Pending bool
	// Acknowledged is the number of bytes that it has acknowledged.
	Acknowledged uint64
}

// OutputOf returns the send state of a connection. It returns false if the state can't be read.
func OutputOf(conn syscall.Conn) (Output, bool) {
	control, err := conn.SyscallConn()
	if err != nil {
		return Output{}, false
	}
	var info *unix.TCPInfo
	var failure error
	err = control.Control(func(fd uintptr) {
		info, failure = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err != nil || failure != nil {
		return Output{}, false
	}
	return Output{
		Broken:       info.State == unix.BPF_TCP_CLOSE,
		Pending:      info.Unacked > 0 || info.Notsent_bytes > 0,
		Acknowledged: info.Bytes_acked,
	}, true
}

// Reset closes a connection so that its peer sees it broken off: a peer that reads until the end of the
// connection takes any other end for that of the data. It reaches the socket of a wrapped connection through
// its method NetConn.
func Reset(conn net.Conn) {
	inner := conn
	for {
		wrapped, ok := inner.(interface{ NetConn() net.Conn })
		if !ok {
			break
		}
		inner = wrapped.NetConn()
	}
	if tcp, ok := inner.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	// The socket first: to close a TLS connection would announce an end.
	_ = inner.Close()
	_ = conn.Close()
}
