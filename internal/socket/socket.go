// Package socket does what the standard library leaves to the system's calls:
// options of TCP connections, and a look at what a connection has received.
package socket

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// UserTimeout has a connection broken when bytes stay unacknowledged
// for so long.
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

// Received is what a look at a connection shows.
type Received int

// What a look shows.
const (
	// Unknown: the connection is no socket, or can't be looked at.
	Unknown Received = iota
	// Nothing: it is open, and nothing waits to be read.
	Nothing
	// Bytes wait to be read.
	Bytes
	// End: the other side has closed it, or it is broken.
	End
)

// Look says what has been received on a connection, without reading it.
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
