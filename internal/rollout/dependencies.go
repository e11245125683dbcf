package rollout

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrOutdated means that a commit had no effect, and never will, since the store holds another
// order or record than the commit builds on.
var ErrOutdated = errors.New("the store holds another order or record")

// Commit is a record to be written together with the status that operators read.
type Commit struct {
	Record Record
	// Over is the revision of the record to be replaced; zero for none.
	Over int64
	// Withdrawn makes the commit conditional on the store holding no order for the service.
	Withdrawn bool
}

// Store keeps records. A commit that fails with an error other than ErrOutdated may have taken
// effect, or may take effect later if its conditions still hold then.
type Store interface {
	// Commit writes the record and the status in one transaction, on the conditions that the
	// order's key still has the order's revision and that the record's key still has the revision
	// Over. It returns the new revision of the record.
	Commit(ctx context.Context, commit Commit) (int64, error)
	// Reachable reports whether the last call to the store was answered.
	Reachable() bool
}

// Peers gives access to the other gateways.
type Peers interface {
	// Decides reports whether this process is the one that decides about a service, among the
	// gateways that it knows to be alive.
	Decides(service string) bool
	// LiveIDs returns the IDs of the other gateways that have sent a heartbeat recently.
	LiveIDs() []string
}

// StepKind is the kind of a change to a rollout.
type StepKind string

// The kinds of steps.
const (
	// StepOrdered: an order was taken up.
	StepOrdered StepKind = "ordered"
	// StepStage: this process, which decides, allows another stage from now on.
	StepStage StepKind = "stage"
	// StepHalted: the version gets no more requests, before the store has the record of that.
	StepHalted StepKind = "halted"
	// StepRecorded: the store has a new state.
	StepRecorded StepKind = "recorded"
	// StepCommitFailed: a state could not be written. The commit will be retried.
	StepCommitFailed StepKind = "commit_failed"
)

// Step is a change that operators want to know of, with the figures behind the decision.
type Step struct {
	Kind    StepKind
	Service string
	Version string
	Order   int64
	State   State
	Stage   Stage
	// Reason explains the step in plain language; empty if the kind says it all.
	Reason string
	// Age is how long the order has been known.
	Age time.Duration
	// Requests and Exposed count the requests that all gateways have reported since the order:
	// those to the service, and those to the version.
	Requests, Exposed int
	Err               error
}

// Watcher is notified of steps. Its methods don't block.
type Watcher interface {
	RolloutStep(step Step)
}
