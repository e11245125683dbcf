//go:build review2

package standin2

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// handler serves one request that a server has read.
type handler func(s *server, c *serverConn, request *arrival)

// server is one server of a service.
type server struct {
	rig     *rig
	id      string
	service string
	address string
	slots   int
	state   string
	version string
	born    int64
	handle  handler

	mu       sync.Mutex
	sequence int64
	unlisted bool
	leaving  bool
	arrivals []*arrival
}

// arrival is a request as a server has read it.
type arrival struct {
	server *server
	at     time.Time
	method string
	target string
	host   string
	id     string
	header http.Header
	body   []byte
	ran    bool
	number int
}

// isQuestion reports whether the request is a question about the server itself.
func (a *arrival) isQuestion() bool {
	return a.target == "/health" || a.target == "/capersaddle/report"
}

// serverConn is one connection to a server.
type serverConn struct {
	net.Conn
	number int
	served int
	// owed is written before the next answer.
	owed string
}

// addServer starts a server and lists it in the store.
func (r *rig) addServer(service, id string, handle handler) (*server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{rig: r, id: id, service: service, address: listener.Addr().String(), slots: 6, state: "ready", version: "v1", handle: handle}
	r.mu.Lock()
	r.servers = append(r.servers, s)
	r.mu.Unlock()
	s.list()
	go s.accept(listener)
	return s, nil
}

// list writes the server's entry.
func (s *server) list() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unlisted {
		return
	}
	s.sequence++
	entry := map[string]any{
		"service": s.service, "address": s.address, "zone": "tema-hall", "version": s.version, "slots": s.slots,
		"state": s.state, "cold_remaining_ms": 0, "sequence": s.sequence,
	}
	if s.born != 0 {
		entry["born"] = s.born
	}
	data, _ := json.Marshal(entry)
	s.rig.store.Put("servers/"+s.id, data)
}

func (s *server) accept(listener net.Listener) {
	for number := 1; ; number++ {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go s.serve(&serverConn{Conn: conn, number: number})
	}
}

// serve reads the requests of one connection.
func (s *server) serve(c *serverConn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		a := &arrival{server: s, at: time.Now(), method: request.Method, target: request.RequestURI, host: request.Host, id: request.Header.Get("X-Attempt-Id"), header: request.Header, body: body, number: c.served}
		c.served++
		s.mu.Lock()
		s.arrivals = append(s.arrivals, a)
		s.mu.Unlock()
		s.handle(s, c, a)
	}
}

// run marks a request as run.
func (s *server) run(a *arrival) {
	s.mu.Lock()
	a.ran = true
	s.mu.Unlock()
	s.rig.note("server %s runs %s (%s %s)", s.id, a.id, a.method, a.target)
}

// noteLater is note for callers that hold the lock of a server.

// answer writes a whole answer to a request.
func (c *serverConn) answer(s *server, a *arrival, status int, extra, body string) {
	_, _ = io.WriteString(c, s.answerText(a.id, status, extra, body))
}

// answerText returns a whole answer.
func (s *server) answerText(id string, status int, extra, body string) string {
	text := fmt.Sprintf("HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if id != "" {
		text += "X-Attempt-Id: " + id + "\r\n"
	}
	return text + fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", extra, len(body), body)
}

// stamp is the signature of a server.
func (s *server) stamp() string { return "X-Server-Stamp: " + s.id + "\r\n" }

// runsOf returns the servers that ran a request.
func (r *rig) runsOf(id string) []arrival {
	r.mu.Lock()
	servers := append([]*server(nil), r.servers...)
	r.mu.Unlock()
	var found []arrival
	for _, s := range servers {
		for _, a := range s.seen() {
			if a.id == id && a.ran {
				found = append(found, a)
			}
		}
	}
	return found
}

// seen returns the requests that the server has read so far.
func (s *server) seen() []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	copies := make([]arrival, 0, len(s.arrivals))
	for _, a := range s.arrivals {
		copies = append(copies, *a)
	}
	return copies
}
