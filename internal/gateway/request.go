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

// Request is one attempt of a caller, independent of the front end it arrived through.
type Request struct {
	// ID identifies the attempt. The caller chose it.
	ID string
	// Method, Host and URI are as the caller sent them; URI includes path and query.
	Method string
	Host   string
	URI    string
	// Path is the path of URI, as sent.
	Path string
	// Header holds the headers to pass on. It is not modified.
	Header http.Header
	Body   []byte
	// Key is the caller's API key; empty for none.
	Key string
	// Arrived is when the request had been read completely.
	Arrived time.Time
	// Patience is how long the caller will wait; zero if it didn't say.
	Patience time.Duration
	// Model is the model that the prompt is for; empty for none.
	Model string
	// Parts lists the parts of the prompt in order. The last part belongs to this request alone.
	Parts []Part
	// LastEventID is the ID of the last event that the caller has; empty for none.
	LastEventID string
	// Resumes is the ID of the caller's attempt that brought the first event of the stream which
	// this request resumes; empty for none.
	Resumes string
}

// Part is one part of a prompt.
type Part struct {
	ID     string
	Tokens int
}

// sharedParts returns the hashes of the parts that other requests for the same model share, in
// order, and their lengths in tokens: all parts but the last, or the only one.
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

// sharedPartIDs returns the IDs of all parts but the last, which belongs to this request alone.
func (r *Request) sharedPartIDs() []string {
	var ids []string
	for _, part := range r.Parts[:max(len(r.Parts)-1, 0)] {
		ids = append(ids, part.ID)
	}
	return ids
}

// Outgoing is one attempt at one target.
type Outgoing struct {
	Request *Request
	Target  balance.Target
	// TimeLeft is how long the target may take; zero means no limit.
	TimeLeft time.Duration
	// Workspace is the name of the key's workspace; empty on public routes.
	Workspace string
	// Rank is the priority, from 0 (first) to 9.
	Rank int
	// FetchFrom is the address of a target that may hold the prompt's prefix.
	FetchFrom string
	// LastEventID is the ID of the last event that the caller has; empty for none.
	LastEventID string
	// ReuseIdle allows a kept connection that has been idle for a while. A request that may not be
	// repeated doesn't use one: it must not be exposed to the risk.
	ReuseIdle bool
	// Continues means that the request continues a stream, so that nothing is sent to a target that may be
	// of another version than its entry says. The entries are proven to be the newest until ProvenAt.
	Continues bool
	ProvenAt  time.Time
	// Versioned means that the request continues a stream, or may begin one that goes on elsewhere, so that
	// the version of the process that answers matters.
	Versioned bool
}

// Answer is a target's answer whose headers have been read.
type Answer struct {
	Status int
	// Header holds the headers to pass on to the caller.
	Header http.Header
	// Size is the length of the body in bytes, or -1 if it isn't known.
	Size int64
	// EndsWithConnection means that only the end of the target's connection shows the end of the body:
	// there is neither a length nor chunks.
	EndsWithConnection bool
	// Body ends with io.EOF only if the answer is complete. Close ends the attempt if it isn't
	// over.
	Body io.ReadCloser
	// NotRun means that the target did not run the request and will not.
	NotRun bool
	// Misdirected means that another target answered: the intended one is no longer at its address.
	// NotRun is set too.
	Misdirected bool
	// Signed means that the answer carries the target's signature.
	Signed bool
	// MayHaveRestarted means that another incarnation of the target than the intended one may have
	// answered.
	MayHaveRestarted bool
	// Confirmed means that the target itself has stated that it is the incarnation that its entry describes.
	Confirmed bool
	// Load is the load that the target reported; nil if it reported none.
	Load *balance.Load
	// Notice holds the target's other reports about itself, in this answer and in any interim
	// answers before it.
	Notice balance.Notice
}

// SendError is an attempt without a usable answer.
type SendError struct {
	// Sent means that bytes of the request may have reached the target.
	Sent bool
	// Unreachable means that no connection could be made, and Refused that the reason is a refused
	// connection: nothing listens at the target's address.
	Unreachable bool
	Refused     bool
	// MayHaveRestarted means that nothing was sent since another incarnation of the target may listen at
	// its address.
	MayHaveRestarted bool
	// Unanswered means that nothing was sent since the target didn't answer a question, for as long as the
	// attempt could wait.
	Unanswered bool
	// Notice holds the target's reports about itself in what was read.
	Notice balance.Notice
	Err    error
}

// Error returns the text of the cause.
func (e *SendError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Err }

// Sender sends requests to targets.
type Sender interface {
	// Send returns once the headers of the answer have been read. When the context ends, the
	// connection of the attempt is closed. Send calls admit before it writes the first byte; if
	// admit returns an error, nothing is sent.
	Send(ctx context.Context, out *Outgoing, admit func() error) (*Answer, *SendError)
}

// Responder passes an answer on to the caller.
type Responder interface {
	// Begin sends the status and the headers; size is the length of the body, or -1.
	Begin(status int, header http.Header, size int64) error
	// Write sends a part of the body without buffering it.
	Write(data []byte) error
	// Refuse sends a complete answer of the router's own.
	Refuse(refusal *fault.Error) error
	// Interrupt makes a running Write and all later ones fail. It may be called at any time until
	// the request has been served.
	Interrupt()
	// Abort ends an answer that has begun in a way that can't look complete.
	Abort()
}
