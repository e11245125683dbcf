package rollout

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/capersaddle/capersaddle/internal/clock"
)

const (
	// commitRetryDelay is the delay before a failed commit is retried. It is short, since time
	// spent in a move costs exposure.
	commitRetryDelay = 200 * time.Millisecond
	// maxCommitRetryDelay limits the backoff while the store is unavailable, except in a move. A
	// record delayed by this much does no harm, and a commit is retried at once when the store
	// answers any call.
	maxCommitRetryDelay = 5 * time.Second
	// maxCountedFailures limits the count of failures: the delay has reached its maximum by then.
	maxCountedFailures = 8
	// outdatedRetryDelay is the delay if the store holds something newer than was known, which
	// the replica delivers soon.
	outdatedRetryDelay = time.Second
)

// deciderState is what a controller keeps about a service besides its gate.
type deciderState struct {
	// decides reports whether this process decides about the service.
	decides bool
	// decider is nil if this process has never decided about the running order.
	decider *decider
	// stage and halted are the values last reported to the watcher.
	stage  Stage
	halted bool
	// commitInFlight is set until the store has answered a commit.
	commitInFlight bool
	// lastErr is the result of the last commit, and lastOver the revision of the record that it
	// replaced. The commit is retried at retryAt, or when another record becomes known.
	lastErr  error
	lastOver int64
	retryAt  time.Time
	// moveRetryAt replaces retryAt in a move, whose time costs exposure.
	moveRetryAt time.Time
	// failures counts the failed commits since the store last answered, and lastReported is the
	// last failure reported to the watcher.
	failures     int
	lastReported string
	// storeUnreachable is set if the store was unreachable at the last evaluation.
	storeUnreachable bool
	// unresolved is a completion whose commit was not answered and may still take effect, or nil.
	// A newer record or order resolves it.
	unresolved *Commit
	// lastCompleted is set if the last commit was a completion.
	lastCompleted bool
}

// pendingCommit is a commit to be made within a time limit.
type pendingCommit struct {
	commit  Commit
	timeout time.Duration
	// reason explains the commit to operators.
	reason string
}

// hasUnresolved reports whether an unanswered completion may still take effect in the store.
func (d *deciderState) hasUnresolved(v view) bool {
	if d.unresolved != nil && (v.revision != d.unresolved.Over || v.order.Revision != d.unresolved.Record.Order.Revision) {
		d.unresolved = nil
	}
	return d.unresolved != nil
}

// noteReachable records whether the store is reachable. A commit is retried at once if the store
// has come back.
func (d *deciderState) noteReachable(reachable bool) {
	if reachable && d.storeUnreachable {
		d.failures, d.retryAt = 0, time.Time{}
	}
	d.storeUnreachable = !reachable
}

// noteFailure records a failed commit and reports whether it differs from the last reported one.
func (d *deciderState) noteFailure(state State, err error, now time.Time) bool {
	if errors.Is(err, ErrOutdated) {
		d.failures = 0
		d.retryAt, d.moveRetryAt = now.Add(outdatedRetryDelay), now.Add(outdatedRetryDelay)
	} else {
		delay := commitRetryDelay
		for range d.failures {
			delay = min(2*delay, maxCommitRetryDelay)
		}
		d.failures = min(d.failures+1, maxCountedFailures)
		d.retryAt, d.moveRetryAt = now.Add(delay), now.Add(commitRetryDelay)
	}
	message := string(state) + " " + err.Error()
	changed := message != d.lastReported
	d.lastReported = message
	return changed
}

// nextCommit returns the commit to begin now, if there is one.
func (d *deciderState) nextCommit(decision decision, revision int64, now time.Time) (pendingCommit, bool) {
	timeout := decision.by.Sub(now)
	if decision.commit == nil || d.commitInFlight || timeout <= 0 {
		return pendingCommit{}, false
	}
	recordChanged := errors.Is(d.lastErr, ErrOutdated) && d.lastOver != revision
	supersedes := d.lastCompleted && d.unresolved != nil && decision.commit.Record.State != Completed
	retryAt := d.retryAt
	if d.decider != nil && d.decider.stage == Move {
		retryAt = d.moveRetryAt
	}
	if now.Before(retryAt) && !recordChanged && !supersedes {
		return pendingCommit{}, false
	}
	d.commitInFlight = true
	return pendingCommit{commit: *decision.commit, timeout: timeout, reason: decision.reason}, true
}

// commitAsync makes the commit in its own goroutine.
func (c *Controller) commitAsync(pending pendingCommit) {
	c.wait.Go(func() {
		ctx, cancel := context.WithTimeout(c.ctx, pending.timeout)
		defer cancel()
		revision, err := c.options.Store.Commit(ctx, pending.commit)
		c.commitDone(pending, revision, err, clock.Now())
	})
}

// commitDone handles the store's answer to a commit.
func (c *Controller) commitDone(pending pendingCommit, revision int64, err error, now time.Time) {
	record := pending.commit.Record
	c.mu.Lock()
	d := c.deciderFor(record.Order.Service)
	d.commitInFlight, d.lastErr, d.lastOver = false, err, pending.commit.Over
	d.retryAt, d.moveRetryAt = time.Time{}, time.Time{}
	d.lastCompleted = record.State == Completed
	if err != nil && d.lastCompleted && !errors.Is(err, ErrOutdated) {
		d.unresolved = &pending.commit
	}
	if err == nil && d.lastCompleted {
		// The old targets stop now, and the record takes a while to reach the other gateways.
		c.notifyEndLocked(Grant{
			Service: NameHash(record.Order.Service), Order: record.Order.Revision,
			Stage: Move, Age: record.Elapsed, End: Done,
		}, now)
	}
	if err == nil {
		d.failures, d.lastReported = 0, ""
	}
	if err != nil && d.noteFailure(record.State, err, now) {
		c.addStepLocked(Step{
			Kind: StepCommitFailed, Service: record.Order.Service, Version: record.Order.Version,
			Order: record.Order.Revision, State: record.State, Reason: pending.reason, Age: record.Elapsed, Err: err,
		})
	}
	c.mu.Unlock()
	if err == nil {
		c.recorded(record, revision, pending.reason, now)
	}
	c.requestStep()
}
