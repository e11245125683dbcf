// Package fault holds the closed list of error kinds and the one table that
// says how each kind is answered: HTTP status, exit code and retry advice.
package fault

import (
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// Kind names one sort of failure. The list is closed: a kind without a row in
// the table is answered as Internal.
type Kind string

// The closed list of kinds.
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
	// Quarantined: targets ended while they ran the request.
	Quarantined Kind = "quarantined"
	// Suspected: targets ended while they ran the request and others, and which of them is to
	// blame is not known yet.
	Suspected Kind = "suspected"
	Internal  Kind = "internal"
)

// RunState says whether the refused request ran at its target.
type RunState string

// The run states that a refusal may carry.
const (
	// NotRun may be said only by a process that has made it impossible for
	// the request to run later.
	NotRun  RunState = "not_run"
	Ran     RunState = "ran"
	Unknown RunState = "unknown"
)

// Answer is how one kind is shown outside.
type Answer struct {
	// Status is the HTTP status.
	Status int
	// Exit is the exit code of a command that ends with this kind.
	Exit int
	// Retry says that the same request may be tried again later.
	Retry bool
	// Type is the error type of the OpenAI error shape.
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
	NotReady:       {http.StatusServiceUnavailable, ExitUnavailable, true, typeServer},
	Internal:       {http.StatusInternalServerError, ExitFailed, false, typeServer},
}

// AnswerOf returns the row of a kind, or that of Internal.
func AnswerOf(kind Kind) Answer {
	answer, ok := answers[kind]
	if !ok {
		return answers[Internal]
	}
	return answer
}

// Kinds lists every kind that has a row.
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
	// State is never NotRun unless the request can no longer run.
	State RunState
	// Message is shown to the caller.
	Message string
	// RetryAfter is when to come back; zero when there is no point.
	RetryAfter time.Duration
}

// Error gives kind and message.
func (e *Error) Error() string {
	return string(e.Kind) + ": " + e.Message
}

// New returns an Error with a formatted message. It takes no stack trace: under
// overload most requests end here.
func New(kind Kind, state RunState, format string, args ...any) *Error {
	return &Error{Kind: kind, State: state, Message: fmt.Sprintf(format, args...)}
}

// After sets when to come back and returns the error itself.
func (e *Error) After(wait time.Duration) *Error {
	e.RetryAfter = wait
	return e
}

// From finds the Error in a chain; any other error becomes Internal with an
// unknown run state.
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

// ExitCode maps an error to the exit code of a command.
func ExitCode(err error) int {
	if err == nil {
		return 0
	}
	return AnswerOf(KindOf(err)).Exit
}
