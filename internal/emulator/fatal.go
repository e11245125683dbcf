package emulator

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

// Fatal describes requests that crash every server that starts to process one.
type Fatal struct {
	// Body is the prefix of the bodies of fatal requests; empty if bodies are harmless.
	Body string
	// Parts are the IDs of fatal parts: a request is fatal if its prompt holds one of them in any
	// place but the last.
	Parts []string
	// After is the time from the start of processing to the crash.
	After time.Duration
	// Back is the time from the crash until the next incarnation of the server listens at the
	// same address and is registered; zero means never.
	Back time.Duration
	// Silent makes a crashed server keep its listener and its connections and answer nothing
	// more, like a process that hangs. It requires that Back is zero.
	Silent bool
	// Unreachable makes a server that crashes in silence answer no attempt to connect either, like a
	// host that has lost its power.
	Unreachable bool
}

// matches reports whether a request is fatal.
func (f *Fatal) matches(run Run) bool {
	if f.Body != "" && strings.HasPrefix(run.Body, f.Body) {
		return true
	}
	return slices.ContainsFunc(run.SharedParts(), func(part string) bool { return slices.Contains(f.Parts, part) })
}

// SharedParts returns the IDs of the parts of the request's prompt but the last.
func (r Run) SharedParts() []string {
	var ids []string
	for part := range strings.SplitSeq(r.Header.Get("X-Prompt-Prefix"), ",") {
		id, _, _ := strings.Cut(part, ":")
		ids = append(ids, id)
	}
	return ids[:max(len(ids)-1, 0)]
}

// entryTimeout is the time after a crash at which the server's entry expires: three heartbeats.
const entryTimeout = 3 * time.Second

// crashIfFatal schedules a crash if a request is fatal and starts to run, and reports whether
// it did. The caller holds s.mu.
func (s *Server) crashIfFatal(run Run) bool {
	fatal := s.options.Fatal
	if fatal == nil || s.crashesDisabled || !run.Ran || !fatal.matches(run) {
		return false
	}
	time.AfterFunc(fatal.After, func() {
		s.crash(fatal.Silent)
		if fatal.Unreachable {
			s.listener.refuseSilently()
		}
	})
	return true
}

// runFatal writes a partial response to a fatal request until the server crashes. It never
// completes the response, however late the crash is.
func (s *Server) runFatal(w http.ResponseWriter, r *http.Request, lastEventID int) {
	if s.options.Events > 0 {
		s.writeStream(w, r, Sound, lastEventID, 1)
	}
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// DisableCrashes stops fatal requests from crashing servers.
func (p *Platform) DisableCrashes() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.crashesDisabled = true
	for _, known := range p.servers {
		known.disableCrashes()
	}
}

func (s *Server) disableCrashes() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashesDisabled = true
}

// setOnCrash sets the function that is called when a request crashes the server.
func (s *Server) setOnCrash(onCrash func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onCrash = onCrash
}

// crash closes the listener and all connections, as when the server's process dies. If silent is
// true they stay open, and nothing more is answered.
func (s *Server) crash(silent bool) {
	s.mu.Lock()
	if s.crashed {
		s.mu.Unlock()
		return
	}
	s.crashed, s.silent = true, silent
	onCrash := s.onCrash
	s.mu.Unlock()
	if !silent {
		_ = s.http.Close()
	}
	if onCrash != nil {
		onCrash()
	}
}

// holdIfSilent blocks a request to a server that has crashed in silence until its caller
// disconnects, and returns true. For other servers it returns false.
func (s *Server) holdIfSilent(r *http.Request) bool {
	s.mu.Lock()
	silent := s.silent
	s.mu.Unlock()
	if silent {
		<-r.Context().Done()
	}
	return silent
}

// scheduleRestart schedules the expiry of a crashed server's entry and the start of its next
// incarnation.
func (p *Platform) scheduleRestart(crashed registeredServer, incarnation int) {
	if !crashed.options.KeepsID {
		p.runAfter(entryTimeout, func() { p.Leave(crashed.Server) })
	}
	fatal := crashed.options.Fatal
	if fatal == nil || fatal.Back == 0 {
		return
	}
	options := crashed.options
	if !options.KeepsID {
		options.ID = fmt.Sprintf("%s-%d", crashed.firstID, incarnation)
	}
	p.runAfter(fatal.Back, func() {
		// An error needs no handling: the server stays absent, which tests notice.
		_ = p.addIncarnation(&registeredServer{service: crashed.service, zone: crashed.zone, firstID: crashed.firstID}, crashed.Address(), options, incarnation)
	})
}

// Restart stops a server, which loses all its state, and immediately starts a new incarnation
// at its address and with its ID.
func (p *Platform) Restart(server *Server) (*Server, error) {
	return p.RestartAs(server, server.options.Version)
}

// RestartAs is Restart at another version of the server's software.
func (p *Platform) RestartAs(server *Server, version string) (*Server, error) {
	next, err := p.restart(server, version)
	if err != nil {
		return nil, err
	}
	return next.Server, p.Enter(next.service, next.zone, "ready", next.Server)
}

// RestartBeforeEntry is RestartAs, but the server's entry still describes the previous incarnation, until
// Enter is called.
func (p *Platform) RestartBeforeEntry(server *Server, version string) (*Server, error) {
	next, err := p.restart(server, version)
	return next.Server, err
}

// restart is RestartAs without the entry.
func (p *Platform) restart(server *Server, version string) (registeredServer, error) {
	p.mu.Lock()
	index := slices.IndexFunc(p.servers, func(known registeredServer) bool { return known.Server == server })
	previous := p.servers[index]
	p.mu.Unlock()
	server.crash(false)
	next := registeredServer{service: previous.service, zone: previous.zone, firstID: previous.firstID}
	options := server.options
	options.Version = version
	err := p.startIncarnation(&next, server.Address(), options, 1)
	return next, err
}

// runAfter runs an action after a delay, unless the platform is closed first.
func (p *Platform) runAfter(wait time.Duration, action func()) {
	p.wait.Go(func() {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-timer.C:
			action()
		case <-p.done:
		}
	})
}

// RunsOf returns the requests that all incarnations of a service's servers received.
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

// Crashes returns the times at which fatal requests crashed servers of a service, in order.
func (p *Platform) Crashes(service string) []time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]time.Time(nil), p.crashes[service]...)
}
