package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/capersaddle/capersaddle/internal/balance"
	"github.com/capersaddle/capersaddle/internal/fault"
	"github.com/capersaddle/capersaddle/internal/policy"
)

// Request is one attempt of a caller, whatever front it came by.
type Request struct {
	// ID names the attempt; the caller chose it.
	ID string
	// Method, Host and URI are as the caller sent them; the URI holds path
	// and query.
	Method string
	Host   string
	URI    string
	// Path is the URI's path, as sent.
	Path string
	// Header holds what is to be passed on; it is not changed.
	Header http.Header
	Body   []byte
	// Key is the caller's API key; empty for none.
	Key string
	// Arrived is when the request had been read.
	Arrived time.Time
	// Patience is how long the caller will wait; zero is not said.
	Patience time.Duration
	// Model is the model that the prompt is for; empty for none.
	Model string
	// Parts are the prompt's parts in order, the last one the request's own.
	Parts []Part
	// After is the id of the last event that the caller has; empty for none.
	LastEventID string
}

// Part is one part of a prompt.
type Part struct {
	ID     string
	Tokens int
}

// sharedParts are hashes of the parts that other requests for the same model
// share, in order, and their lengths in tokens: all but the last, or the only
// one.
func (r *Request) sharedParts() (hashes []uint64, tokens []int) {
	parts := r.Parts
	if len(parts) > 1 {
		parts = parts[:len(parts)-1]
	}
	for _, part := range parts {
		hashes = append(hashes, policy.HashName(r.Model+"/"+part.ID))
		tokens = append(tokens, part.Tokens)
	}
	return hashes, tokens
}

// Outgoing is one attempt at one target.
type Outgoing struct {
	Request *Request
	Target  balance.Target
	// Left is how long the target may take; zero for no bound.
	TimeLeft time.Duration
	// Workspace is the name of the key's workspace; empty on public routes.
	Workspace string
	// Rank is the urgency, 0 first, at most 9.
	Rank int
	// FetchFrom is the address of a target that may hold the prompt's prefix.
	FetchFrom string
	// After is the id of the last event that the caller has; empty for none.
	LastEventID string
	// Reuse allows a kept connection that has rested for a while; a request
	// that may not be repeated isn't risked on one.
	ReuseIdle bool
}

// Answer is a target's answer, whose head has been read.
type Answer struct {
	Status int
	// Header is what is passed on to the caller.
	Header http.Header
	// Size is the body's length in bytes; -1 if it isn't known.
	Size int64
	// Body ends with io.EOF only if the answer is whole. Close ends the
	// attempt if it isn't over.
	Body io.ReadCloser
	// NotRun says that the target did not run the request and will not.
	NotRun bool
	// Misdirected says that it was not for the target that answered: the one that was meant
	// is no longer at its address. NotRun holds too.
	Misdirected bool
	// Signed says that the answer carries the target's signature.
	Signed bool
	// Load is what the target said of its load; nil if nothing.
	Load *balance.Load
	// Notice is what the target said of itself besides, in this answer and in any that
	// stood before it.
	Notice balance.Notice
}

// SendError is an attempt without a usable answer.
type SendError struct {
	// Sent says that bytes of the request may have reached the target.
	Sent bool
	// Unreachable says that no connection could be made, and Refused that this
	// was since nothing listens at the target's address.
	Unreachable bool
	Refused     bool
	// Notice is what the target said of itself in what was read.
	Notice balance.Notice
	Err    error
}

// Error gives the cause.
func (e *SendError) Error() string { return e.Err.Error() }

// Unwrap gives the cause.
func (e *SendError) Unwrap() error { return e.Err }

// Sender sends requests to targets.
type Sender interface {
	// Send returns once the head of the answer has been read. When the
	// context ends, the attempt's connection is closed. Before the first byte
	// is written, admit is asked; if it refuses, nothing is sent.
	Send(ctx context.Context, out *Outgoing, admit func() error) (*Answer, *SendError)
}

// Responder passes an answer on to the caller.
type Responder interface {
	// Begin sends the head; size is the body's length, or -1.
	Begin(status int, header http.Header, size int64) error
	// Write sends a part of the body and does not keep it back.
	Write(data []byte) error
	// Refuse sends a whole answer of the router's own.
	Refuse(refusal *fault.Error) error
	// Interrupt makes a Write that is under way, and all later ones, fail. It may be called
	// at any time until the request has been served.
	Interrupt()
	// Abort ends a begun answer so that it can't look complete.
	Abort()
}
