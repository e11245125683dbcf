// Package observe turns the events of a gateway into log lines and metrics. docs/LOGS.md has the
// complete list of events and their fields.
package observe

import (
	"strconv"
	"strings"
	"time"

	"github.com/charmbracelet/log"
	"golang.org/x/time/rate"

	"github.com/capersaddle/capersaddle/internal/balance"
	"github.com/capersaddle/capersaddle/internal/gateway"
	"github.com/capersaddle/capersaddle/internal/listen"
)

// The events of the log.
const (
	EventRequest           = "request"
	EventConfig            = "config_applied"
	EventTargetChanged     = "target_changed"
	EventTargetsListed     = "targets_listed"
	EventTargetGone        = "target_gone"
	EventUnusable          = "target_unusable"
	EventLeaving           = "target_leaves"
	EventTargetResting     = "target_rests"
	EventCallerEnded       = "caller_ended"
	EventNoticeUnreadable  = "target_notice_unreadable"
	EventEjected           = "target_ejected"
	EventEvacuated         = "data_center_evacuated"
	EventReturned          = "data_center_returned"
	EventStoreLost         = "store_lost"
	EventStoreBack         = "store_back"
	EventBadValue          = "store_value_unreadable"
	EventPeerFound         = "peer_found"
	EventPeerLost          = "peer_lost"
	EventSeedsListed       = "seeds_listed"
	EventSeedsSaved        = "seeds_saved"
	EventReplica           = "replica_fetched"
	EventRefused           = "target_refused"
	EventTargetSuspected   = "target_doubted"
	EventStart             = "started"
	EventDrain             = "draining"
	EventAcceptingEnded    = "accepting_ended"
	EventGraceOver         = "grace_over"
	EventStop              = "stopped"
	EventStopFailed        = "stop_incomplete"
	EventMemoryHigh        = "memory_high"
	EventAddressInUse      = listen.EventInUse
	EventAddressFree       = listen.EventFree
	EventAcceptFailed      = listen.EventAcceptFailed
	EventReload            = "settings_reloaded"
	EventProcessLate       = "process_late"
	EventProcessInTime     = "process_in_time"
	EventRequestsNotLogged = "requests_not_logged"
	EventTargetEnded       = "target_ended"
	EventCrash             = "target_crashed"
	EventHeldBack          = "request_held_back"
	EventCleared           = "request_cleared"
	EventPartAtLimit       = "part_at_limit"
	EventPartHeld          = "part_held_back"
	EventPartCleared       = "part_cleared"
	EventTrial             = "trial_began"
	EventSuspect           = "request_suspected"

	// RolloutEvents is the prefix of the events of rollouts.
	RolloutEvents            = "rollout_"
	EventRolloutOrdered      = "rollout_ordered"
	EventRolloutStage        = "rollout_stage"
	EventRolloutHalted       = "rollout_halted"
	EventRolloutRecorded     = "rollout_recorded"
	EventRolloutCommitFailed = "rollout_commit_failed"
)

// Events returns all events of the log.
func Events() []string {
	return []string{
		EventRequest, EventConfig, EventTargetChanged, EventTargetsListed, EventTargetGone, EventEjected, EventStoreLost, EventStoreBack,
		EventBadValue, EventEvacuated, EventReturned, EventPeerFound, EventPeerLost, EventSeedsListed, EventSeedsSaved, EventReplica, EventRefused, EventTargetSuspected, EventStart, EventDrain, EventAcceptingEnded, EventGraceOver, EventStop, EventStopFailed, EventMemoryHigh, EventAddressInUse, EventAddressFree, EventAcceptFailed, EventReload, EventProcessLate, EventProcessInTime, EventRequestsNotLogged,
		EventUnusable, EventLeaving, EventTargetResting, EventCallerEnded, EventNoticeUnreadable, EventTargetEnded, EventCrash, EventHeldBack, EventCleared, EventPartAtLimit, EventPartHeld, EventPartCleared, EventTrial, EventSuspect,
		EventRolloutOrdered, EventRolloutStage, EventRolloutHalted, EventRolloutRecorded, EventRolloutCommitFailed,
	}
}

const (
	// maxAnsweredLines bounds the lines per second for requests that were answered. Further ones
	// are only counted. Requests that failed have a larger bound of their own.
	maxAnsweredLines = 60
	maxFailedLines   = 200
)

// Observer writes log lines and updates metrics. It is safe for concurrent use.
type Observer struct {
	log             *log.Logger
	metrics         *Metrics
	answeredLimiter *rate.Limiter
	failedLimiter   *rate.Limiter
	skipped         skipCounter
}

// New returns an observer.
func New(logger *log.Logger, metrics *Metrics) *Observer {
	return &Observer{
		log:             logger,
		metrics:         metrics,
		answeredLimiter: rate.NewLimiter(maxAnsweredLines, maxAnsweredLines),
		failedLimiter:   rate.NewLimiter(maxFailedLines, maxFailedLines),
	}
}

// Request logs and counts a request at its end.
func (o *Observer) Request(record *gateway.RequestRecord) {
	o.metrics.recordRequest(record)
	for _, attempt := range record.Attempts {
		if attempt.Ejected {
			o.log.Warn(EventEjected, "target", attempt.Target, "address", attempt.Address, "service", record.Service, "outcome", attempt.Outcome, "reason", attempt.Reason, "request", record.ID)
		}
	}
	limiter := o.failedLimiter
	if record.Ending == gateway.EndingAnswered {
		limiter = o.answeredLimiter
	}
	if !limiter.Allow() {
		o.skipped.add()
		return
	}
	if skipped := o.skipped.reset(); skipped > 0 {
		o.log.Warn(EventRequestsNotLogged, "count", skipped)
	}
	o.log.Info(EventRequest,
		"id", record.ID, "ending", record.Ending, "status", record.Status,
		"route", record.Route, "kind", record.Kind, "workspace", record.Workspace, "service", record.Service,
		"session", record.Session, "resumes", record.Resumes, "last_event", record.LastEventID, "stream_version", record.StreamVersion, "origin", record.OriginSource, "origin_ms", wholeMillis(record.OriginTime), "origin_proof_ms", describeProofLag(record.OriginProofLag), "prompt", describePrompt(record.Prompt), "print", record.Fingerprint, "held_part", record.HeldPart, "config", record.ConfigVersion, "proof_ms", wholeMillis(record.ProofAge), "stop_ms", wholeMillis(record.SinceStop), "queued_ms", wholeMillis(record.QueueTime), "waited_ms", wholeMillis(record.PrefillWait), "found", record.HolderLookup, "asked_ms", wholeMillis(record.HolderLookupTime),
		"wanted_ms", wholeMillis(record.TargetLatency), "first_ms", wholeMillis(record.TimeToHead), "took_ms", wholeMillis(record.Took), "no_retry", record.RetryDenial, "attempts", describeAttempts(record.Attempts))
}

// describeProofLag returns by how many ms a proof was older than a request, rounded up, so that only a proof
// that was newer gives zero; -1 if there was none.
func describeProofLag(lag time.Duration) int64 {
	if lag < 0 {
		return -1
	}
	return int64((lag + time.Millisecond - 1) / time.Millisecond)
}

func wholeMillis(d time.Duration) int64 {
	return d.Milliseconds()
}

// describePrompt formats the parts of a prompt as id:tokens, separated by commas.
func describePrompt(parts []gateway.Part) string {
	var text strings.Builder
	for i, part := range parts {
		if i > 0 {
			text.WriteByte(',')
		}
		text.WriteString(part.ID)
		text.WriteByte(':')
		text.WriteString(strconv.Itoa(part.Tokens))
	}
	return text.String()
}

// describeAttempts formats attempts as target@address=outcome(name:value,...), separated by spaces.
func describeAttempts(attempts []gateway.AttemptRecord) string {
	var text strings.Builder
	for i, attempt := range attempts {
		if i > 0 {
			text.WriteByte(' ')
		}
		text.WriteString(attempt.Target)
		text.WriteByte('@')
		text.WriteString(attempt.Address)
		text.WriteByte('=')
		text.WriteString(attempt.Outcome)
		text.WriteString("(took_ms:")
		text.WriteString(strconv.FormatInt(attempt.Took.Milliseconds(), 10))
		text.WriteString(",load:")
		text.WriteString(strconv.Itoa(attempt.Load))
		text.WriteString(",mean:")
		text.WriteString(strconv.FormatFloat(attempt.Mean, 'f', 1, 64))
		text.WriteString(",open:")
		text.WriteString(strconv.Itoa(attempt.Candidates))
		if attempt.Version != "" {
			text.WriteString(",version:")
			text.WriteString(attempt.Version)
		}
		if attempt.FetchFrom != "" {
			text.WriteString(",fetch:")
			text.WriteString(attempt.FetchFrom)
		}
		if attempt.Events > 0 {
			text.WriteString(",events:")
			text.WriteString(strconv.Itoa(attempt.Events))
		}
		describeNotice(&text, attempt.Notice)
		if attempt.Reason != "" {
			text.WriteString(",reason:")
			text.WriteString(strings.ReplaceAll(attempt.Reason, " ", "_"))
		}
		text.WriteByte(')')
	}
	return text.String()
}

// describeNotice appends what a target reported about itself, if anything.
func describeNotice(text *strings.Builder, notice balance.Notice) {
	if notice.Leaving {
		text.WriteString(",leaving:true")
	}
	if notice.RetryAfter > 0 {
		text.WriteString(",rest_ms:")
		text.WriteString(strconv.FormatInt(notice.RetryAfter.Milliseconds(), 10))
	}
	if notice.Unreadable != "" {
		text.WriteString(",rest_unreadable:")
		text.WriteString(strings.Map(replaceSeparator, notice.Unreadable))
	}
}

// replaceSeparator replaces the characters that separate the fields of an attempt.
func replaceSeparator(r rune) rune {
	if strings.ContainsRune(" ,:()=\n\r\t", r) {
		return '_'
	}
	return r
}
