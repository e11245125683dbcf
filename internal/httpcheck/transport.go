package httpcheck

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"

	"github.com/cockroachdb/errors"
)

// maxInformational is the number of informational responses that may come before a final one.
const maxInformational = 8

var errTooManyInformational = errors.Newf("the server sends more than %d informational responses", maxInformational)

// Transport is a transport of net/http that checks the heads of responses and how their connections end.
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
	defer x.release()
	trace := &httptrace.ClientTrace{
		GotConn:        func(info httptrace.GotConnInfo) { x.begin(info.Conn) },
		WroteRequest:   func(httptrace.WroteRequestInfo) { x.endRequest() },
		Got1xxResponse: x.noteInformational,
	}
	response, err := t.base.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := x.check(response); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	return response, nil
}

// exchange is one request and its response, until that has been checked.
type exchange struct {
	mu sync.Mutex
	// conn is the connection that carries the request; nil before there is one, after release, and if it is
	// encrypted.
	conn *Conn
	// writer is the same, also after release: the request may still be written then.
	writer *Conn
	// informational is the number of informational responses so far.
	informational int
}

// begin takes a connection for the request. net/http may try several.
func (x *exchange) begin(conn net.Conn) {
	x.release()
	checked, ok := conn.(*Conn)
	if !ok {
		return
	}
	checked.exchange.Lock()
	checked.Record()
	checked.BeginRequest()
	x.mu.Lock()
	defer x.mu.Unlock()
	x.conn, x.writer, x.informational = checked, checked, 0
}

// release lets another request use the connection.
func (x *exchange) release() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.conn != nil {
		x.conn.exchange.Unlock()
		x.conn = nil
	}
}

// endRequest notes that the request has been written.
func (x *exchange) endRequest() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.writer != nil {
		x.writer.EndRequest()
	}
}

// noteInformational counts the informational responses.
func (x *exchange) noteInformational(int, textproto.MIMEHeader) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.informational++
	if x.informational > maxInformational {
		return errTooManyInformational
	}
	return nil
}

// check checks the final response. If that is not valid, it closes the connection.
func (x *exchange) check(response *http.Response) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.conn == nil {
		return Head(response, nil)
	}
	text, err := skipInformational(x.conn.Recorded(), x.informational)
	if err == nil {
		err = Head(response, text)
	}
	if err != nil {
		_ = x.conn.Close()
	}
	return err
}
