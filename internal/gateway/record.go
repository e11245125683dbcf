package gateway

import (
	"time"

	"github.com/capersaddle/capersaddle/internal/balance"
	"github.com/capersaddle/capersaddle/internal/clock"
	"github.com/capersaddle/capersaddle/internal/delivery"
	"github.com/capersaddle/capersaddle/internal/quarantine"
)

// Recorder takes what is to be logged and counted. Its methods don't block.
type Recorder interface {
	// Request is called once for each request, at its end.
	Request(record *RequestRecord)
	// Notice is called when a target says something new of itself.
	Notice(record *NoticeRecord)
}

// Endings of a request besides the kinds of refusal.
const (
	// EndingAnswered: the caller has a target's whole answer.
	EndingAnswered = "answered"
	// EndingRelayed: the caller has a target's own failure.
	EndingRelayed = "relayed"
	// EndingCut: the answer was broken off after its begin.
	EndingCut = "cut"
	// EndingCallerLeft: the caller left before the end.
	EndingCallerLeft = "caller_left"
	// EndingCallerSlow: the answer was broken off since the caller read it too slowly.
	EndingCallerSlow = "caller_slow"
)

// RequestRecord tells how a request was served and what decided it.
type RequestRecord struct {
	ID        string
	Route     string
	Kind      string
	Workspace string
	Service   string
	Session   string
	// Prompt are the prompt's parts; nil if it names none.
	Prompt []Part
	// Print names what it asks, and for whom: a request that comes again has the same one.
	// Zero if it was denied.
	Fingerprint quarantine.Fingerprint
	// Config is the version of the configuration that was used.
	ConfigVersion int64
	// ProofAge is the age of the proof that it was the newest, at the end;
	// negative if there was none.
	ProofAge time.Duration
	Attempts []AttemptRecord
	// Queued is how long it waited for its turn at the service.
	QueueTime time.Duration
	// Waited is how long it waited, before its first attempt, for a part of its
	// prompt to be read for another request.
	PrefillWait time.Duration
	// Found is how its question for a holder of its prompt ended, empty if it
	// asked none, and Asked how long that took.
	HolderLookup     balance.Finding
	HolderLookupTime time.Duration
	// Status is the caller's; zero if it got none.
	Status int
	// Ending is one of the constants above or the kind of refusal.
	Ending string
	// Wanted is the time within which the route's callers want the answer or its
	// first event; zero if the route does not say.
	TargetLatency time.Duration
	// First is the time to the answer's head.
	TimeToHead time.Duration
	Took       time.Duration
}

// AttemptRecord tells of one attempt.
type AttemptRecord struct {
	Target string
	// Version is that of the target's software; empty if its entry states none.
	Version    string
	Address    string
	Load       int
	Mean       float64
	Candidates int
	FetchFrom  string
	Source     balance.Source
	Took       time.Duration
	Events     int
	Outcome    string
	Reason     string
	// Notice is what the target said of itself in its answer.
	Notice balance.Notice
	// Ejected says that the target was left out for this attempt's result.
	Ejected bool
}

var outcomeNames = map[delivery.Outcome]string{
	delivery.Unsent:   "unsent",
	delivery.Rejected: "rejected",
	delivery.Lost:     "lost",
	delivery.Failed:   "failed",
	delivery.Silent:   "silent",
	delivery.Cut:      "cut",
}

// record sums the call up.
func (c *call) record() *RequestRecord {
	now := clock.Now()
	record := &RequestRecord{
		ID:               c.request.ID,
		Service:          c.service,
		Session:          c.request.session(),
		Prompt:           c.request.Parts,
		Fingerprint:      c.fingerprint,
		Attempts:         c.attempts,
		QueueTime:        c.queueTime,
		PrefillWait:      c.prefillWait,
		HolderLookup:     c.holderLookup,
		HolderLookupTime: c.holderLookupTime,
		Status:           c.status,
		Ending:           c.ending,
		TimeToHead:       c.timeToHead,
		Took:             now.Sub(c.request.Arrived),
		ProofAge:         -1,
	}
	if age, known := c.gateway.Proof.Age(now); known {
		record.ProofAge = age
	}
	if c.table != nil {
		record.ConfigVersion = c.table.Version()
	}
	if c.route != nil {
		record.Route, record.Kind, record.TargetLatency = c.route.Name, string(c.route.Kind), c.route.TargetLatency
	}
	if c.workspace != nil {
		record.Workspace = c.workspace.Name
	}
	return record
}

// session names the deepest part of the prompt that other requests share;
// empty for none.
func (r *Request) session() string {
	switch len(r.Parts) {
	case 0:
		return ""
	case 1:
		return r.Parts[0].ID
	}
	return r.Parts[len(r.Parts)-2].ID
}
