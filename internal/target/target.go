// Package target holds what the system asks of the back ends: model engines
// and plain services. Each has one small interface and one HTTP adapter; the
// stand-ins are in the packages beneath.
package target

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrCut says that a stream ended before its answer was whole.
var ErrCut = errors.New("answer cut short")

// ErrRefused says that the target took nothing of the request.
var ErrRefused = errors.New("target refused the request")

// RetryAfterError is a refusal of a target that wants nothing for a while.
type RetryAfterError struct {
	// Rest is for how long.
	RetryAfter time.Duration
	Err        error
}

// Error gives the cause.
func (e *RetryAfterError) Error() string { return e.Err.Error() }

// Unwrap gives the cause.
func (e *RetryAfterError) Unwrap() error { return e.Err }

// RetryAfterOf is for how long the target wants nothing that failed with an error; zero is not said.
func RetryAfterOf(err error) time.Duration {
	var resting *RetryAfterError
	if errors.As(err, &resting) {
		return resting.RetryAfter
	}
	return 0
}

// GenerateRequest asks an engine for one chat completion.
type GenerateRequest struct {
	RequestID string
	// Body is the caller's JSON, in the OpenAI chat completions form.
	Body []byte
	// Offset is the index of the first piece wanted; Prefix is the text of
	// the pieces before it.
	Offset int64
	Prefix string
	// Priority orders work at the engine; lower runs first.
	Priority int32
}

// Usage counts the tokens of one answer.
type Usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	CachedTokens     int64 `json:"cached_tokens"`
}

// Piece is one step of a streamed answer.
type Piece struct {
	// Index counts the pieces of the whole answer from zero.
	Index int64
	Text  string
	// Finish is set on the last piece only: "stop", "length".
	Finish string
	// Usage is set on the last piece only.
	Usage Usage
}

// Generation is an answer being made.
type Generation interface {
	// Next returns the next piece; io.EOF after the piece with Finish, and
	// ErrCut when the stream ends without it.
	Next() (Piece, error)
	// Close cancels what is left of the work at the engine.
	Close() error
}

// LoadReport is the engine's own, lagging word on its load.
type LoadReport struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
}

// Order asks an engine to load or unload a model or to change its role.
type Order struct {
	// Token only rises; an engine that checks it refuses a lower one.
	Token  uint64 `json:"token"`
	Action string `json:"action"`
	Model  string `json:"model"`
}

// CacheEvent tells of one answered request's place in the prefix cache.
type CacheEvent struct {
	RequestID string `json:"request_id"`
	// Evicted says that the request's prefix is held no longer.
	Evicted bool `json:"evicted"`
}

// CacheEvents are what an engine published after a number. They come late.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
	// Next is the number to ask after next time.
	Next uint64 `json:"next"`
	// Gap says that events between are lost.
	Gap bool `json:"gap"`
}

// Engine is one model engine.
type Engine interface {
	Generate(ctx context.Context, request GenerateRequest) (Generation, error)
	Load(ctx context.Context) (LoadReport, error)
	Order(ctx context.Context, order Order) error
	CacheEvents(ctx context.Context, after uint64) (CacheEvents, error)
	// ExportKV writes the cached prefixes of requests that the engine has
	// answered; those it no longer holds are left out.
	ExportKV(ctx context.Context, requestIDs []string, into io.Writer) error
	ImportKV(ctx context.Context, from io.Reader) error
}

// ServiceRequest is one call of a plain service.
type ServiceRequest struct {
	Method string
	// Path is the path and query at the service.
	Path   string
	Header http.Header
	Body   []byte
}

// ServiceResponse is the answer; the receiver closes Body.
type ServiceResponse struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Rest is for how long the server wants nothing, if it has turned the call away; zero is
	// not said.
	RetryAfter time.Duration
}

// Service is one server of a plain service.
type Service interface {
	// Do fails with ErrRefused only when the server took nothing.
	Do(ctx context.Context, request ServiceRequest) (ServiceResponse, error)
}
