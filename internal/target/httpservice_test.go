package target

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// startClosingServer starts a server that answers the first request of each connection, and
// closes the connection after reading a second one, as a server that crashes right after it has
// run a request.
func startClosingServer(t *testing.T) (address string, seen *atomic.Int32) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	seen = new(atomic.Int32)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveConn(conn, seen)
		}
	}()
	return listener.Addr().String(), seen
}

func serveConn(conn net.Conn, seen *atomic.Int32) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for first := true; ; first = false {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		seen.Add(1)
		if !first {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	}
}

// TestTransportDoesNotResend checks that the transport never resends a request when a kept
// connection breaks, with or without a body, although the request carries an idempotency key.
func TestTransportDoesNotResend(t *testing.T) {
	tests := map[string][]byte{"with a body": []byte("{}"), "without a body": nil}
	for name, body := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address, seen := startClosingServer(t)
			service := &HTTPService{Base: "http://" + address, Client: &http.Client{Transport: &http.Transport{}}}
			request := ServiceRequest{Method: http.MethodPost, Path: "/credit", Header: http.Header{"Idempotency-Key": {"k"}}, Body: body}
			response, err := service.Do(t.Context(), request)
			is.NoErr(err)
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			_, err = service.Do(t.Context(), request)
			is.True(err != nil)
			is.True(!errors.Is(err, ErrRefused)) // the request may have run
			is.Equal(seen.Load(), int32(2))      // the second request was sent once
		})
	}
}

// TestRefusedOnlyIfNotConnected checks that only a failure to connect is reported as not run.
func TestRefusedOnlyIfNotConnected(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := listener.Addr().String()
	_ = listener.Close()
	service := &HTTPService{Base: "http://" + address, Client: http.DefaultClient}
	_, err = service.Do(t.Context(), ServiceRequest{Method: http.MethodPost, Path: "/", Header: http.Header{}})
	is.True(errors.Is(err, ErrRefused))
}

// TestRedirectIsAnAnswer guards against an HTTP client that follows a redirect: it sends a request that no caller
// sent, and where nothing listens at the other address, a call that has run counts as not run and is sent again.
func TestRedirectIsAnAnswer(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	closed := "http://" + listener.Addr().String()
	_ = listener.Close()
	var followed atomic.Int32
	other := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { followed.Add(1) }))
	defer other.Close()
	for name, location := range map[string]string{"nobody listens there": closed, "somebody listens there": other.URL} {
		for _, status := range []int{http.StatusFound, http.StatusTemporaryRedirect} {
			t.Run(fmt.Sprintf("%s, %d", name, status), func(t *testing.T) {
				is := is.New(t)
				followed.Store(0)
				server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					w.Header().Set("Location", location)
					w.WriteHeader(status)
				}))
				defer server.Close()
				service := &HTTPService{Base: server.URL, Client: new(http.Client)}
				response, err := service.Do(t.Context(), ServiceRequest{Method: http.MethodPost, Path: "/credit", Header: http.Header{}, Body: []byte("{}")})
				is.NoErr(err)
				is.NoErr(response.Body.Close())
				is.Equal(response.Status, status)
				is.Equal(response.Header.Get("Location"), location)
				is.Equal(followed.Load(), int32(0))
			})
		}
	}
}
