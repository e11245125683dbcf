package rollout

import (
	"fmt"
	"slices"
	"time"
)

// stepInput is the input of one step of a decider.
type stepInput struct {
	// view is the state of the own gate; its trial is running.
	view view
	// report is the own gate's report.
	report Report
	// reportInterval is the time between reports.
	reportInterval time.Duration
	// livePeers are the other gateways that are alive.
	livePeers []string
	// minority is set if there are so few peers that this process is probably partitioned off
	// from the others; maxPeers is how many there were.
	minority bool
	maxPeers int
	// reachable reports whether the store answered the last call.
	reachable bool
	// stoodStill is set if the process has just stood still, so that what it knows may be as old.
	stoodStill bool
	// versions is the number of the service's targets per version.
	versions map[string]int
	// committing is set while the store has not answered a commit.
	committing bool
	// completionUnresolved is set if a completion that replaces the known record was not
	// answered: the store may still apply it.
	completionUnresolved bool
}

// decider takes the steps of one service's rollout. It is a pure state machine: its inputs are
// reports, and its outputs are what to allow and what to write.
type decider struct {
	options Options
	order   Order
	// firstRevision is the revision of the trial's first order.
	firstRevision int64
	// knownSince is when the order became known to the first gateway, as far as this process
	// knows.
	knownSince time.Time
	deadline   time.Time
	// requestsBefore and exposedBefore are the totals at the last order, if it is not the trial's
	// first.
	requestsBefore, exposedBefore int
	judge                         *Judge
	gateways                      map[string]*gatewayReports
	// decidingSince is when this process began to decide.
	decidingSince  time.Time
	reportInterval time.Duration
	stage          Stage
	// moveBegan is when the last move began, and moveUntil when the gateways leave it. moveUntil is
	// in the past unless a move is running.
	moveBegan, moveUntil time.Time
	// haltReason is why the version may get no more requests; empty if it may.
	haltReason string
	// soleSince is when the service was first seen with targets of this version only.
	soleSince time.Time
	// otherVersions are the other versions seen since the order.
	otherVersions map[string]bool
	// initialVersions are the versions that had targets when the first order was taken up, unless
	// a gateway had taken up an order before. It is nil until the registry has answered.
	initialVersions []string
}

func newDecider(options Options, v view, now time.Time) *decider {
	return &decider{
		options: options, order: v.order, firstRevision: v.firstRevision, knownSince: v.knownSince, decidingSince: now,
		judge: NewJudge(), gateways: make(map[string]*gatewayReports), otherVersions: make(map[string]bool),
	}
}

// reset makes the decider allow nothing until all gateways have reported again, after another
// process has decided in between.
func (d *decider) reset(now time.Time) {
	d.stage, d.decidingSince, d.soleSince = Hold, now, time.Time{}
}

// decision is the result of a step. The stage is in the decider.
type decision struct {
	// commit is the commit to make, to be answered before by, or nil.
	commit *Commit
	by     time.Time
	// reason is why the stage or the state has changed; empty for no change.
	reason string
}

// step decides what is allowed from now on, and what is to be written.
func (d *decider) step(s stepInput, now time.Time) decision {
	d.update(s, now)
	d.addReport(selfID, s.report, now)
	if d.haltReason == "" {
		d.haltReason = d.checkHalt(s, now)
	}
	if d.haltReason != "" {
		d.stage = Hold
		return decision{commit: d.commitFor(s, RolledBack, now), by: now.Add(commitTimeout), reason: d.haltReason}
	}
	if reason := d.completeWithoutMove(s, now); reason != "" {
		return decision{commit: d.commitFor(s, Completed, now), by: now.Add(commitTimeout), reason: reason}
	}
	reason := d.advance(s, now)
	if d.stage == Move && d.moveComplete(s, now) {
		by := d.moveUntil.Add(-holdMargin)
		return decision{commit: d.commitFor(s, Completed, now), by: by, reason: "all gateways send all requests to the version"}
	}
	if s.completionUnresolved && !now.Before(d.moveUntil.Add(-holdMargin)) {
		// The gateways send to the other versions again, so the completion must not take effect
		// now.
		return decision{commit: d.commitFor(s, Running, now), by: now.Add(commitTimeout), reason: reason}
	}
	if d.stage != Move && d.recordOutdated(s, now) {
		return decision{commit: d.commitFor(s, Running, now), by: now.Add(commitTimeout), reason: reason}
	}
	return decision{reason: reason}
}

// recordOutdated reports whether the record lacks the order or much of the time elapsed since.
// All gateways may restart, and the deadline must not change. It is false shortly before a move,
// since a record that is written late would replace the one that the completion builds on.
func (d *decider) recordOutdated(s stepInput, now time.Time) bool {
	record := s.view.record
	if record.Order.Revision < d.order.Revision {
		return true
	}
	age := now.Sub(d.knownSince)
	return age-record.Elapsed >= elapsedInterval && age+elapsedInterval < d.timePart(moveStart)
}

// update takes over what has changed since the last step.
func (d *decider) update(s stepInput, now time.Time) {
	d.reportInterval = s.reportInterval
	if s.view.order.Revision != d.order.Revision {
		d.order, d.knownSince = s.view.order, s.view.knownSince
		d.requestsBefore, d.exposedBefore = d.totals()
		if d.stage == Move {
			// The completion of the previous order can no longer be written.
			d.stage = Canary
		}
	}
	if s.view.knownSince.Before(d.knownSince) {
		d.knownSince = s.view.knownSince
	}
	d.deadline = deadlineOf(d.order, d.knownSince, s.view.notBefore)
	if d.initialVersions == nil && s.versions != nil {
		d.initialVersions = versionsBeforeOrder(s)
	}
	others := 0
	for version, count := range s.versions {
		if version != d.order.Version && count > 0 {
			d.otherVersions[version] = true
			others += count
		}
	}
	switch {
	case others > 0 || s.versions[d.order.Version] == 0 || !s.reachable || s.stoodStill:
		d.soleSince = time.Time{}
	case d.soleSince.IsZero():
		d.soleSince = now
	}
}

// versionsBeforeOrder returns the versions that have targets before the version of the first
// order has proved itself. It is empty if there was another order or a record before.
func versionsBeforeOrder(s stepInput) []string {
	if s.view.revision != 0 {
		return []string{}
	}
	var listed []string
	for version, count := range s.versions {
		if count > 0 {
			listed = append(listed, version)
		}
	}
	return sortedVersions(listed, append([]string{s.view.order.Version}, s.view.refused...)...)
}

// initialVersionsToRecord returns the versions that served before the first order, for the
// record.
func (d *decider) initialVersionsToRecord(v view) []string {
	if v.record.Current != "" {
		return nil
	}
	served := sortedVersions(slices.Concat(v.provenVersions, d.initialVersions), v.refused...)
	if len(served) == 0 {
		return nil
	}
	return served
}

// checkHalt returns why the version may get no more requests; empty if it may.
func (d *decider) checkHalt(s stepInput, now time.Time) string {
	if s.view.halted {
		return "another gateway halted the version; its log has the reason"
	}
	if s.view.isProven() {
		return ""
	}
	verdict, reason := d.judge.Verdict()
	if verdict == Bad {
		return "judged bad: " + reason
	}
	return d.checkDeadline(s, now)
}

// checkDeadline returns the reason to halt the version for lack of time; empty for none. Before
// the deadline all gateways must have reported first, since they may have the evidence that a new
// decider lacks.
func (d *decider) checkDeadline(s stepInput, now time.Time) string {
	if !now.Before(d.deadline) {
		return d.appendMissing(s, "the deadline has passed")
	}
	if s.versions[d.order.Version] == 0 || d.stage == Move || !d.informed(s, now) {
		return ""
	}
	verdict, verdictReason := d.judge.Verdict()
	if verdict == Undecided && !d.judge.Clean() && now.Sub(d.knownSince) >= d.timePart(verdictDeadline) {
		return d.appendMissing(s, "not judged in time: "+verdictReason)
	}
	if !d.soleSince.IsZero() || now.Add(d.minMoveDuration()).Before(d.deadline) {
		return ""
	}
	return d.appendMissing(s, "no time is left for the move")
}

// appendMissing adds what the rollout lacks to a reason.
func (d *decider) appendMissing(s stepInput, reason string) string {
	switch {
	case s.versions == nil:
		return reason + ", and the service is unknown"
	case s.versions[d.order.Version] == 0:
		return reason + ", and the version has no targets"
	case !s.reachable:
		return reason + ", and the store is unreachable"
	}
	return reason
}

// timePart returns a fraction of the time from the order to its deadline.
func (d *decider) timePart(factor float64) time.Duration {
	return scale(d.deadline.Sub(d.knownSince), factor)
}

// completeWithoutMove returns why the version gets all requests without a move; empty if it
// doesn't.
func (d *decider) completeWithoutMove(s stepInput, now time.Time) string {
	if s.minority {
		return ""
	}
	if d.order.Version == s.view.record.Current {
		return "the version is the current one"
	}
	if s.view.isProven() {
		return "the version served before the first order"
	}
	if d.soleSince.IsZero() || now.Sub(d.soleSince) < soleVersionDelay {
		return ""
	}
	if d.hadOthers(s.view) && !d.judge.Clean() {
		return ""
	}
	return "the service has no targets of other versions"
}

// hadOthers reports whether the service is known to have had another version. A new decider
// hasn't seen the ones that were there before it.
func (d *decider) hadOthers(v view) bool {
	return len(d.otherVersions) > 0 || v.record.Current != "" || len(v.refused) > 0
}

// advance moves to another stage if it is time, and returns the reason.
func (d *decider) advance(s stepInput, now time.Time) string {
	switch d.stage {
	case Hold:
		reported := d.allReported(s, now) || d.waitedForReports(now)
		if s.versions[d.order.Version] == 0 || !reported {
			return ""
		}
		d.stage = Canary
		return "targets of the version are registered"
	case Canary:
		return d.beginMove(s, now)
	case Move:
		if now.Before(d.moveUntil) {
			return ""
		}
		d.stage = Canary
		return "the move ended before the store recorded its completion"
	}
	return ""
}

// beginMove starts the move if it is time, and returns the reason.
func (d *decider) beginMove(s stepInput, now time.Time) string {
	verdict, reason := d.judge.Verdict()
	age := now.Sub(d.knownSince)
	good := verdict == Good && age >= d.timePart(moveStart)
	if !good {
		good = verdict != Bad && d.judge.Clean() && age >= d.timePart(cleanMoveStart)
	}
	if !good || !s.reachable || s.committing || s.completionUnresolved || s.minority || !d.allReported(s, now) {
		return ""
	}
	if s.versions[d.order.Version] == 0 || s.view.record.Order.Revision != d.order.Revision {
		// A record that the store may apply later would replace the one that the completion
		// builds on.
		return ""
	}
	duration := d.affordableMove(s, now)
	if duration < d.minMoveDuration() {
		return ""
	}
	d.stage, d.moveBegan, d.moveUntil = Move, now, now.Add(duration)
	return fmt.Sprintf("%s; the share allows a move of %d ms", reason, duration.Milliseconds())
}

// minMoveDuration returns the shortest useful duration of a move: all gateways receive its grant
// with their next report and confirm it, and the store answers.
func (d *decider) minMoveDuration() time.Duration {
	return d.moveReportInterval() + entryMargin + commitReserve
}

// stepInterval returns the time until the next evaluation of the rollout.
func (d *decider) stepInterval() time.Duration {
	if d.stage == Move {
		return moveStepInterval
	}
	return stepInterval
}

// moveReportInterval returns the time between reports when a move may begin.
func (d *decider) moveReportInterval() time.Duration {
	if isShortOrder(d.order, d.options) {
		return d.reportInterval / shortOrderReportFactor
	}
	return d.reportInterval
}

// moveComplete reports whether the completion may be written now: all live gateways follow the
// move, all requests have gone to the version for a while, and no requests are in flight at other
// versions, or there is no more time to wait for them.
func (d *decider) moveComplete(s stepInput, now time.Time) bool {
	if !s.reachable || s.minority || !now.Before(d.moveUntil.Add(-holdMargin)) {
		return false
	}
	others := 0
	for id, g := range d.gateways {
		if id == selfID || slices.Contains(s.livePeers, id) {
			others += g.report.Others
		}
	}
	for _, id := range append([]string{selfID}, s.livePeers...) {
		g := d.gateways[id]
		if g == nil || !g.followsMove(d.order.Revision) || g.at.Before(d.moveBegan) || d.isLate(g, now) {
			return false
		}
	}
	longEnough := now.Sub(d.moveBegan) >= minMoveReports*d.moveReportInterval()
	return longEnough && others == 0 || now.Add(commitReserve).After(d.moveUntil)
}
