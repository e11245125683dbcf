//go:build review2

package standin2

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// reply is what a client got.
type reply struct {
	status int
	header http.Header
	body   string
	whole  bool
	err    error
}

// String describes the reply for the record.
func (r reply) String() string {
	if r.status == 0 {
		return fmt.Sprintf("no answer (%v)", r.err)
	}
	return fmt.Sprintf("%d, stamp %q, %d bytes, whole %t", r.status, r.header.Get("X-Server-Stamp"), len(r.body), r.whole)
}

// retryAfter returns the time after which the client may come again.
func (r reply) retryAfter() time.Duration {
	seconds, _ := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
	return time.Duration(seconds * float64(time.Second))
}

// call sends one request on a new connection and reads its answer.
func call(g *gateway, method, target, id, extra, body string, patience time.Duration) reply {
	conn, err := net.DialTimeout("tcp", g.callers, time.Second)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(patience))
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Api-Key: %s\r\nX-Deadline-Ms: %d\r\n%sContent-Length: %d\r\n\r\n%s",
		method, target, host, id, key, patience.Milliseconds(), extra, len(body), body)
	if _, err := io.WriteString(conn, text); err != nil {
		return reply{err: err}
	}
	return readReply(bufio.NewReader(conn), method)
}

func readReply(reader *bufio.Reader, method string) reply {
	response, err := http.ReadResponse(reader, &http.Request{Method: method})
	if err != nil {
		return reply{err: err}
	}
	data, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, header: response.Header, body: string(data), whole: err == nil, err: err}
}
