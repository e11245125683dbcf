package rollout

import (
	"fmt"
	"slices"
	"time"
)

// situation is what a decider is told at each step.
type situation struct {
	// view is what the own gate knows; its trial is running.
	view view
	// report is what the own gate reports.
	report Report
	// every is the time between reports.
	every time.Duration
	// live are the other gateways that are heard.
	live []string
	// few says that they are so few that this process is probably cut off from the others,
	// and most how many there were.
	few  bool
	most int
	// reachable says whether the store answered the last call.
	reachable bool
	// versions are the service's targets, by version.
	versions map[string]int
	// committing says that the store has not yet answered a commit.
	committing bool
	// unsure says that a completion which builds on the known record was not answered:
	// the store may still take it.
	unsure bool
}

// decider takes the steps of one service's roll-out. It is pure: it hears reports, and
// tells what to allow and what to write.
type decider struct {
	options Options
	order   Order
	// first is the revision of the first order of the trial.
	first int64
	// since is when the order became known to the first gateway, as far as is known.
	since    time.Time
	deadline time.Time
	// before are the sums at the last order, if it is not the trial's first.
	requestsBefore, exposedBefore int
	judge                         *Judge
	gateways                      map[string]*heard
	// began is when this process began to decide.
	began time.Time
	every time.Duration
	stage Stage
	// moveUntil is when the gateways leave the move; it is in the past but in a move.
	moveBegan, moveUntil time.Time
	// reason is why the version gets nothing any more; empty if it may.
	reason string
	// alone is since when the service has had targets of the version only.
	alone time.Time
	// others are the other versions that were seen since the order.
	others map[string]bool
	// listed are the versions that had targets when the first order was taken up, if no
	// gateway had taken it up before; nil before the registry has said so.
	listed []string
}

func newDecider(options Options, v view, now time.Time) *decider {
	return &decider{
		options: options, order: v.order, first: v.first, since: v.since, began: now,
		judge: NewJudge(), gateways: make(map[string]*heard), others: make(map[string]bool),
	}
}

// rest has the decider allow nothing until it has heard all gateways again: it was not
// its turn in between.
func (d *decider) rest(now time.Time) {
	d.stage, d.began, d.alone = Hold, now, time.Time{}
}

// decision is what a step decides; the stage is the decider's.
type decision struct {
	// commit is what is to be written, if it isn't nil, with an answer before by.
	commit *Commit
	by     time.Time
	// reason is why the stage or the state is another one now; empty for no change.
	reason string
}

// step decides what is allowed from now on, and what is to be written.
func (d *decider) step(s situation, now time.Time) decision {
	d.learn(s, now)
	d.hear(own, s.report, now)
	if d.reason == "" {
		d.reason = d.condemned(s, now)
	}
	if d.reason != "" {
		d.stage = Hold
		return decision{commit: d.write(s, RolledBack, now), by: now.Add(commitTimeout), reason: d.reason}
	}
	if why := d.standing(s, now); why != "" {
		return decision{commit: d.write(s, Completed, now), by: now.Add(commitTimeout), reason: why}
	}
	why := d.advance(s, now)
	if d.stage == Move && d.moved(s, now) {
		by := d.moveUntil.Add(-holdMargin)
		return decision{commit: d.write(s, Completed, now), by: by, reason: "all gateways send everything to the version"}
	}
	if s.unsure && !now.Before(d.moveUntil.Add(-holdMargin)) {
		// The gateways send to the others again: the completion must not be taken now.
		return decision{commit: d.write(s, Running, now), by: now.Add(commitTimeout), reason: why}
	}
	if d.stage != Move && d.outOfDate(s, now) {
		return decision{commit: d.write(s, Running, now), by: now.Add(commitTimeout), reason: why}
	}
	return decision{reason: why}
}

// outOfDate says whether the record lacks the order, or much of the time since: all
// gateways may begin anew, and the deadline is to stay. Not shortly before a move, since
// a record that is written late would take the place of the one that it builds on.
func (d *decider) outOfDate(s situation, now time.Time) bool {
	record := s.view.record
	if record.Order.Revision < d.order.Revision {
		return true
	}
	age := now.Sub(d.since)
	return age-record.Elapsed >= elapsedEvery && age+elapsedEvery < d.at(moveFrom)
}

// learn takes what has changed since the last step.
func (d *decider) learn(s situation, now time.Time) {
	d.every = s.every
	if s.view.order.Revision != d.order.Revision {
		d.order, d.since = s.view.order, s.view.since
		d.requestsBefore, d.exposedBefore = d.sums()
		if d.stage == Move {
			// The completion of the order before can't be written any more.
			d.stage = Canary
		}
	}
	if s.view.since.Before(d.since) {
		d.since = s.view.since
	}
	d.deadline = deadlineOf(d.order, d.since, s.view.notBefore)
	if d.listed == nil && s.versions != nil {
		d.listed = listedBefore(s)
	}
	others := 0
	for version, count := range s.versions {
		if version != d.order.Version && count > 0 {
			d.others[version] = true
			others += count
		}
	}
	switch {
	case others > 0 || s.versions[d.order.Version] == 0 || !s.reachable:
		d.alone = time.Time{}
	case d.alone.IsZero():
		d.alone = now
	}
}

// listedBefore are the versions that have targets before the first order's version has
// shown anything; none if another order or a record came before.
func listedBefore(s situation) []string {
	if s.view.revision != 0 {
		return []string{}
	}
	var listed []string
	for version, count := range s.versions {
		if count > 0 {
			listed = append(listed, version)
		}
	}
	return namesOf(listed, append([]string{s.view.order.Version}, s.view.refused...)...)
}

// served are the versions that served before the first order, for the record.
func (d *decider) served(v view) []string {
	if v.record.Current != "" {
		return nil
	}
	served := namesOf(slices.Concat(v.served, d.listed), v.refused...)
	if len(served) == 0 {
		return nil
	}
	return served
}

// condemned is why the version gets nothing any more; empty if it may.
func (d *decider) condemned(s situation, now time.Time) string {
	if s.view.halted {
		return "another gateway has halted the version; its log has the reason"
	}
	if s.view.proved() {
		return ""
	}
	verdict, why := d.judge.Verdict()
	if verdict == Bad {
		return "judged bad: " + why
	}
	return d.overdue(s, now)
}

// overdue is what the clock says against the version; empty for nothing. Before the
// deadline the others are heard first: what a new decider lacks they may have.
func (d *decider) overdue(s situation, now time.Time) string {
	if !now.Before(d.deadline) {
		return d.undone(s, "the deadline has passed")
	}
	if s.versions[d.order.Version] == 0 || d.stage == Move || !d.informed(s, now) {
		return ""
	}
	verdict, why := d.judge.Verdict()
	if verdict == Undecided && !d.judge.Clean() && now.Sub(d.since) >= d.at(lastMoment) {
		return d.undone(s, "not judged in time: "+why)
	}
	if !d.alone.IsZero() || now.Add(d.leastMove()).Before(d.deadline) {
		return ""
	}
	return d.undone(s, "no time is left for the move")
}

// undone adds to a reason what the roll-out lacks.
func (d *decider) undone(s situation, reason string) string {
	switch {
	case s.versions == nil:
		return reason + ", and the service is not known"
	case s.versions[d.order.Version] == 0:
		return reason + ", and the version has no targets"
	case !s.reachable:
		return reason + ", and the store is away"
	}
	return reason
}

// at is a part of the time from the order to its deadline.
func (d *decider) at(of float64) time.Duration {
	return part(d.deadline.Sub(d.since), of)
}

// standing is why the version has everything without a move; empty if it hasn't.
func (d *decider) standing(s situation, now time.Time) string {
	if s.few {
		return ""
	}
	if d.order.Version == s.view.record.Current {
		return "the version is the current one"
	}
	if s.view.proved() {
		return "the version served before the first order"
	}
	if d.alone.IsZero() || now.Sub(d.alone) < aloneFor {
		return ""
	}
	if d.hadOthers(s.view) && !d.judge.Clean() {
		return ""
	}
	return "the service has no targets of other versions"
}

// hadOthers says whether the service ever had another version, as far as is known: a new
// decider has not seen those that were there before it.
func (d *decider) hadOthers(v view) bool {
	return len(d.others) > 0 || v.record.Current != "" || len(v.refused) > 0
}

// advance goes to another stage if it is time, and says why.
func (d *decider) advance(s situation, now time.Time) string {
	switch d.stage {
	case Hold:
		heardAll := d.heardAll(s, now) || d.waited(now)
		if s.versions[d.order.Version] == 0 || !heardAll {
			return ""
		}
		d.stage = Canary
		return "the version's targets are listed"
	case Canary:
		return d.begin(s, now)
	case Move:
		if now.Before(d.moveUntil) {
			return ""
		}
		d.stage = Canary
		return "the move's time is over, and the store has not taken it"
	}
	return ""
}

// begin starts the move if it is time, and says why.
func (d *decider) begin(s situation, now time.Time) string {
	verdict, why := d.judge.Verdict()
	age := now.Sub(d.since)
	good := verdict == Good && age >= d.at(moveFrom)
	if !good {
		good = verdict != Bad && d.judge.Clean() && age >= d.at(cleanFrom)
	}
	if !good || !s.reachable || s.committing || s.unsure || s.few || !d.heardAll(s, now) {
		return ""
	}
	if s.versions[d.order.Version] == 0 || s.view.record.Order.Revision != d.order.Revision {
		// A record that the store may write later would take the place of the one on
		// which the completion builds.
		return ""
	}
	lasts := d.affords(s, now)
	if lasts < d.leastMove() {
		return ""
	}
	d.stage, d.moveBegan, d.moveUntil = Move, now, now.Add(lasts)
	return fmt.Sprintf("%s; the share is enough for a move of %d ms", why, lasts.Milliseconds())
}

// leastMove is how long a move lasts at least: all gateways hear of it with their next
// report, say so, and the store answers.
func (d *decider) leastMove() time.Duration {
	return d.entryEvery() + entryMargin + commitReserve
}

// stepEvery is the time until the next look at the roll-out.
func (d *decider) stepEvery() time.Duration {
	if d.stage == Move {
		return moveStepEvery
	}
	return stepEvery
}

// entryEvery is the time between reports when a move may begin.
func (d *decider) entryEvery() time.Duration {
	if hurried(d.order, d.options) {
		return d.every / hurry
	}
	return d.every
}

// moved says whether the completion may be written now: all live gateways obey the
// move, all requests have gone to the version for a while, and nothing is under way at
// others, or there is no more time to wait for it.
func (d *decider) moved(s situation, now time.Time) bool {
	if !s.reachable || s.few || !now.Before(d.moveUntil.Add(-holdMargin)) {
		return false
	}
	others := 0
	for id, h := range d.gateways {
		if id == own || slices.Contains(s.live, id) {
			others += h.report.Others
		}
	}
	for _, id := range append([]string{own}, s.live...) {
		h := d.gateways[id]
		if h == nil || !h.obeysMove(d.order.Revision) || h.at.Before(d.moveBegan) || d.late(h, now) {
			return false
		}
	}
	seen := now.Sub(d.moveBegan) >= seenReports*d.entryEvery()
	return seen && others == 0 || now.Add(commitReserve).After(d.moveUntil)
}
