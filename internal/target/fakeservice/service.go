// Package fakeservice is a small stand-in for one server of a plain service.
// It keeps a log of every effect, which tests hold against what callers were
// told.
package fakeservice

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/capersaddle/capersaddle/internal/target"
	"github.com/capersaddle/capersaddle/internal/wait"
)

// Effect is one call that took effect.
type Effect struct {
	Key    string
	Method string
	Path   string
	Body   string
}

// Fault is what goes wrong with one call; the zero value is no fault.
type Fault struct {
	// Refuse answers as if nothing could be connected to.
	Refuse bool
	// LoseAnswer takes effect, then breaks the connection.
	LoseAnswer bool
	// Delay waits before the effect.
	Delay time.Duration
	// Before, when set, waits before the effect until it is closed, whatever
	// becomes of the caller.
	Before chan struct{}
	// Hold, when set, waits after the effect until it is closed.
	Hold chan struct{}
}

// Server is the stand-in.
type Server struct {
	name string
	log  func(line string)

	mu      sync.Mutex
	effects []Effect
	faults  []Fault
}

// New returns a server; log, when set, is told of each effect.
func New(name string, log func(line string)) *Server {
	if log == nil {
		log = func(string) {}
	}
	return &Server{name: name, log: log}
}

// Inject queues faults; each of the next calls takes one.
func (s *Server) Inject(faults ...Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = append(s.faults, faults...)
}

// Effects lists what took effect, in order.
func (s *Server) Effects() []Effect {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Effect(nil), s.effects...)
}

// Do takes a call.
func (s *Server) Do(ctx context.Context, request target.ServiceRequest) (target.ServiceResponse, error) {
	fault := s.nextFault()
	if fault.Refuse {
		return target.ServiceResponse{}, errors.Wrap(target.ErrRefused, "fault: refused")
	}
	if !wait.For(ctx, fault.Delay) {
		return target.ServiceResponse{}, ctx.Err()
	}
	if fault.Before != nil {
		<-fault.Before
	}
	number := s.record(request)
	if fault.Hold != nil {
		<-fault.Hold
	}
	if fault.LoseAnswer {
		return target.ServiceResponse{}, errors.New("fault: answer lost")
	}
	text := fmt.Sprintf(`{"server":%q,"effect":%d,"method":%q,"path":%q}`, s.name, number, request.Method, request.Path)
	return target.ServiceResponse{
		Status: http.StatusOK,
		Header: http.Header{"Content-Type": {"application/json"}},
		Body:   io.NopCloser(bytes.NewReader([]byte(text))),
	}, nil
}

func (s *Server) nextFault() Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.faults) == 0 {
		return Fault{}
	}
	fault := s.faults[0]
	s.faults = s.faults[1:]
	return fault
}

func (s *Server) record(request target.ServiceRequest) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.effects = append(s.effects, Effect{
		Key:    request.Header.Get("Idempotency-Key"),
		Method: request.Method,
		Path:   request.Path,
		Body:   string(request.Body),
	})
	s.log(fmt.Sprintf("%s takes effect %s %s", s.name, request.Method, request.Path))
	return len(s.effects)
}

// Handler serves the server over HTTP.
func (s *Server) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		response, err := s.Do(r.Context(), target.ServiceRequest{
			Method: r.Method,
			Path:   r.URL.RequestURI(),
			Header: r.Header,
			Body:   body,
		})
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Content-Type", response.Header.Get("Content-Type"))
		w.WriteHeader(response.Status)
		_, _ = io.Copy(w, response.Body)
	})
}
