package gateway

import (
	"time"

	"github.com/capersaddle/capersaddle/internal/balance"
	"github.com/capersaddle/capersaddle/internal/clock"
	"github.com/capersaddle/capersaddle/internal/delivery"
	"github.com/capersaddle/capersaddle/internal/quarantine"
)

// Recorder logs and counts requests and notices. Its methods don't block.
type Recorder interface {
	// Request is called once for each request, at its end.
	Request(record *RequestRecord)
	// Notice is called when a target reports something new about itself.
	Notice(record *NoticeRecord)
}

// Endings of a request other than refusals.
const (
	// EndingAnswered: the caller has the complete answer of a target.
	EndingAnswered = "answered"
	// EndingRelayed: the caller has a target's own failure.
	EndingRelayed = "relayed"
	// EndingCut: the answer broke off after it had begun.
	EndingCut = "cut"
	// EndingCallerLeft: the caller disconnected before the end.
	EndingCallerLeft = "caller_left"
	// EndingCallerSlow: the answer was ended because the caller read it too slowly.
	EndingCallerSlow = "caller_slow"
)

// RequestRecord describes how a request was served and what decided it.
type RequestRecord struct {
	ID        string
	Route     string
	Kind      string
	Workspace string
	Service   string
	Session   string
	// Resumes is the ID of the attempt that began the stream which the request resumes, and
	// LastEventID that of the last event its caller has; empty if it resumes none.
	Resumes     string
	LastEventID string
	// StreamVersion is the version that began the request's stream; empty if none did. OriginSource is
	// how it became known for a request that resumes a stream, and OriginTime how long that took.
	// OriginProofLag is by how much the proof of the newest targets was older than the request when that
	// was decided: zero if it was newer, negative if there was none.
	StreamVersion  string
	OriginSource   OriginSource
	OriginTime     time.Duration
	OriginProofLag time.Duration
	// Prompt lists the parts of the prompt; nil if the request has none.
	Prompt []Part
	// Fingerprint identifies the content of the request and its workspace: a retried request has
	// the same one. Zero if the request was denied.
	Fingerprint quarantine.Fingerprint
	// HeldPart is the ID of the part of the prompt for which the request was held back; empty for none.
	HeldPart string
	// ConfigVersion is the version of the configuration that was used.
	ConfigVersion int64
	// ProofAge is the age, at the end of the request, of the proof that the configuration was the
	// newest; negative if there was no proof.
	ProofAge time.Duration
	Attempts []AttemptRecord
	// SinceStop is how long after the planned stop of this process began the request had been read;
	// zero if it isn't stopping, negative if the request was read before.
	SinceStop time.Duration
	// QueueTime is how long the request waited for admission to the service.
	QueueTime time.Duration
	// PrefillWait is how long the request waited, before its first attempt, for the prefill of a
	// part of its prompt by another request.
	PrefillWait time.Duration
	// HolderLookup is how the lookup of a cache holder for the prompt ended, empty if there was
	// none, and HolderLookupTime how long it took.
	HolderLookup     balance.Finding
	HolderLookupTime time.Duration
	// Status is the status that the caller got; zero if it got none.
	Status int
	// Ending is one of the Ending constants or the kind of the refusal.
	Ending string
	// RetryDenial is why no further attempt followed the last one although the delivery allowed
	// one; empty if none was denied.
	RetryDenial RetryDenial
	// TargetLatency is the time within which the route's callers want the answer or its first
	// event; zero if the route sets none.
	TargetLatency time.Duration
	// TimeToHead is the time to the headers of the answer.
	TimeToHead time.Duration
	Took       time.Duration
}

// AttemptRecord describes one attempt.
type AttemptRecord struct {
	Target string
	// Version is the version of the target's software; empty if its entry states none.
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
	// Notice holds the target's reports about itself in its answer.
	Notice balance.Notice
	// Ejected means that the target was ejected because of the result of this attempt.
	Ejected bool
}

// outcomeUnsent is the name of the outcome of an attempt of which nothing reached a target.
const outcomeUnsent = "unsent"

// Received reports whether a target received the request in this attempt.
func (r *AttemptRecord) Received() bool {
	return r.Outcome != outcomeUnsent
}

var outcomeNames = map[delivery.Outcome]string{
	delivery.Unsent:      outcomeUnsent,
	delivery.Rejected:    "rejected",
	delivery.Misdirected: "misdirected",
	delivery.Lost:        "lost",
	delivery.Failed:      "failed",
	delivery.Silent:      "silent",
	delivery.Cut:         "cut",
}

// record summarizes the call.
func (c *call) record() *RequestRecord {
	now := clock.Now()
	record := &RequestRecord{
		ID:               c.request.ID,
		Service:          c.service,
		Session:          c.request.session(),
		Resumes:          c.request.Resumes,
		LastEventID:      c.request.LastEventID,
		StreamVersion:    c.streamVersion,
		OriginSource:     c.originSource,
		OriginTime:       c.originTime,
		OriginProofLag:   c.originProofLag,
		Prompt:           c.request.Parts,
		Fingerprint:      c.fingerprint,
		HeldPart:         c.heldPart,
		Attempts:         c.attempts,
		SinceStop:        c.gateway.Stop.Since(c.request.Arrived),
		QueueTime:        c.queueTime,
		PrefillWait:      c.prefillWait,
		HolderLookup:     c.holderLookup,
		HolderLookupTime: c.holderLookupTime,
		Status:           c.status,
		Ending:           c.ending,
		RetryDenial:      c.retryDenial,
		TimeToHead:       c.timeToHead,
		Took:             now.Sub(c.request.Arrived),
		ProofAge:         -1,
	}
	if age, hasProof := c.gateway.Proof.Age(now); hasProof {
		record.ProofAge = age
	}
	if c.table != nil {
		record.ConfigVersion = c.table.Version()
	}
	if c.route != nil {
		record.Route, record.Kind, record.TargetLatency = c.route.Name, string(c.route.Kind), c.route.TargetLatency
	}
	record.Workspace = c.workspaceName()
	return record
}

// session returns the ID of the deepest part of the prompt that other requests share; empty for
// none.
func (r *Request) session() string {
	switch len(r.Parts) {
	case 0:
		return ""
	case 1:
		return r.Parts[0].ID
	}
	return r.Parts[len(r.Parts)-2].ID
}
