package rollout

import (
	"maps"
	"slices"
	"time"
)

// commitFor returns the commit of a state.
func (d *decider) commitFor(s stepInput, state State, now time.Time) *Commit {
	v := s.view
	record := Record{
		Order:   d.order,
		State:   state,
		Elapsed: max(now.Sub(d.knownSince), 0),
		Current: v.record.Current,
		Refused: v.refused,
	}
	if state != Completed {
		record.Served = d.initialVersionsToRecord(v)
	}
	switch state {
	case Completed:
		refused := append(slices.Collect(maps.Keys(d.otherVersions)), v.record.Current)
		record.Current = d.order.Version
		record.Refused = append(refused, v.refused...)
	case RolledBack:
		record.Refused = append([]string{d.order.Version}, v.refused...)
	case Running:
	}
	record.Refused = sortedVersions(record.Refused, append([]string{record.Current}, record.Served...)...)
	return &Commit{Record: record, Over: v.revision}
}

// withdrawalCommit returns the commit that ends an order withdrawn while it was running.
func withdrawalCommit(v view, now time.Time) *Commit {
	elapsed := time.Duration(0)
	if v.record.Order.Revision == v.withdrawnOrder.Revision {
		elapsed = v.record.Elapsed + now.Sub(v.recordedAt)
	}
	record := Record{
		Order: v.withdrawnOrder, State: RolledBack, Elapsed: elapsed, Current: v.record.Current,
		Refused: sortedVersions(append([]string{v.withdrawnOrder.Version}, v.refused...), append([]string{v.record.Current}, v.provenVersions...)...),
		Served:  v.provenVersions,
	}
	return &Commit{Record: record, Over: v.revision, Withdrawn: true}
}

// answerReport returns the grant for a report that arrives now.
func (d *decider) answerReport(service uint32, now time.Time) Grant {
	grant := Grant{
		Service: service,
		Order:   d.order.Revision,
		Stage:   d.stage,
		Age:     max(now.Sub(d.knownSince), 0),
		For:     min(grantDuration(d.options, d.reportInterval), d.deadline.Sub(now)),
		Wanted:  d.judge.UndersampledRoutes(),
	}
	switch {
	case d.haltReason != "":
		return Grant{Service: service, Order: d.order.Revision, Age: grant.Age, End: Halted}
	case d.stage == Move:
		grant.For = d.moveUntil.Sub(now)
	}
	if grant.For <= 0 {
		// The next step decides. Until then nothing is allowed that a halt would end.
		grant.Stage, grant.For = Hold, d.reportInterval
	}
	return grant
}
