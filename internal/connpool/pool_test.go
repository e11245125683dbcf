package connpool

import (
	"bufio"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestForgottenConnections: once a rested connection was found dead, requests
// that may not be repeated get only connections that have rested for less.
func TestForgottenConnections(t *testing.T) {
	is := is.New(t)
	p := New(nil)
	conn := &Conn{IdleTimeout: 8 * time.Second}
	is.Equal(p.longestRest(conn, false), 6*time.Second)
	p.NoteStale(&Conn{rested: 100 * time.Millisecond}) // the target itself has failed
	is.Equal(p.longestRest(conn, false), 6*time.Second)
	p.NoteStale(&Conn{rested: 2 * time.Second})
	is.Equal(p.longestRest(conn, false), time.Second)
	is.Equal(p.longestRest(conn, true), 6*time.Second)
}

// TestSilentConnections: a connection that has rested and says nothing tells of the
// others to its target, a new one does not.
func TestSilentConnections(t *testing.T) {
	cases := map[string]struct {
		silent *Conn
		left   int
	}{
		"one that had rested": {&Conn{target: "s", restedAt: time.Unix(1, 0)}, 0},
		"a new one":           {&Conn{target: "s"}, 1},
		"one to another":      {&Conn{target: "other", restedAt: time.Unix(1, 0)}, 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := New(nil)
			one, other := net.Pipe()
			defer func() { _ = other.Close() }()
			p.Put(&Conn{Conn: one, Reader: bufio.NewReader(one), target: "s", IdleTimeout: 4 * time.Second})
			p.NoteUnresponsive(tc.silent)
			is.Equal(len(p.idle["s"]), tc.left)
		})
	}
}

func TestSweep(t *testing.T) {
	is := is.New(t)
	p := New(nil)
	one, other := net.Pipe()
	defer func() { _ = other.Close() }()
	p.Put(&Conn{Conn: one, Reader: bufio.NewReader(one), target: "s", IdleTimeout: 4 * time.Second})
	p.Sweep(time.Now())
	is.Equal(len(p.idle["s"]), 1)
	p.Sweep(time.Now().Add(4 * time.Second))
	is.Equal(len(p.idle), 0)
}
