package rollout

import (
	"fmt"
	"slices"
	"time"
)

// situation is what a decider is told at each step.
type stepInput struct {
	// view is what the own gate knows; its trial is running.
	view view
	// report is what the own gate reports.
	report Report
	// every is the time between reports.
	reportInterval time.Duration
	// live are the other gateways that are heard.
	livePeers []string
	// few says that they are so few that this process is probably cut off from the others,
	// and most how many there were.
	minority bool
	maxPeers int
	// reachable says whether the store answered the last call.
	reachable bool
	// versions are the service's targets, by version.
	versions map[string]int
	// committing says that the store has not yet answered a commit.
	committing bool
	// unsure says that a completion which builds on the known record was not answered:
	// the store may still take it.
	completionUnresolved bool
}

// decider takes the steps of one service's roll-out. It is pure: it hears reports, and
// tells what to allow and what to write.
type decider struct {
	options Options
	order   Order
	// first is the revision of the first order of the trial.
	firstRevision int64
	// since is when the order became known to the first gateway, as far as is known.
	knownSince time.Time
	deadline   time.Time
	// before are the sums at the last order, if it is not the trial's first.
	requestsBefore, exposedBefore int
	judge                         *Judge
	gateways                      map[string]*gatewayReports
	// began is when this process began to decide.
	decidingSince  time.Time
	reportInterval time.Duration
	stage          Stage
	// moveUntil is when the gateways leave the move; it is in the past but in a move.
	moveBegan, moveUntil time.Time
	// reason is why the version gets nothing any more; empty if it may.
	haltReason string
	// alone is since when the service has had targets of the version only.
	soleSince time.Time
	// others are the other versions that were seen since the order.
	otherVersions map[string]bool
	// listed are the versions that had targets when the first order was taken up, if no
	// gateway had taken it up before; nil before the registry has said so.
	initialVersions []string
}

func newDecider(options Options, v view, now time.Time) *decider {
	return &decider{
		options: options, order: v.order, firstRevision: v.firstRevision, knownSince: v.knownSince, decidingSince: now,
		judge: NewJudge(), gateways: make(map[string]*gatewayReports), otherVersions: make(map[string]bool),
	}
}

// rest has the decider allow nothing until it has heard all gateways again: it was not
// its turn in between.
func (d *decider) reset(now time.Time) {
	d.stage, d.decidingSince, d.soleSince = Hold, now, time.Time{}
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
		return decision{commit: d.commitFor(s, Completed, now), by: by, reason: "all gateways send everything to the version"}
	}
	if s.completionUnresolved && !now.Before(d.moveUntil.Add(-holdMargin)) {
		// The gateways send to the others again: the completion must not be taken now.
		return decision{commit: d.commitFor(s, Running, now), by: now.Add(commitTimeout), reason: reason}
	}
	if d.stage != Move && d.recordOutdated(s, now) {
		return decision{commit: d.commitFor(s, Running, now), by: now.Add(commitTimeout), reason: reason}
	}
	return decision{reason: reason}
}

// recordOutdated says whether the record lacks the order, or much of the time since: all
// gateways may begin anew, and the deadline is to stay. Not shortly before a move, since
// a record that is written late would take the place of the one that it builds on.
func (d *decider) recordOutdated(s stepInput, now time.Time) bool {
	record := s.view.record
	if record.Order.Revision < d.order.Revision {
		return true
	}
	age := now.Sub(d.knownSince)
	return age-record.Elapsed >= elapsedInterval && age+elapsedInterval < d.timePart(moveStart)
}

// learn takes what has changed since the last step.
func (d *decider) update(s stepInput, now time.Time) {
	d.reportInterval = s.reportInterval
	if s.view.order.Revision != d.order.Revision {
		d.order, d.knownSince = s.view.order, s.view.knownSince
		d.requestsBefore, d.exposedBefore = d.totals()
		if d.stage == Move {
			// The completion of the order before can't be written any more.
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
	case others > 0 || s.versions[d.order.Version] == 0 || !s.reachable:
		d.soleSince = time.Time{}
	case d.soleSince.IsZero():
		d.soleSince = now
	}
}

// versionsBeforeOrder are the versions that have targets before the first order's version has
// shown anything; none if another order or a record came before.
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

// served are the versions that served before the first order, for the record.
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

// condemned is why the version gets nothing any more; empty if it may.
func (d *decider) checkHalt(s stepInput, now time.Time) string {
	if s.view.halted {
		return "another gateway has halted the version; its log has the reason"
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

// overdue is what the clock says against the version; empty for nothing. Before the
// deadline the others are heard first: what a new decider lacks they may have.
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

// undone adds to a reason what the roll-out lacks.
func (d *decider) appendMissing(s stepInput, reason string) string {
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
func (d *decider) timePart(factor float64) time.Duration {
	return scale(d.deadline.Sub(d.knownSince), factor)
}

// standing is why the version has everything without a move; empty if it hasn't.
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

// hadOthers says whether the service ever had another version, as far as is known: a new
// decider has not seen those that were there before it.
func (d *decider) hadOthers(v view) bool {
	return len(d.otherVersions) > 0 || v.record.Current != "" || len(v.refused) > 0
}

// advance goes to another stage if it is time, and says why.
func (d *decider) advance(s stepInput, now time.Time) string {
	switch d.stage {
	case Hold:
		heardAll := d.allReported(s, now) || d.waitedForReports(now)
		if s.versions[d.order.Version] == 0 || !heardAll {
			return ""
		}
		d.stage = Canary
		return "the version's targets are listed"
	case Canary:
		return d.beginMove(s, now)
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
		// A record that the store may write later would take the place of the one on
		// which the completion builds.
		return ""
	}
	duration := d.affordableMove(s, now)
	if duration < d.minMoveDuration() {
		return ""
	}
	d.stage, d.moveBegan, d.moveUntil = Move, now, now.Add(duration)
	return fmt.Sprintf("%s; the share is enough for a move of %d ms", reason, duration.Milliseconds())
}

// minMoveDuration is how long a move lasts at least: all gateways hear of it with their next
// report, say so, and the store answers.
func (d *decider) minMoveDuration() time.Duration {
	return d.moveReportInterval() + entryMargin + commitReserve
}

// stepInterval is the time until the next look at the roll-out.
func (d *decider) stepInterval() time.Duration {
	if d.stage == Move {
		return moveStepInterval
	}
	return stepInterval
}

// moveReportInterval is the time between reports when a move may begin.
func (d *decider) moveReportInterval() time.Duration {
	if isShortOrder(d.order, d.options) {
		return d.reportInterval / shortOrderReportFactor
	}
	return d.reportInterval
}

// moved says whether the completion may be written now: all live gateways obey the
// move, all requests have gone to the version for a while, and nothing is under way at
// others, or there is no more time to wait for it.
func (d *decider) moveComplete(s stepInput, now time.Time) bool {
	if !s.reachable || s.minority || !now.Before(d.moveUntil.Add(-holdMargin)) {
		return false
	}
	others := 0
	for id, h := range d.gateways {
		if id == selfID || slices.Contains(s.livePeers, id) {
			others += h.report.Others
		}
	}
	for _, id := range append([]string{selfID}, s.livePeers...) {
		h := d.gateways[id]
		if h == nil || !h.obeysMove(d.order.Revision) || h.at.Before(d.moveBegan) || d.isLate(h, now) {
			return false
		}
	}
	longEnough := now.Sub(d.moveBegan) >= minMoveReports*d.moveReportInterval()
	return longEnough && others == 0 || now.Add(commitReserve).After(d.moveUntil)
}
