package rollout

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/capersaddle/capersaddle/internal/clock"
)

const (
	// commitAgain is the time between a commit that failed and the next one: short, since
	// a move's time costs exposure.
	commitAgain = 200 * time.Millisecond
	// commitAgainMost is what it grows to while the store is away, but in a move: a record
	// that is late by so much costs nothing, and the store is tried at once when it answers
	// anything.
	commitAgainMost = 5 * time.Second
	// mostFailures is how many are counted: the pause has grown by then.
	mostFailures = 8
	// outdatedAgain is the same where the store holds something else than was known,
	// which the replica brings soon.
	outdatedAgain = time.Second
)

// duty is what a controller keeps of a service besides its gate.
type duty struct {
	// decides says whether this process decides about the service.
	decides bool
	// decider is nil before this process has ever decided about the running order.
	decider *decider
	// stage and halted are those that the watcher was told.
	stage  Stage
	halted bool
	// writing says that the store has not answered a commit yet.
	writing bool
	// failed is how the last commit ended, and over the record that it built on; it is
	// tried again at again, or when another record is known.
	failed error
	over   int64
	again  time.Time
	// againInMove is again in a move, whose time costs exposure.
	againInMove time.Time
	// failures counts the commits that failed since the store answered last, and told is
	// the last one that the watcher was told.
	failures int
	told     string
	// away says that the store didn't answer at the last look.
	away bool
	// unsure is a completion that the store has not answered, and may still take; nil
	// for none. A newer record or order ends the doubt.
	unsure *Commit
	// completing says that it was the last commit.
	completing bool
}

// writing is a commit that the store is to take within a time.
type writing struct {
	commit Commit
	within time.Duration
	// reason is in plain words.
	reason string
}

// doubts says whether the store may still take a completion that it has not answered.
func (d *duty) doubts(v view) bool {
	if d.unsure != nil && (v.revision != d.unsure.Over || v.order.Revision != d.unsure.Record.Order.Revision) {
		d.unsure = nil
	}
	return d.unsure != nil
}

// back has a commit tried at once if the store answers again.
func (d *duty) back(reachable bool) {
	if reachable && d.away {
		d.failures, d.again = 0, time.Time{}
	}
	d.away = !reachable
}

// fail takes that a commit failed, and says whether that is news.
func (d *duty) fail(state State, err error, now time.Time) bool {
	if errors.Is(err, ErrOutdated) {
		d.failures = 0
		d.again, d.againInMove = now.Add(outdatedAgain), now.Add(outdatedAgain)
	} else {
		pause := commitAgain
		for range d.failures {
			pause = min(2*pause, commitAgainMost)
		}
		d.failures = min(d.failures+1, mostFailures)
		d.again, d.againInMove = now.Add(pause), now.Add(commitAgain)
	}
	said := string(state) + " " + err.Error()
	news := said != d.told
	d.told = said
	return news
}

// due is the commit to be begun now, if one is wanted.
func (d *duty) due(decision decision, revision int64, now time.Time) (writing, bool) {
	within := decision.by.Sub(now)
	if decision.commit == nil || d.writing || within <= 0 {
		return writing{}, false
	}
	renewed := errors.Is(d.failed, ErrOutdated) && d.over != revision
	voids := d.completing && d.unsure != nil && decision.commit.Record.State != Completed
	again := d.again
	if d.decider != nil && d.decider.stage == Move {
		again = d.againInMove
	}
	if now.Before(again) && !renewed && !voids {
		return writing{}, false
	}
	d.writing = true
	return writing{commit: *decision.commit, within: within, reason: decision.reason}, true
}

// commitBeside writes in a goroutine of its own.
func (c *Controller) commitBeside(w writing) {
	c.wait.Go(func() {
		ctx, cancel := context.WithTimeout(c.ctx, w.within)
		defer cancel()
		revision, err := c.options.Store.Commit(ctx, w.commit)
		c.committed(w, revision, err, clock.Now())
	})
}

// committed takes the store's answer.
func (c *Controller) committed(w writing, revision int64, err error, now time.Time) {
	record := w.commit.Record
	c.mu.Lock()
	d := c.duty(record.Order.Service)
	d.writing, d.failed, d.over = false, err, w.commit.Over
	d.again, d.againInMove = time.Time{}, time.Time{}
	d.completing = record.State == Completed
	if err != nil && d.completing && !errors.Is(err, ErrOutdated) {
		d.unsure = &w.commit
	}
	if err == nil && d.completing {
		// The old targets stop now, and the record takes a while to reach the others.
		c.notifyHeld(Grant{
			Service: TallyName(record.Order.Service), Order: record.Order.Revision,
			Stage: Move, Age: record.Elapsed, End: Done,
		}, now)
	}
	if err == nil {
		d.failures, d.told = 0, ""
	}
	if err != nil && d.fail(record.State, err, now) {
		c.tellHeld(Step{
			Kind: StepCommitFailed, Service: record.Order.Service, Version: record.Order.Version,
			Order: record.Order.Revision, State: record.State, Reason: w.reason, Age: record.Elapsed, Err: err,
		})
	}
	c.mu.Unlock()
	if err == nil {
		c.recorded(record, revision, w.reason, now)
	}
	c.urge()
}
