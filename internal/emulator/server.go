package emulator

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Mode is how a server misbehaves.
type Mode string

// The modes of a server.
const (
	// Sound: it answers as it should.
	Sound Mode = ""
	// Error: it runs the request and answers 500.
	Error Mode = "error"
	// Shed: it does not run the request and says so.
	Shed Mode = "shed"
	// Busy: it runs the request and answers 503.
	Busy Mode = "busy"
	// ResetAfter: it runs the request and resets the connection.
	ResetAfter Mode = "reset"
	// Mute: it takes the request and says nothing until its caller leaves.
	Mute Mode = "mute"
	// CutMiddle: it breaks off in the middle of its answer, inside an event.
	CutMiddle Mode = "cut"
	// Unframed: its answer has no length and ends with the connection.
	Unframed Mode = "unframed"
	// Foreign: an answer to another request stands before its own.
	Foreign Mode = "foreign"
	// Encoded: its answer claims an encoding.
	Encoded Mode = "encoded"
	// Garbage: its bytes are no answer.
	Garbage Mode = "garbage"
	// Unsigned: its answer lacks its signature.
	Unsigned Mode = "unsigned"
	// EndInside: its stream, without framing, ends inside an event.
	EndInside Mode = "end_inside"
	// Early: it answers before it has read the body.
	Early Mode = "early"
)

// Run is one request as a server got it.
type Run struct {
	// Server names the life of the server.
	Server string
	ID     string
	Method string
	URI    string
	Host   string
	Header http.Header
	Body   string
	// After is the event behind which a stream goes on; zero for none.
	After int
	// Ran says that the server worked on it.
	Ran bool
	// At is when it came.
	At time.Time
}

// ServerOptions describe a stand-in server.
type ServerOptions struct {
	// ID names this life of the server.
	ID string
	// Events is how many events a stream has; zero is a plain service.
	Events int
	// Gap is the pause between events.
	Gap time.Duration
	// Work is the time to the head of an answer.
	Work time.Duration
	// Version is that of its software and Weights that of its model, as its entry
	// states them; empty is the first version, and zero states nothing.
	Version string
	Weights int
	// Bad is how the version fails; nil for a good one.
	Bad *Bad
	// KeepsID says that further lives of the server have its id; its entry then tells them
	// apart by when they began.
	KeepsID bool
	// Fatal are requests that end the server; nil for none.
	Fatal *Fatal
}

// Server is a stand-in of one server: a plain service or a model server.
type Server struct {
	options  ServerOptions
	listener net.Listener
	http     *http.Server
	// born is when this life began.
	born time.Time

	mu    sync.Mutex
	mode  Mode
	times int
	once  *OneShotFault
	flaw  *flaw
	runs  []Run
	live  int
	says  Notice
	said  []SentNotice
	// crashed says that the server has ended under a request; ended is called then.
	crashed bool
	ended   func()
	// mended says that no request ends the server any more.
	mended bool
	wait   sync.WaitGroup

	silence silence
}

// NewServer serves on an address, IP:port; port 0 takes a free one.
func NewServer(address string, options ServerOptions) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Server{options: options, listener: listener, flaw: newFlaw(options.Bad, options.ID), born: time.Now()}
	s.http = &http.Server{Handler: s, ReadHeaderTimeout: time.Minute}
	s.wait.Go(func() { _ = s.http.Serve(listener) })
	return s, nil
}

// Address is where the server listens.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// ID names this life of the server.
func (s *Server) ID() string {
	return s.options.ID
}

// Close ends the server and all its connections.
func (s *Server) Close() error {
	err := s.http.Close()
	s.wait.Wait()
	return err
}

// Misbehave sets how the next so many requests go; negative is all.
func (s *Server) Misbehave(mode Mode, times int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode, s.times = mode, times
}

// TurnBad has the server fail in a way from now on; nil ends that.
func (s *Server) TurnBad(bad *Bad) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.flaw = newFlaw(bad, s.options.ID)
}

// Once is a fault that strikes one request, at the first of several servers
// that it reaches.
type OneShotFault struct {
	id string

	mu   sync.Mutex
	done bool
}

// NewOneShotFault returns a fault for the request with an id.
func NewOneShotFault(id string) *OneShotFault {
	return &OneShotFault{id: id}
}

// strikes says whether the fault strikes a request now.
func (o *OneShotFault) strikes(id string) bool {
	if o == nil || id != o.id {
		return false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	struck := !o.done
	o.done = true
	return struck
}

// MisbehaveOnce sets how the request of a fault goes that several servers
// share.
func (s *Server) MisbehaveOnce(mode Mode, once *OneShotFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode, s.times, s.once = mode, 0, once
}

// SilenceConnections has the connections that were used so far say nothing more.
func (s *Server) SilenceConnections() {
	s.silence.fall()
}

// Runs are the requests got so far.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}

// Live is how many requests are at the server now.
func (s *Server) InFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.live
}

// enter records a request and gives the mode that it gets, and how many times slower
// than a good server's its answer is. A fatal request has begun to end the server.
func (s *Server) enter(run Run) (mode Mode, slower float64, fatal bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	mode, slower = s.flaw.strikes(run, s.live+1)
	if s.times != 0 || s.once.strikes(run.ID) {
		mode = s.mode
	}
	if s.times != 0 {
		s.times--
	}
	run.Ran = mode != Shed && mode != Early
	run.At = time.Now()
	run.Server = s.options.ID + "@" + s.born.String()
	s.runs = append(s.runs, run)
	s.live++
	return mode, slower, s.meets(run)
}

func (s *Server) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.live--
}

// ServeHTTP serves one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.silence.swallows(r) {
		return
	}
	if r.URL.Path == "/health" {
		w.Header().Set("X-Instance-Id", s.options.ID)
		return
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != s.options.ID {
		w.Header().Set("X-Instance-Id", s.options.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	if id == "" {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	var body []byte
	s.mu.Lock()
	early := s.mode == Early && s.times != 0
	s.mu.Unlock()
	if !early {
		body, _ = io.ReadAll(r.Body)
	}
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	mode, slower, fatal := s.enter(Run{ID: id, Method: r.Method, URI: r.RequestURI, Host: r.Host, Header: r.Header.Clone(), Body: string(body), After: after})
	defer s.leave()
	w.Header().Set("X-Attempt-Id", id)
	w.Header().Set("X-Server-Stamp", s.stamp(id))
	if !pause(r, times(s.options.Work, slower)) {
		return
	}
	if fatal {
		s.runFatal(w, r, after)
	}
	s.answer(w, r, mode, after, slower)
}
