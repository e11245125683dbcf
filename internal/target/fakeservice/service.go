// Package fakeservice is a small fake of one server of a plain service. It records every
// effect, which tests compare with the responses that callers received.
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

// Effect is one request that took effect.
type Effect struct {
	Key    string
	Method string
	Path   string
	Body   string
}

// Fault describes a failure of one request; the zero value is no failure.
type Fault struct {
	// Refuse fails the request as if the connection had been refused.
	Refuse bool
	// LoseAnswer takes effect, then breaks the connection.
	LoseAnswer bool
	// Delay is the time to wait before the effect.
	Delay time.Duration
	// Before, if set, blocks the request before its effect until the channel is closed, even if
	// the caller has gone.
	Before chan struct{}
	// Hold, if set, blocks the request after its effect until the channel is closed.
	Hold chan struct{}
}

// Server is the fake server.
type Server struct {
	name string
	log  func(line string)

	mu      sync.Mutex
	effects []Effect
	faults  []Fault
}

// New returns a server; log, if set, is called with a line for each effect.
func New(name string, log func(line string)) *Server {
	if log == nil {
		log = func(string) {}
	}
	return &Server{name: name, log: log}
}

// Inject queues faults; each of the next requests takes one.
func (s *Server) Inject(faults ...Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = append(s.faults, faults...)
}

// Effects returns the effects so far, in order.
func (s *Server) Effects() []Effect {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Effect(nil), s.effects...)
}

// Do runs a request, with the next queued fault.
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
