// Package fault defines the closed list of error kinds and the table that maps each kind to an
// HTTP status, an exit code and retry advice.
package fault

import (
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// Kind is the kind of a failure. The list is closed: a kind without a row in the table is
// answered as Internal.
type Kind string

// All kinds of failure.
const (
	BadRequest     Kind = "bad_request"
	BadKey         Kind = "bad_api_key"
	Forbidden      Kind = "forbidden"
	UnknownModel   Kind = "unknown_model"
	UnknownService Kind = "unknown_service"
	UnknownRoute   Kind = "unknown_route"
	TooLarge       Kind = "body_too_large"
	HeadTooLarge   Kind = "head_too_large"
	NeedsKey       Kind = "idempotency_key_needed"
	KeyClosed      Kind = "idempotency_key_closed"
	KeyInDoubt     Kind = "idempotency_key_in_doubt"
	KeyConflict    Kind = "idempotency_key_conflict"
	Overloaded     Kind = "overloaded"
	Leaving        Kind = "leaving"
	NotHeld        Kind = "chat_not_held"
	NotOwner       Kind = "not_owner"
	NoOwner        Kind = "no_owner"
	NoTarget       Kind = "no_target"
	Deadline       Kind = "deadline"
	Canceled       Kind = "canceled"
	TargetFailed   Kind = "target_failed"
	Cut            Kind = "answer_cut"
	LinkFailed     Kind = "link_failed"
	StoreAway      Kind = "store_away"
	Conflict       Kind = "conflict"
	StoreBehind    Kind = "store_behind"
	Unsettled      Kind = "unsettled"
	BadSettings    Kind = "bad_settings"
	NotReady       Kind = "not_ready"
	// Quarantined marks a request that is refused since several targets crashed while they ran
	// it.
	Quarantined Kind = "quarantined"
	// Suspected marks a request that is refused since targets crashed while they ran it
	// together with others, and which of the requests is the cause is not known yet.
	Suspected Kind = "suspected"
	// StreamUnknown marks a request that is refused since it resumes a stream and it is not known
	// which version of the targets' software began that stream.
	StreamUnknown Kind = "stream_unknown"
	Internal      Kind = "internal"
)

// RunState tells whether the target has run the refused request.
type RunState string

// The run states that a refusal may carry.
const (
	// NotRun may be reported only by a process that has made it impossible for the request to
	// run later.
	NotRun  RunState = "not_run"
	Ran     RunState = "ran"
	Unknown RunState = "unknown"
)

// Answer describes how a kind is reported to callers and operators.
type Answer struct {
	// Status is the HTTP status.
	Status int
	// Exit is the exit code of a command that ends with this kind.
	Exit int
	// Retry reports whether the same request may be tried again later.
	Retry bool
	// Type is the error type in the OpenAI error format.
	Type string
}

const (
	typeInvalid = "invalid_request_error"
	typeServer  = "server_error"
	typeRate    = "rate_limit_error"
)

// Exit codes of the commands; docs/OPERATING.md lists them.
const (
	ExitFailed      = 1
	ExitUsage       = 2
	ExitRefused     = 3
	ExitUnsettled   = 4
	ExitUnavailable = 5
)

var answers = map[Kind]Answer{
	BadRequest:     {http.StatusBadRequest, ExitUsage, false, typeInvalid},
	BadKey:         {http.StatusUnauthorized, ExitRefused, false, "authentication_error"},
	Forbidden:      {http.StatusForbidden, ExitRefused, false, "permission_error"},
	UnknownModel:   {http.StatusNotFound, ExitRefused, false, typeInvalid},
	UnknownService: {http.StatusNotFound, ExitRefused, false, typeInvalid},
	UnknownRoute:   {http.StatusNotFound, ExitRefused, false, typeInvalid},
	TooLarge:       {http.StatusRequestEntityTooLarge, ExitRefused, false, typeInvalid},
	HeadTooLarge:   {http.StatusRequestHeaderFieldsTooLarge, ExitRefused, false, typeInvalid},
	NeedsKey:       {http.StatusBadRequest, ExitUsage, false, typeInvalid},
	KeyClosed:      {http.StatusConflict, ExitRefused, false, typeInvalid},
	KeyInDoubt:     {http.StatusConflict, ExitUnsettled, false, typeServer},
	KeyConflict:    {http.StatusUnprocessableEntity, ExitRefused, false, typeInvalid},
	Overloaded:     {http.StatusTooManyRequests, ExitRefused, true, typeRate},
	Leaving:        {http.StatusServiceUnavailable, ExitRefused, true, typeServer},
	NotHeld:        {http.StatusServiceUnavailable, ExitRefused, true, typeServer},
	NotOwner:       {http.StatusServiceUnavailable, ExitRefused, true, typeServer},
	NoOwner:        {http.StatusServiceUnavailable, ExitUnavailable, true, typeServer},
	NoTarget:       {http.StatusServiceUnavailable, ExitUnavailable, true, typeServer},
	Deadline:       {http.StatusGatewayTimeout, ExitFailed, true, typeServer},
	Canceled:       {499, ExitFailed, true, typeServer},
	TargetFailed:   {http.StatusBadGateway, ExitFailed, true, typeServer},
	Cut:            {http.StatusBadGateway, ExitFailed, true, typeServer},
	LinkFailed:     {http.StatusBadGateway, ExitFailed, true, typeServer},
	StoreAway:      {http.StatusServiceUnavailable, ExitUnavailable, true, typeServer},
	Conflict:       {http.StatusConflict, ExitRefused, false, typeInvalid},
	StoreBehind:    {http.StatusConflict, ExitRefused, false, typeServer},
	Unsettled:      {http.StatusAccepted, ExitUnsettled, true, typeServer},
	BadSettings:    {http.StatusBadRequest, ExitUsage, false, typeInvalid},
	Quarantined:    {http.StatusBadRequest, ExitRefused, false, typeInvalid},
	Suspected:      {http.StatusServiceUnavailable, ExitUnavailable, true, typeServer},
	StreamUnknown:  {http.StatusServiceUnavailable, ExitUnavailable, true, typeServer},
	NotReady:       {http.StatusServiceUnavailable, ExitUnavailable, true, typeServer},
	Internal:       {http.StatusInternalServerError, ExitFailed, false, typeServer},
}

// AnswerOf returns the row of a kind; that of Internal for an unknown kind.
func AnswerOf(kind Kind) Answer {
	answer, ok := answers[kind]
	if !ok {
		return answers[Internal]
	}
	return answer
}

// Kinds returns every kind that has a row in the table.
func Kinds() []Kind {
	kinds := make([]Kind, 0, len(answers))
	for kind := range answers {
		kinds = append(kinds, kind)
	}
	return kinds
}

// Error is a failure of a known kind.
type Error struct {
	Kind Kind
	// State is NotRun only if the request can no longer run.
	State RunState
	// Message is shown to the caller.
	Message string
	// RetryAfter is the delay before a retry; zero if a retry is of no use.
	RetryAfter time.Duration
}

// Error returns the kind and the message.
func (e *Error) Error() string {
	return string(e.Kind) + ": " + e.Message
}

// New returns an Error with a formatted message. It captures no stack trace, since most
// requests end here under overload.
func New(kind Kind, state RunState, format string, args ...any) *Error {
	return &Error{Kind: kind, State: state, Message: fmt.Sprintf(format, args...)}
}

// After sets the delay before a retry and returns the error itself.
func (e *Error) After(wait time.Duration) *Error {
	e.RetryAfter = wait
	return e
}

// From returns the Error in an error chain; any other error becomes Internal with an unknown
// run state.
func From(err error) *Error {
	var known *Error
	if errors.As(err, &known) {
		return known
	}
	return New(Internal, Unknown, "%v", err)
}

// KindOf returns the kind of an error.
func KindOf(err error) Kind {
	return From(err).Kind
}

// ExitCode returns the exit code of a command that ends with an error.
func ExitCode(err error) int {
	if err == nil {
		return 0
	}
	return AnswerOf(KindOf(err)).Exit
}
