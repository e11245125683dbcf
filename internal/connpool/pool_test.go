package connpool

import (
	"bufio"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/httpcheck"
)

// TestStaleConnections checks that, once an idle connection was found dead, requests that must
// not be repeated get only connections that were idle for less.
func TestStaleConnections(t *testing.T) {
	is := is.New(t)
	p := New(nil)
	conn := &Conn{IdleTimeout: 8 * time.Second}
	is.Equal(p.maxIdleTime(conn, false), 6*time.Second)
	p.NoteStale(&Conn{idleTime: 100 * time.Millisecond}) // idle too briefly: the target itself has failed
	is.Equal(p.maxIdleTime(conn, false), 6*time.Second)
	p.NoteStale(&Conn{idleTime: 2 * time.Second})
	is.Equal(p.maxIdleTime(conn, false), time.Second)
	is.Equal(p.maxIdleTime(conn, true), 6*time.Second)
}

// TestUnresponsiveConnections checks that a connection that was idle before it became
// unresponsive closes the target's other idle connections, and that a new one does not.
func TestUnresponsiveConnections(t *testing.T) {
	cases := map[string]struct {
		unresponsive *Conn
		wantIdle     int
	}{
		"previously idle": {&Conn{target: "s", idleSince: time.Unix(1, 0)}, 0},
		"new":             {&Conn{target: "s"}, 1},
		"other target":    {&Conn{target: "other", idleSince: time.Unix(1, 0)}, 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := New(nil)
			local, remote := net.Pipe()
			defer func() { _ = remote.Close() }()
			p.Put(&Conn{Conn: httpcheck.NewConn(local), Reader: bufio.NewReader(local), target: "s", IdleTimeout: 4 * time.Second})
			p.NoteUnresponsive(tc.unresponsive)
			is.Equal(len(p.idle["s"]), tc.wantIdle)
		})
	}
}

func TestSweep(t *testing.T) {
	is := is.New(t)
	p := New(nil)
	local, remote := net.Pipe()
	defer func() { _ = remote.Close() }()
	p.Put(&Conn{Conn: httpcheck.NewConn(local), Reader: bufio.NewReader(local), target: "s", IdleTimeout: 4 * time.Second})
	p.Sweep(time.Now())
	is.Equal(len(p.idle["s"]), 1)
	p.Sweep(time.Now().Add(4 * time.Second))
	is.Equal(len(p.idle), 0)
}
