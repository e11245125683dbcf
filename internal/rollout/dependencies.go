package rollout

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrOutdated says that a commit was not done, and never will be, since the store holds
// another order or another record than it builds on.
var ErrOutdated = errors.New("another order or record is in the store")

// Commit is a record to be written together with the status that operators read.
type Commit struct {
	Record Record
	// Over is the revision of the record that it takes the place of; zero for none.
	Over int64
	// Withdrawn says that the condition on the order is that the store holds none.
	Withdrawn bool
}

// Store keeps records. A commit that ends with an error other than ErrOutdated may have
// been done, or may be done later if what it builds on still holds then.
type Store interface {
	// Commit writes the record and the status in one transaction, on condition that the
	// order's key still has the order's revision and the record's key that of Over. It
	// returns the new revision of the record.
	Commit(ctx context.Context, commit Commit) (int64, error)
	// Reachable says whether the last call to the store was answered.
	Reachable() bool
}

// Peers are the other gateways.
type Peers interface {
	// Decides says whether this process is the one that decides about a service, by the
	// gateways that it hears.
	Decides(service string) bool
	// LiveIDs are the ids of the other gateways that sent a beat lately.
	LiveIDs() []string
}

// StepKind is what happened to a roll-out.
type StepKind string

// The kinds of steps.
const (
	// StepOrdered: an order was taken up.
	StepOrdered StepKind = "ordered"
	// StepStage: this process, which decides, allows another stage from now on.
	StepStage StepKind = "stage"
	// StepHalted: the version gets nothing any more, before the store has it.
	StepHalted StepKind = "halted"
	// StepRecorded: the store has a new state.
	StepRecorded StepKind = "recorded"
	// StepCommitFailed: a state could not be written; it will be tried again.
	StepCommitFailed StepKind = "commit_failed"
)

// Step is a change that operators want to know of, with the figures that decided it.
type Step struct {
	Kind    StepKind
	Service string
	Version string
	Order   int64
	State   State
	Stage   Stage
	// Reason is in plain words; empty if the kind says all.
	Reason string
	// Age is how long the order has been known.
	Age time.Duration
	// Requests and Exposed are the sendings of all gateways to the service and to the
	// version since the order, as far as they have been reported.
	Requests, Exposed int
	Err               error
}

// Watcher is notified of steps. Its methods don't block.
type Watcher interface {
	RolloutStep(step Step)
}
