package emulator

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Mode is the way in which a server misbehaves.
type Mode string

// The modes of a server.
const (
	// Sound answers correctly.
	Sound Mode = ""
	// Error runs the request and answers 500.
	Error Mode = "error"
	// Shed does not run the request and says so in the response.
	Shed Mode = "shed"
	// Busy runs the request and answers 503.
	Busy Mode = "busy"
	// ResetAfter runs the request and resets the connection.
	ResetAfter Mode = "reset"
	// Mute accepts the request and sends nothing until the caller disconnects.
	Mute Mode = "mute"
	// CutMiddle aborts in the middle of the response, inside an event.
	CutMiddle Mode = "cut"
	// Unframed sends a response without a length, which ends when the connection closes.
	Unframed Mode = "unframed"
	// Foreign sends the response to another request before the actual one.
	Foreign Mode = "foreign"
	// Encoded claims a content encoding that the response doesn't have.
	Encoded Mode = "encoded"
	// Garbage sends bytes that are no HTTP response.
	Garbage Mode = "garbage"
	// Unsigned sends a response without the server's signature.
	Unsigned Mode = "unsigned"
	// EndInside sends an unframed stream that ends inside an event.
	EndInside Mode = "end_inside"
	// UnframedReset sends a part of an unframed response and resets the connection.
	UnframedReset Mode = "unframed_reset"
	// Early answers before it has read the body.
	Early Mode = "early"
	// EarlyReset sends a part of an unframed response before it has read the body, and resets the connection.
	EarlyReset Mode = "early_reset"
)

// Run is one request as a server received it.
type Run struct {
	// Server identifies the incarnation of the server.
	Server string
	ID     string
	Method string
	URI    string
	Host   string
	Header http.Header
	Body   string
	// After is the ID of the event after which a stream resumes; zero means from the start.
	After int
	// Ran reports that the server processed the request.
	Ran bool
	// At is when the request arrived.
	At time.Time
}

// ServerOptions describe an emulated server.
type ServerOptions struct {
	// ID identifies this incarnation of the server.
	ID string
	// Events is the number of events in a stream; zero makes the server a plain service.
	Events int
	// Gap is the pause between events.
	Gap time.Duration
	// Work is the time to the response header.
	Work time.Duration
	// Version is the version of the server's software, and Weights that of its model, as its
	// entry states them. An empty Version means the first version; zero Weights state nothing.
	Version string
	Weights int
	// VersionInEvents puts the version into each event of a stream.
	VersionInEvents bool
	// CutEvery makes every so many-th request break off in the middle of its response; zero means
	// none does.
	CutEvery int
	// Bad describes how the version fails; nil for a good version.
	Bad *Bad
	// KeepsID makes further incarnations of the server keep its ID. Its entry then tells them
	// apart by their start time.
	KeepsID bool
	// ReportsNothing makes the server know no report.
	ReportsNothing bool
	// Fatal describes the requests that crash the server; may be nil.
	Fatal *Fatal
}

// Server emulates one server: a plain service or a model server.
type Server struct {
	options  ServerOptions
	listener *silentListener
	http     *http.Server
	// startTime is when this incarnation started.
	startTime time.Time

	mu               sync.Mutex
	mode             Mode
	misbehaviorsLeft int
	oneShot          *OneShotFault
	flaw             *flaw
	runs             []Run
	inFlight         int
	notice           Notice
	sentNotices      []SentNotice
	// reports counts the questions for the server's report.
	reports int
	// crashed reports that a request has crashed the server; onCrash is called then.
	crashed bool
	onCrash func()
	// silent reports that it has crashed in silence: its connections stay open.
	silent bool
	// crashesDisabled stops fatal requests from crashing the server.
	crashesDisabled bool
	wait            sync.WaitGroup

	silencer connectionSilencer
	freezer  freezer
}

// NewServer serves on an address, IP:port; port 0 picks a free port.
func NewServer(address string, options ServerOptions) (*Server, error) {
	tcp, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	listener := &silentListener{Listener: tcp, closed: make(chan struct{})}
	s := &Server{options: options, listener: listener, flaw: newFlaw(options.Bad, options.ID), startTime: time.Now()}
	s.http = &http.Server{Handler: s, ReadHeaderTimeout: time.Minute}
	s.wait.Go(func() { _ = s.http.Serve(listener) })
	return s, nil
}

// Address returns the address at which the server listens.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// ID returns the ID of this incarnation of the server.
func (s *Server) ID() string {
	return s.options.ID
}

// Born returns the start of this incarnation of the server in Unix milliseconds.
func (s *Server) Born() int64 {
	return s.startTime.UnixMilli()
}

// Close stops the server and closes all its connections.
func (s *Server) Close() error {
	err := s.http.Close()
	s.wait.Wait()
	return err
}

// Misbehave sets the mode of the next requests; a negative number applies it to all.
func (s *Server) Misbehave(mode Mode, times int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode, s.misbehaviorsLeft = mode, times
}

// TurnBad makes the server fail as described from now on; nil ends that.
func (s *Server) TurnBad(bad *Bad) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.flaw = newFlaw(bad, s.options.ID)
}

// OneShotFault affects a single request, at the first of several servers that it reaches.
type OneShotFault struct {
	id string

	mu   sync.Mutex
	done bool
}

// NewOneShotFault returns a fault for the request with the given ID.
func NewOneShotFault(id string) *OneShotFault {
	return &OneShotFault{id: id}
}

// trigger reports whether the fault applies to a request now. It applies once.
func (o *OneShotFault) trigger(id string) bool {
	if o == nil || id != o.id {
		return false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	triggered := !o.done
	o.done = true
	return triggered
}

// MisbehaveOnce sets the mode of the request that a fault affects, which several servers share.
func (s *Server) MisbehaveOnce(mode Mode, once *OneShotFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode, s.misbehaviorsLeft, s.oneShot = mode, 0, once
}

// SilenceConnections makes the server ignore all further requests on the connections used so
// far.
func (s *Server) SilenceConnections() {
	s.silencer.silenceKnown()
}

// Runs returns the requests received so far.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}

// InFlight returns the number of requests in flight.
func (s *Server) InFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inFlight
}

// recordRequest records a request. It returns the request's mode, the factor by which its
// response is slower than a good server's, and whether the request is fatal, in which case the
// crash is already scheduled.
func (s *Server) recordRequest(run Run) (mode Mode, slower float64, fatal bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	mode, slower = s.flaw.apply(run, s.inFlight+1)
	if s.options.CutEvery > 0 && len(s.runs)%s.options.CutEvery == s.options.CutEvery-1 {
		mode = CutMiddle
	}
	if s.misbehaviorsLeft != 0 || s.oneShot.trigger(run.ID) {
		mode = s.mode
	}
	if s.misbehaviorsLeft != 0 {
		s.misbehaviorsLeft--
	}
	run.Ran = mode != Shed && mode != Early
	run.At = time.Now()
	run.Server = s.options.ID + "@" + s.startTime.String()
	s.runs = append(s.runs, run)
	s.inFlight++
	return mode, slower, s.crashIfFatal(run)
}

func (s *Server) finishRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
}

// ServeHTTP serves one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.silencer.holdIfSilenced(r) || s.holdIfSilent(r) || !s.freezer.await(r.Context()) {
		return
	}
	w = &freezingWriter{ResponseWriter: w, freezer: &s.freezer, request: r}
	if r.URL.Path == "/health" {
		if s.answerHealthEndless(w) {
			return
		}
		w.Header().Set("X-Instance-Id", s.options.ID)
		return
	}
	if r.URL.Path == "/capersaddle/report" {
		s.answerReport(w)
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
	early := (s.mode == Early || s.mode == EarlyReset) && s.misbehaviorsLeft != 0
	s.mu.Unlock()
	if !early {
		body, _ = io.ReadAll(r.Body)
	}
	lastEventID, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	mode, slower, fatal := s.recordRequest(Run{ID: id, Method: r.Method, URI: r.RequestURI, Host: r.Host, Header: r.Header.Clone(), Body: string(body), After: lastEventID})
	defer s.finishRequest()
	w.Header().Set("X-Attempt-Id", id)
	w.Header().Set("X-Server-Stamp", s.stamp(id))
	if !pause(r, scaleDuration(s.options.Work, slower)) {
		return
	}
	if fatal {
		s.runFatal(w, r, lastEventID)
	}
	s.answer(w, r, mode, lastEventID, slower)
}
