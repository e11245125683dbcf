package once

import (
	"fmt"
	"slices"

	"github.com/capersaddle/capersaddle/internal/policy"
)

// Peer is an agent of the same service, as known from membership.
type Peer struct {
	Holder     Holder
	DataCenter string
	// Leaving peers are given no slots and are not chosen as witnesses.
	Leaving bool
}

// PlanInput is what a plan is based on besides the table.
type PlanInput struct {
	// Peers are the live agents of the service, including this one.
	Peers []Peer
	// DataCenter is this agent's data centre.
	DataCenter string
	// Leases holds the long leases of owners that are not live, by agent. An agent that never
	// wrote one has no entry.
	Leases map[string]LongLease
	// MaxMoves limits the slots handed over in one plan.
	MaxMoves int
}

// Plan is the change of the table that this agent proposes.
type Plan struct {
	// Base is the version of the table that the plan changes.
	Base  uint64
	Table Table
	// TakesOver lists the owners whose slots this agent takes over as their witness.
	TakesOver []Holder
	// Moves are the slots to hand over before the change, by successor.
	Moves map[Holder][]int
	// Reasons has one line for each change, for the log.
	Reasons []string
}

// planner builds one plan.
type planner struct {
	guard *Guard
	input PlanInput
	plan  Plan
	live  map[Holder]bool
	// eligible are the names of the live agents that may own slots.
	eligible    []string
	holders     map[string]Holder
	dataCenters map[string]string
}

// Plan returns the change of the table that this agent proposes, and false if there is none. The
// caller freezes and exports Moves, calls BeginChange and only then writes the table.
func (g *Guard) Plan(input PlanInput) (Plan, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.table.Slots) == 0 {
		return Plan{}, false
	}
	p := newPlanner(g, input)
	p.takeOver()
	p.claim()
	p.renewWitnesses()
	p.moveSlots()
	return p.plan, len(p.plan.Reasons) > 0
}

func newPlanner(g *Guard, input PlanInput) *planner {
	p := &planner{
		guard:       g,
		input:       input,
		plan:        Plan{Base: g.table.Version, Table: g.table.Clone(), Moves: make(map[Holder][]int)},
		live:        make(map[Holder]bool),
		holders:     make(map[string]Holder),
		dataCenters: make(map[string]string),
	}
	for _, peer := range input.Peers {
		p.live[peer.Holder] = true
		if peer.Leaving {
			continue
		}
		p.eligible = append(p.eligible, peer.Holder.Agent)
		p.holders[peer.Holder.Agent] = peer.Holder
		p.dataCenters[peer.Holder.Agent] = peer.DataCenter
	}
	return p
}

func (p *planner) addReason(format string, args ...any) {
	p.plan.Reasons = append(p.plan.Reasons, fmt.Sprintf(format, args...))
}

// takeOwnership assigns a slot to this agent without any earlier records. A slot that never had an
// owner has no keys that could be in doubt, so it has no start.
func (p *planner) takeOwnership(number int) {
	row := &p.plan.Table.Slots[number]
	row.Owner = p.guard.self
	row.Witness = p.witnessFor(p.guard.self.Agent)
	row.StartMS = 0
	if row.Epoch > 0 {
		row.StartMS = p.guard.wall().UnixMilli()
	}
	row.Epoch++
}

// takeOver takes the slots of owners whose witness is this agent and whose promises have all
// expired.
func (p *planner) takeOver() {
	for _, owner := range p.guard.expiredOwners() {
		count := 0
		for number, row := range p.guard.table.Slots {
			if row.Owner == owner && row.Witness == p.guard.self {
				p.takeOwnership(number)
				count++
			}
		}
		p.plan.TakesOver = append(p.plan.TakesOver, owner)
		p.addReason("take over %d slots of %s as its witness", count, owner.Agent)
	}
}

// claim takes slots without an owner, and those whose owner and witness are gone and whose long
// lease has expired, if this agent ranks first for them. It also takes back its own slots that it
// had given up.
func (p *planner) claim() {
	count := 0
	for number, row := range p.guard.table.Slots {
		orphan := p.isOrphaned(row) && p.preferred(number) == p.guard.self
		givenUp := row.Owner == p.guard.self && p.guard.gaveUp(number, row)
		if !orphan && !givenUp {
			continue
		}
		p.takeOwnership(number)
		count++
	}
	if count > 0 {
		p.addReason("claim %d slots without an owner", count)
	}
}

func (p *planner) isOrphaned(row Slot) bool {
	if row.Owner == (Holder{}) {
		return true
	}
	if p.live[row.Owner] || p.live[row.Witness] {
		return false
	}
	lease, ok := p.input.Leases[row.Owner.Agent]
	return ok && p.guard.leaseExpired(lease)
}

// preferred returns the live agent that ranks first for a slot.
func (p *planner) preferred(number int) Holder {
	return p.holders[policy.First(slotName(p.guard.options.Service, number), p.eligible)]
}

func slotName(service string, number int) string {
	return fmt.Sprintf("%s/%d", service, number)
}

// witnessFor returns the witness for an owner, in another data centre if possible.
func (p *planner) witnessFor(owner string) Holder {
	var otherCenter, sameCenter []string
	for _, name := range p.eligible {
		switch {
		case name == owner:
		case p.dataCenters[name] != p.dataCenters[owner]:
			otherCenter = append(otherCenter, name)
		default:
			sameCenter = append(sameCenter, name)
		}
	}
	if len(otherCenter) == 0 {
		otherCenter = sameCenter
	}
	return p.holders[policy.First("witness/"+owner, otherCenter)]
}

// renewWitnesses replaces witnesses that are gone or leaving.
func (p *planner) renewWitnesses() {
	changed := 0
	for number := range p.plan.Table.Slots {
		row := &p.plan.Table.Slots[number]
		if row.Owner != p.guard.self || p.guard.gaveUp(number, *row) || p.holders[row.Witness.Agent] == row.Witness && row.Witness != (Holder{}) {
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
		p.addReason("set %s as witness of %d slots", p.witnessFor(p.guard.self.Agent).Agent, changed)
	}
}

// moveSlots hands own slots to the agents that rank first for them, at most MaxMoves at a time. A
// leaving agent never ranks first, so it hands over all of its slots.
func (p *planner) moveSlots() {
	count := 0
	for number, row := range p.guard.table.Slots {
		successor := p.preferred(number)
		if row.Owner != p.guard.self || p.guard.gaveUp(number, row) || successor == p.guard.self || successor == (Holder{}) {
			continue
		}
		if count == p.input.MaxMoves {
			break
		}
		count++
		p.plan.Moves[successor] = append(p.plan.Moves[successor], number)
		next := &p.plan.Table.Slots[number]
		next.Owner = successor
		next.Witness = p.witnessFor(successor.Agent)
		next.Epoch++
		next.StartMS = p.startOf(number)
	}
	for successor, numbers := range p.plan.Moves {
		slices.Sort(numbers)
		p.addReason("hand over %d slots to %s", len(numbers), successor.Agent)
	}
}

// startOf returns the start of the epochs that share records: it is kept, since the successor gets
// the records.
func (p *planner) startOf(number int) int64 {
	if slot, ok := p.guard.owned[number]; ok {
		return slot.start.UnixMilli()
	}
	return p.guard.wall().UnixMilli()
}
