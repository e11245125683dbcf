package httpcheck

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
)

// Transport is a transport of net/http that checks how the connections of responses end.
type Transport struct {
	base *http.Transport
}

// NewTransport returns a transport that makes its connections and requests as base does, which it owns.
func NewTransport(base *http.Transport) *Transport {
	dial := base.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(conn), nil
	}
	return &Transport{base: base}
}

// CloseIdleConnections closes the connections that carry no request.
func (t *Transport) CloseIdleConnections() {
	t.base.CloseIdleConnections()
}

// RoundTrip sends a request and returns its response. After an error the request may have run, unless no
// connection could be made.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	x := new(exchange)
	trace := &httptrace.ClientTrace{
		GotConn:      func(info httptrace.GotConnInfo) { x.begin(info.Conn) },
		WroteRequest: func(httptrace.WroteRequestInfo) { x.endRequest() },
	}
	return t.base.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
}

// exchange is one request and its response.
type exchange struct {
	mu sync.Mutex
	// conn is the connection that carries the request; nil before there is one, and if it is encrypted.
	conn *Conn
}

func (x *exchange) begin(conn net.Conn) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.conn, _ = conn.(*Conn)
	if x.conn != nil {
		x.conn.BeginRequest()
	}
}

func (x *exchange) endRequest() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.conn != nil {
		x.conn.EndRequest()
	}
}
