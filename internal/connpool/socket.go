package connpool

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

// quiet says whether an idle connection is open and has nothing to read.
func quiet(conn net.Conn) bool {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = control.Read(func(fd uintptr) bool {
		var buffer [1]byte
		_, _, err := unix.Recvfrom(int(fd), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = err == unix.EAGAIN || err == unix.EWOULDBLOCK
		return true
	})
	return err == nil && open
}
