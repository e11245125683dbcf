package soak

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestManyCallers guards against gateways that outgrow their memory by what callers open or begin and never
// end: each connection and each head of a request was bounded, all of them together were not.
func TestManyCallers(t *testing.T) {
	binary := buildBinary(t)
	const begin = "POST /ask/1 HTTP/1.1\r\nHost: " + host + "\r\n"
	cases := map[string]struct {
		connections int
		// sent is what a caller sends on each connection.
		sent string
	}{
		"idle connections":                 {5000, ""},
		"connections idle since a request": {5000, begin + "Content-Length: 0\r\n\r\n"},
		"a byte of a request each":         {5000, begin[:1]},
		"half a long header line each":     {3000, begin + "Fill: " + strings.Repeat("a", 60<<10)},
		"half of many headers each":        {3000, begin + manyHeaders(60<<10)},
	}
	usual := endsRun(t, binary, "nothing", func(*soak) {}).peak
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			result := endsRun(t, binary, name, func(s *soak) {
				s.openCallers(s.gateways[0], test.connections, test.sent)
			})
			is.True(result.peak <= usual+memoryRise)
			is.True(result.served >= minServed)
		})
	}
}

// manyHeaders returns headers of different names that take some bytes altogether.
func manyHeaders(size int) string {
	var headers strings.Builder
	for number := 0; headers.Len() < size; number++ {
		fmt.Fprintf(&headers, "Fill-%d: a\r\n", number)
	}
	return headers.String()
}

// openCallers opens connections to a gateway one after the other, sends the same on each, and leaves them open.
func (s *soak) openCallers(g *gateway, connections int, sent string) {
	const timeout = time.Second
	for range connections {
		conn, err := net.DialTimeout("tcp", g.callers, timeout)
		if err != nil {
			return // its queue of connections is full
		}
		s.t.Cleanup(func() { _ = conn.Close() })
		_ = conn.SetWriteDeadline(time.Now().Add(timeout))
		_, _ = conn.Write([]byte(sent)) // the gateway may have closed it
	}
}
