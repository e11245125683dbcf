package emulator

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

// Fatal are requests that end every server which begins to run one.
type Fatal struct {
	// Body is how their bodies begin.
	Body string
	// After is the time from the begin of its run to the server's end.
	After time.Duration
	// Back is the time from there until the next life of the server listens at the same
	// address, and its entry follows; zero is never.
	Back time.Duration
}

// lapseAfter is how long after a server's end its entry goes: after three heartbeats.
const lapseAfter = 3 * time.Second

// meets ends the server a moment after a fatal request has begun to run; true for such a
// request. s.mu is held.
func (s *Server) meets(run Run) bool {
	fatal := s.options.Fatal
	if fatal == nil || s.mended || !run.Ran || !strings.HasPrefix(run.Body, fatal.Body) {
		return false
	}
	time.AfterFunc(fatal.After, s.crash)
	return true
}

// runFatal answers a fatal request with what there is of an answer until the server ends,
// however late that is: none of them is ever answered whole.
func (s *Server) runFatal(w http.ResponseWriter, r *http.Request, after int) {
	if s.options.Events > 0 {
		s.stream(w, r, Sound, after, 1)
	}
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// Mend has requests end no server any more.
func (p *Platform) DisableCrashes() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mended = true
	for _, known := range p.servers {
		known.mend()
	}
}

func (s *Server) mend() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mended = true
}

// onEnd sets what is called when the server ends under a request.
func (s *Server) onEnd(ended func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = ended
}

// crash ends the server with all its connections, as when its process dies.
func (s *Server) crash() {
	s.mu.Lock()
	again, ended := s.crashed, s.ended
	s.crashed = true
	s.mu.Unlock()
	if again {
		return
	}
	_ = s.http.Close()
	if ended != nil {
		ended()
	}
}

// outlive has another life of a server begin after its end, and its entry lapse.
func (p *Platform) outlive(of listed, life int) {
	if !of.options.KeepsID {
		p.after(lapseAfter, func() { p.Leave(of.Server) })
	}
	fatal := of.options.Fatal
	if fatal == nil || fatal.Back == 0 {
		return
	}
	options := of.options
	if !options.KeepsID {
		options.ID = fmt.Sprintf("%s-%d", of.firstID, life)
	}
	p.after(fatal.Back, func() {
		// A failure shows by the server's absence.
		_ = p.addLife(&listed{service: of.service, zone: of.zone, firstID: of.firstID}, of.Address(), options, life)
	})
}

// Restart ends a server, with all that it had, and begins another life of it at once, at
// its address and under its id.
func (p *Platform) Restart(server *Server) (*Server, error) {
	p.mu.Lock()
	at := slices.IndexFunc(p.servers, func(known listed) bool { return known.Server == server })
	of := p.servers[at]
	p.mu.Unlock()
	server.crash()
	next := listed{service: of.service, zone: of.zone, firstID: of.firstID}
	err := p.addLife(&next, server.Address(), server.options, 1)
	return next.Server, err
}

// after does something later, unless the platform has ended.
func (p *Platform) after(wait time.Duration, do func()) {
	p.wait.Go(func() {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-timer.C:
			do()
		case <-p.done:
		}
	})
}

// RunsOf are the requests that all lives of a service's servers have got.
func (p *Platform) RunsOf(service string) []Run {
	p.mu.Lock()
	defer p.mu.Unlock()
	var runs []Run
	for _, known := range p.servers {
		if known.service == service {
			runs = append(runs, known.Runs()...)
		}
	}
	return runs
}

// Crashes are when servers of a service ended under fatal requests, in order.
func (p *Platform) Crashes(service string) []time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]time.Time(nil), p.crashes[service]...)
}
