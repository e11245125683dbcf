package once

import (
	"fmt"
	"slices"

	"github.com/capersaddle/capersaddle/internal/policy"
)

// Peer is an agent of the same service, as membership knows it.
type Peer struct {
	Holder     Holder
	DataCenter string
	// Leaving peers get no slots and are no witnesses.
	Leaving bool
}

// Situation is what a plan is made from besides the table.
type PlanInput struct {
	// Peers are the live agents of the service, this one included.
	Peers []Peer
	// DataCenter is this agent's own.
	DataCenter string
	// Leases are the long leases of owners that are not live, by agent; an
	// agent that never wrote one has no entry.
	Leases map[string]LongLease
	// MaxMoves bounds the slots handed over in one plan.
	MaxMoves int
}

// Plan is the change of the table that this agent wants now.
type Plan struct {
	// Base is the version of the table that the plan changes.
	Base  uint64
	Table Table
	// Takes names the owners whose slots are taken over as their witness.
	TakesOver []Holder
	// Moves are the slots to hand over first, by successor.
	Moves map[Holder][]int
	// Why has one line for each change, for the log.
	Reasons []string
}

// planner gathers one plan.
type planner struct {
	guard     *Guard
	situation PlanInput
	plan      Plan
	live      map[Holder]bool
	// names are the live agents that may own slots.
	names   []string
	holders map[string]Holder
	centers map[string]string
}

// Plan says what this agent wants to change in the table; false when nothing.
// The caller freezes and exports Moves, calls Sending and only then writes.
func (g *Guard) Plan(situation PlanInput) (Plan, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.table.Slots) == 0 {
		return Plan{}, false
	}
	p := newPlanner(g, situation)
	p.takeOver()
	p.claim()
	p.renewWitnesses()
	p.move()
	return p.plan, len(p.plan.Reasons) > 0
}

func newPlanner(g *Guard, situation PlanInput) *planner {
	p := &planner{
		guard:     g,
		situation: situation,
		plan:      Plan{Base: g.table.Version, Table: g.table.Clone(), Moves: make(map[Holder][]int)},
		live:      make(map[Holder]bool),
		holders:   make(map[string]Holder),
		centers:   make(map[string]string),
	}
	for _, peer := range situation.Peers {
		p.live[peer.Holder] = true
		if peer.Leaving {
			continue
		}
		p.names = append(p.names, peer.Holder.Agent)
		p.holders[peer.Holder.Agent] = peer.Holder
		p.centers[peer.Holder.Agent] = peer.DataCenter
	}
	return p
}

func (p *planner) say(format string, args ...any) {
	p.plan.Reasons = append(p.plan.Reasons, fmt.Sprintf(format, args...))
}

// own gives a slot to this agent in a new line of owners. A slot that nobody
// ever owned has no keys to be in doubt about: its line has no start.
func (p *planner) own(number int) {
	row := &p.plan.Table.Slots[number]
	row.Owner = p.guard.self
	row.Witness = p.witnessFor(p.guard.self.Agent)
	row.StartMS = 0
	if row.Epoch > 0 {
		row.StartMS = p.guard.wall().UnixMilli()
	}
	row.Epoch++
}

// takeOver takes the slots of owners that this agent is witness of and whose
// promises have all run out.
func (p *planner) takeOver() {
	for _, owner := range p.guard.lapsed() {
		taken := 0
		for number, row := range p.guard.table.Slots {
			if row.Owner == owner && row.Witness == p.guard.self {
				p.own(number)
				taken++
			}
		}
		p.plan.TakesOver = append(p.plan.TakesOver, owner)
		p.say("take over %d slots of %s as its witness", taken, owner.Agent)
	}
}

// claim takes slots that nobody owns, and those whose owner and witness are
// gone and whose long lease is over, if this agent comes first for them; also
// its own that it had given up.
func (p *planner) claim() {
	claimed := 0
	for number, row := range p.guard.table.Slots {
		orphan := p.orphan(row) && p.preferred(number) == p.guard.self
		givenUp := row.Owner == p.guard.self && p.guard.isLost(number, row)
		if !orphan && !givenUp {
			continue
		}
		p.own(number)
		claimed++
	}
	if claimed > 0 {
		p.say("claim %d slots without an owner", claimed)
	}
}

func (p *planner) orphan(row Slot) bool {
	if row.Owner == (Holder{}) {
		return true
	}
	if p.live[row.Owner] || p.live[row.Witness] {
		return false
	}
	lease, ok := p.situation.Leases[row.Owner.Agent]
	return ok && p.guard.leaseOver(lease)
}

// preferred is the live agent that comes first for a slot.
func (p *planner) preferred(number int) Holder {
	return p.holders[policy.First(slotName(p.guard.options.Service, number), p.names)]
}

func slotName(service string, number int) string {
	return fmt.Sprintf("%s/%d", service, number)
}

// witnessFor picks one witness for an owner, in another data centre if there
// is one.
func (p *planner) witnessFor(owner string) Holder {
	var away, near []string
	for _, name := range p.names {
		switch {
		case name == owner:
		case p.centers[name] != p.centers[owner]:
			away = append(away, name)
		default:
			near = append(near, name)
		}
	}
	if len(away) == 0 {
		away = near
	}
	return p.holders[policy.First("witness/"+owner, away)]
}

// renewWitnesses replaces witnesses that are gone or leaving.
func (p *planner) renewWitnesses() {
	changed := 0
	for number := range p.plan.Table.Slots {
		row := &p.plan.Table.Slots[number]
		if row.Owner != p.guard.self || p.guard.isLost(number, *row) || p.holders[row.Witness.Agent] == row.Witness && row.Witness != (Holder{}) {
			continue
		}
		witness := p.witnessFor(p.guard.self.Agent)
		if witness == row.Witness {
			continue
		}
		row.Witness = witness
		changed++
	}
	if changed > 0 {
		p.say("name %s as witness of %d slots", p.witnessFor(p.guard.self.Agent).Agent, changed)
	}
}

// move hands own slots to the agents that come first for them, a few at a
// time; a leaving agent, which never comes first, hands over all.
func (p *planner) move() {
	moved := 0
	for number, row := range p.guard.table.Slots {
		successor := p.preferred(number)
		if row.Owner != p.guard.self || p.guard.isLost(number, row) || successor == p.guard.self || successor == (Holder{}) {
			continue
		}
		if moved == p.situation.MaxMoves {
			break
		}
		moved++
		p.plan.Moves[successor] = append(p.plan.Moves[successor], number)
		next := &p.plan.Table.Slots[number]
		next.Owner = successor
		next.Witness = p.witnessFor(successor.Agent)
		next.Epoch++
		next.StartMS = p.startOf(number)
	}
	for successor, numbers := range p.plan.Moves {
		slices.Sort(numbers)
		p.say("hand over %d slots to %s", len(numbers), successor.Agent)
	}
}

// startOf keeps the line's start: the successor gets the records.
func (p *planner) startOf(number int) int64 {
	if slot, ok := p.guard.owned[number]; ok {
		return slot.start.UnixMilli()
	}
	return p.guard.wall().UnixMilli()
}
