package process

import (
	"io"
	"net"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestClientHeadsWithoutEnd guards against routers and agents that keep whatever a target, the store or the host
// list sends as the head of a response, or read informational responses as long as these send them.
func TestClientHeadsWithoutEnd(t *testing.T) {
	cases := map[string]struct{ start, repeated string }{
		"header line":             {"HTTP/1.1 200 OK\r\nX-Filler: ", strings.Repeat("a", 1<<10)},
		"informational responses": {"", "HTTP/1.1 103 X\r\nLink: </a>\r\n\r\n"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address, sent := sendWithoutEnd(t, tc.start, tc.repeated)
			client := newHTTPClient()
			defer client.CloseIdleConnections()
			response, err := client.Get("http://" + address + "/")
			if response != nil {
				_ = response.Body.Close()
			}
			is.True(err != nil)
			const buffered = 8 << 20 // what the kernel may hold of it
			is.True(<-sent <= maxHeaderBytes+buffered)
		})
	}
}

// sendWithoutEnd returns the address of a server that sends a text and then another one, again and again, until
// its caller closes the connection, and a channel that then brings how many bytes it has sent.
func sendWithoutEnd(t *testing.T, start, repeated string) (address string, sent <-chan int) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	result := make(chan int, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		total, err := io.WriteString(conn, start)
		for err == nil {
			var n int
			n, err = io.WriteString(conn, repeated)
			total += n
		}
		result <- total
	}()
	return listener.Addr().String(), result
}
