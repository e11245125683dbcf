package rollout

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/capersaddle/capersaddle/internal/clock"
)

const (
	// commitRetryDelay is the time between a commit that failed and the next one: short, since
	// a move's time costs exposure.
	commitRetryDelay = 200 * time.Millisecond
	// maxCommitRetryDelay is what it grows to while the store is away, but in a move: a record
	// that is late by so much costs nothing, and the store is tried at once when it answers
	// anything.
	maxCommitRetryDelay = 5 * time.Second
	// maxCountedFailures is how many are counted: the pause has grown by then.
	maxCountedFailures = 8
	// outdatedRetryDelay is the same where the store holds something else than was known,
	// which the replica brings soon.
	outdatedRetryDelay = time.Second
)

// duty is what a controller keeps of a service besides its gate.
type deciderState struct {
	// decides says whether this process decides about the service.
	decides bool
	// decider is nil before this process has ever decided about the running order.
	decider *decider
	// stage and halted are those that the watcher was told.
	stage  Stage
	halted bool
	// writing says that the store has not answered a commit yet.
	commitInFlight bool
	// failed is how the last commit ended, and over the record that it built on; it is
	// tried again at again, or when another record is known.
	lastErr  error
	lastOver int64
	retryAt  time.Time
	// moveRetryAt is again in a move, whose time costs exposure.
	moveRetryAt time.Time
	// failures counts the commits that failed since the store answered last, and told is
	// the last one that the watcher was told.
	failures     int
	lastReported string
	// away says that the store didn't answer at the last look.
	storeAway bool
	// unsure is a completion that the store has not answered, and may still take; nil
	// for none. A newer record or order ends the doubt.
	unresolved *Commit
	// completing says that it was the last commit.
	lastCompleted bool
}

// writing is a commit that the store is to take within a time.
type pendingCommit struct {
	commit  Commit
	timeout time.Duration
	// reason is in plain words.
	reason string
}

// doubts says whether the store may still take a completion that it has not answered.
func (d *deciderState) hasUnresolved(v view) bool {
	if d.unresolved != nil && (v.revision != d.unresolved.Over || v.order.Revision != d.unresolved.Record.Order.Revision) {
		d.unresolved = nil
	}
	return d.unresolved != nil
}

// back has a commit tried at once if the store answers again.
func (d *deciderState) noteReachable(reachable bool) {
	if reachable && d.storeAway {
		d.failures, d.retryAt = 0, time.Time{}
	}
	d.storeAway = !reachable
}

// fail takes that a commit failed, and says whether that is news.
func (d *deciderState) noteFailure(state State, err error, now time.Time) bool {
	if errors.Is(err, ErrOutdated) {
		d.failures = 0
		d.retryAt, d.moveRetryAt = now.Add(outdatedRetryDelay), now.Add(outdatedRetryDelay)
	} else {
		pause := commitRetryDelay
		for range d.failures {
			pause = min(2*pause, maxCommitRetryDelay)
		}
		d.failures = min(d.failures+1, maxCountedFailures)
		d.retryAt, d.moveRetryAt = now.Add(pause), now.Add(commitRetryDelay)
	}
	message := string(state) + " " + err.Error()
	changed := message != d.lastReported
	d.lastReported = message
	return changed
}

// due is the commit to be begun now, if one is wanted.
func (d *deciderState) nextCommit(decision decision, revision int64, now time.Time) (pendingCommit, bool) {
	timeout := decision.by.Sub(now)
	if decision.commit == nil || d.commitInFlight || timeout <= 0 {
		return pendingCommit{}, false
	}
	recordChanged := errors.Is(d.lastErr, ErrOutdated) && d.lastOver != revision
	supersedes := d.lastCompleted && d.unresolved != nil && decision.commit.Record.State != Completed
	again := d.retryAt
	if d.decider != nil && d.decider.stage == Move {
		again = d.moveRetryAt
	}
	if now.Before(again) && !recordChanged && !supersedes {
		return pendingCommit{}, false
	}
	d.commitInFlight = true
	return pendingCommit{commit: *decision.commit, timeout: timeout, reason: decision.reason}, true
}

// commitAsync writes in a goroutine of its own.
func (c *Controller) commitAsync(w pendingCommit) {
	c.wait.Go(func() {
		ctx, cancel := context.WithTimeout(c.ctx, w.timeout)
		defer cancel()
		revision, err := c.options.Store.Commit(ctx, w.commit)
		c.commitDone(w, revision, err, clock.Now())
	})
}

// committed takes the store's answer.
func (c *Controller) commitDone(w pendingCommit, revision int64, err error, now time.Time) {
	record := w.commit.Record
	c.mu.Lock()
	d := c.deciderFor(record.Order.Service)
	d.commitInFlight, d.lastErr, d.lastOver = false, err, w.commit.Over
	d.retryAt, d.moveRetryAt = time.Time{}, time.Time{}
	d.lastCompleted = record.State == Completed
	if err != nil && d.lastCompleted && !errors.Is(err, ErrOutdated) {
		d.unresolved = &w.commit
	}
	if err == nil && d.lastCompleted {
		// The old targets stop now, and the record takes a while to reach the others.
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
			Order: record.Order.Revision, State: record.State, Reason: w.reason, Age: record.Elapsed, Err: err,
		})
	}
	c.mu.Unlock()
	if err == nil {
		c.recorded(record, revision, w.reason, now)
	}
	c.requestStep()
}
