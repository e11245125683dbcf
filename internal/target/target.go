// Package target defines the interfaces of the back ends: model engines and plain services.
// Each has one HTTP adapter here; the fakes are in the packages below.
package target

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrCut reports that a stream ended before its answer was complete.
var ErrCut = errors.New("answer cut short")

// ErrRefused reports that the target accepted nothing of the request.
var ErrRefused = errors.New("target refused the request")

// RetryAfterError is the refusal of a target that asks for no requests for some time.
type RetryAfterError struct {
	// RetryAfter is the time that the target asks for.
	RetryAfter time.Duration
	Err        error
}

// Error returns the text of the cause.
func (e *RetryAfterError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *RetryAfterError) Unwrap() error { return e.Err }

// RetryAfterOf returns the delay that a failed target asks for; zero if it asks for none.
func RetryAfterOf(err error) time.Duration {
	var refusal *RetryAfterError
	if errors.As(err, &refusal) {
		return refusal.RetryAfter
	}
	return 0
}

// GenerateRequest is a request to an engine for one chat completion.
type GenerateRequest struct {
	RequestID string
	// Body is the caller's JSON, an OpenAI chat completions request.
	Body []byte
	// Offset is the index of the first piece wanted; Prefix is the text of the pieces before
	// it.
	Offset int64
	Prefix string
	// Priority orders the work of the engine; the lowest number runs first.
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
	// Index is the index of the piece in the whole answer, from zero.
	Index int64
	Text  string
	// Finish is set on the last piece only: "stop", "length".
	Finish string
	// Usage is set on the last piece only.
	Usage Usage
}

// Generation is an answer that is being generated.
type Generation interface {
	// Next returns the next piece. It returns io.EOF after the piece with Finish, and ErrCut if
	// the stream ends without it.
	Next() (Piece, error)
	// Close cancels the remaining work at the engine.
	Close() error
}

// LoadReport is the load that an engine reports; it lags.
type LoadReport struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
}

// Order tells an engine to load or unload a model or to change its role.
type Order struct {
	// Token is a fencing token that only rises; an engine that checks it refuses a lower one.
	Token  uint64 `json:"token"`
	Action string `json:"action"`
	Model  string `json:"model"`
}

// CacheEvent reports that the prefix of an answered request was added to or evicted from the
// prefix cache.
type CacheEvent struct {
	RequestID string `json:"request_id"`
	// Evicted reports that the request's prefix is no longer held.
	Evicted bool `json:"evicted"`
}

// CacheEvents holds the events that an engine published after a sequence number. They lag.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
	// Next is the sequence number to request next.
	Next uint64 `json:"next"`
	// Gap reports that events in between are lost.
	Gap bool `json:"gap"`
}

// Engine is one model engine.
type Engine interface {
	Generate(ctx context.Context, request GenerateRequest) (Generation, error)
	Load(ctx context.Context) (LoadReport, error)
	Order(ctx context.Context, order Order) error
	CacheEvents(ctx context.Context, after uint64) (CacheEvents, error)
	// ExportKV writes the cached prefixes of requests that the engine has answered, without
	// those that it no longer holds.
	ExportKV(ctx context.Context, requestIDs []string, into io.Writer) error
	ImportKV(ctx context.Context, from io.Reader) error
}

// ServiceRequest is one request to a plain service.
type ServiceRequest struct {
	Method string
	// Path is the path and query at the service.
	Path   string
	Header http.Header
	Body   []byte
}

// ServiceResponse is the response of a plain service; the receiver closes Body.
type ServiceResponse struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// RetryAfter is the time for which a server that refused the request asks for no others;
	// zero if it asks for none.
	RetryAfter time.Duration
}

// Service is one server of a plain service.
type Service interface {
	// Do returns ErrRefused only if the server accepted nothing of the request.
	Do(ctx context.Context, request ServiceRequest) (ServiceResponse, error)
}
