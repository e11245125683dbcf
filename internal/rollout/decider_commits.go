package rollout

import (
	"maps"
	"slices"
	"time"
)

// write is the record of a state.
func (d *decider) write(s situation, state State, now time.Time) *Commit {
	v := s.view
	record := Record{
		Order:   d.order,
		State:   state,
		Elapsed: max(now.Sub(d.since), 0),
		Current: v.record.Current,
		Refused: v.refused,
	}
	if state != Completed {
		record.Served = d.served(v)
	}
	switch state {
	case Completed:
		left := append(slices.Collect(maps.Keys(d.others)), v.record.Current)
		record.Current = d.order.Version
		record.Refused = append(left, v.refused...)
	case RolledBack:
		record.Refused = append([]string{d.order.Version}, v.refused...)
	case Running:
	}
	record.Refused = namesOf(record.Refused, append([]string{record.Current}, record.Served...)...)
	return &Commit{Record: record, Over: v.revision}
}

// withdraw is the record of an order that was withdrawn before its end.
func withdraw(v view, now time.Time) *Commit {
	elapsed := time.Duration(0)
	if v.record.Order.Revision == v.left.Revision {
		elapsed = v.record.Elapsed + now.Sub(v.recordedAt)
	}
	record := Record{
		Order: v.left, State: RolledBack, Elapsed: elapsed, Current: v.record.Current,
		Refused: namesOf(append([]string{v.left.Version}, v.refused...), append([]string{v.record.Current}, v.served...)...),
		Served:  v.served,
	}
	return &Commit{Record: record, Over: v.revision, Withdrawn: true}
}

// answer is the grant for a report that arrives now.
func (d *decider) answer(service uint32, now time.Time) Grant {
	grant := Grant{
		Service: service,
		Order:   d.order.Revision,
		Stage:   d.stage,
		Age:     max(now.Sub(d.since), 0),
		For:     min(grantFor(d.options, d.every), d.deadline.Sub(now)),
		Wanted:  d.judge.Wanted(),
	}
	switch {
	case d.reason != "":
		return Grant{Service: service, Order: d.order.Revision, Age: grant.Age, End: Halted}
	case d.stage == Move:
		grant.For = d.moveUntil.Sub(now)
	}
	if grant.For <= 0 {
		// The next step decides; until then nothing is allowed that a halt would end.
		grant.Stage, grant.For = Hold, d.every
	}
	return grant
}
