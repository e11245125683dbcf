package process_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/emulator"
)

// TestRequestFraming sends raw bytes for cases of RFC 9112 and for headers that identify the
// request and its caller. Each request is followed by another on the same connection, which must
// not run if the end of the first is ambiguous.
func TestRequestFraming(t *testing.T) {
	const (
		line  = "POST /pay/1 HTTP/1.1\r\nHost: " + host + "\r\nX-Attempt-Id: %s\r\nX-Api-Key: key-1\r\n"
		empty = "Content-Length: 0\r\n\r\n"
	)
	cases := map[string]struct {
		first string
		// status is that of the first answer; zero if there need not be one.
		status int
		// firstRuns and secondRuns tell which of the two requests must reach a server.
		firstRuns, secondRuns bool
	}{
		"body with length":               {line + "Content-Length: 2\r\n\r\nab", 200, true, true},
		"chunked body":                   {line + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n", 200, true, false},
		"chunked with length":            {line + "Content-Length: 7\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nAB", 200, true, false},
		"two lengths":                    {line + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nabc", 400, false, false},
		"invalid length":                 {line + "Content-Length: +2\r\n\r\nab", 400, false, false},
		"unsupported transfer coding":    {line + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 501, false, false},
		"chunked twice":                  {line + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 501, false, false},
		"invalid chunk":                  {line + "Transfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n0\r\n\r\n", 0, false, false},
		"space before colon":             {line + "Content-Length : 2\r\n\r\nab", 400, false, false},
		"folded field":                   {line + "X-A: a\r\n b\r\n" + empty, 200, true, true},
		"bare line feed ends field":      {line + "X-A: a\nX-Api-Key: key-2\r\n" + empty, 400, false, true},
		"two hosts":                      {line + "Host: other.example\r\n" + empty, 400, false, false},
		"two request ids":                {line + "X-Attempt-Id: other\r\n" + empty, 400, false, true},
		"two keys":                       {line + "X-Api-Key: key-2\r\n" + empty, 400, false, true},
		"two deadlines":                  {line + "X-Deadline-Ms: 10\r\nX-Deadline-Ms: 90000\r\n" + empty, 400, false, true},
		"no request id":                  {strings.Replace(line, "X-Attempt-Id: %s", "X-Other: %s", 1) + empty, 400, false, true},
		"target in absolute form":        {strings.Replace(line, "POST /pay/1", "POST http://"+host+"/pay/1?a=b", 1) + empty, 200, true, true},
		"absolute target overrides host": {strings.Replace(strings.Replace(line, "POST /pay/1", "POST http://"+host+"/pay/1", 1), "Host: "+host, "Host: other.example", 1) + empty, 200, true, true},
		"asterisk form":                  {strings.Replace(line, "POST /pay/1", "OPTIONS *", 1) + empty, 200, false, true},
		"header over limit":              {line + "X-A: " + strings.Repeat("a", 20000) + "\r\n" + empty, 431, false, true},
		"old HTTP version":               {strings.Replace(line, "HTTP/1.1", "HTTP/1.0", 1) + empty, 200, true, false},
	}
	f := newFleet(t, 1)
	f.config.Version++
	f.config.Limits.HeaderBytes = 16384
	f.applyConfig(t)
	eventually(t, "the header limit is in force", func() bool { return strings.Contains(f.log.String(), `"version":4`) })
	number := 0
	for name, tc := range cases {
		number++
		first, second := fmt.Sprintf("first-%d", number), fmt.Sprintf("second-%d", number)
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			conn, err := net.Dial("tcp", f.gateways[0].Addresses().Callers)
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			_, err = fmt.Fprintf(conn, tc.first+line+empty, first, second)
			is.NoErr(err)
			reader := bufio.NewReader(conn)
			response, err := readResponse(reader)
			if tc.status != 0 {
				is.NoErr(err)
				is.Equal(response.StatusCode, tc.status)
			}
			if err == nil {
				_, _ = readResponse(reader) // the second answer or the end of the connection
			}
			ran := f.ranIDs()
			is.Equal(ran[first], tc.firstRuns)
			is.Equal(ran[second], tc.secondRuns)
			is.True(!ran["other"])
		})
	}
}

// ranIDs returns the IDs of the requests that the plain servers have run.
func (f *fleet) ranIDs() map[string]bool {
	ran := make(map[string]bool)
	for _, server := range f.plain {
		for _, run := range server.Runs() {
			ran[run.ID] = true
		}
	}
	return ran
}

// readResponse reads an answer and its body.
func readResponse(reader *bufio.Reader) (*http.Response, error) {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response, err
}

// TestBrokenStreamOfOldCaller guards against a stream that breaks off and looks whole to a caller of HTTP 1.0,
// which takes all that comes until the end of the connection for the body.
func TestBrokenStreamOfOldCaller(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1)
	for _, server := range f.engines {
		server.Misbehave(emulator.EndInside, -1)
	}
	conn, err := net.Dial("tcp", f.gateways[0].Addresses().Callers)
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "POST /chat/1 HTTP/1.0\r\nHost: %s\r\nX-Attempt-Id: r\r\nX-Api-Key: key-1\r\nContent-Length: 0\r\n\r\n", host)
	is.NoErr(err)
	received, err := io.ReadAll(conn)
	is.True(strings.HasSuffix(string(received), emulator.Event(2))) // one event of each of two servers
	is.True(errors.Is(err, syscall.ECONNRESET))
}
