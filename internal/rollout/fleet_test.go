package rollout

import (
	"fmt"
	"math/rand/v2"
)

// trialRoute is a kind of requests with its rate in requests a second, and how long after
// its sending an answer that is whole, or one that failed, is over.
type trialRoute struct {
	name       string
	rate       float64
	whole, bad float64
}

// trouble are the shares of answers that fail or are slow.
type trouble struct {
	failed, slow float64
}

// trial is one roll-out of a service, played in memory. Times are seconds since the order.
type simulation struct {
	routes   []trialRoute
	gateways int
	// targets are those of the version that take the share.
	targets int
	share   float64
	// moveAt is when all requests go to the version if it is good or clean, and until
	// is when the order ends.
	moveAt, until float64
	// lost is the chance that a report is lost, and most how many tallies one has.
	lost float64
	most int
	// base is what strikes both sides, and added what the version adds to it.
	base  func(at float64, route string) trouble
	added func(at float64, route string, target int, moving bool) trouble
}

// trialEnd is how a trial ended.
type trialEnd struct {
	verdict Verdict
	reason  string
	// at is when the version was found bad; until if it wasn't.
	at float64
	// goodAt is when the version was good for the first time; zero for never.
	goodAt float64
	// moved says that the move began.
	moved bool
	// badAnswers are the troubled answers of the version before the halt, of all forms;
	// exposed are its requests and requests those of the service.
	badAnswers, exposed, requests int
	judge                         *Judge
}

const (
	// trialTick is a step of the played time, and each gateway reports once in
	// trialTurns of them.
	trialTick  = 0.025
	trialTurns = 10
	// trialHalt is the time from the verdict to the last request that gets through.
	trialHalt = 0.25
)

type trialAnswer struct {
	gateway       int
	route, target string
	failed, slow  bool
}

// trialRun is a trial under way.
type trialRun struct {
	simulation
	random  *rand.Rand
	judge   *Judge
	shares  []*Share
	tallies []*Tallies
	// names are those of the version's targets.
	names []string
	// due are the answers by the tick at which they are over, and onTheWay how many
	// of the version's there are.
	due      [][]trialAnswer
	onTheWay int
	wanted   map[uint32]bool
	end      trialEnd
	moving   bool
	halted   bool
	haltAt   float64
}

func (t simulation) run(seed uint64) trialEnd {
	r := &trialRun{simulation: t, random: rand.New(rand.NewPCG(seed, 11)), judge: NewJudge()}
	for range t.gateways {
		share := NewShare(t.share)
		share.random = r.random.Float64
		r.shares = append(r.shares, share)
		r.tallies = append(r.tallies, NewTallies())
	}
	for target := range t.targets {
		r.names = append(r.names, fmt.Sprint("new-", target))
	}
	r.end.at = t.until
	for step := 0; float64(step)*trialTick < t.until; step++ {
		now := float64(step) * trialTick
		r.arrive(now, step)
		r.answer(step)
		r.report(now, step)
		if r.halted && r.onTheWay == 0 {
			break
		}
	}
	r.end.verdict, r.end.reason = r.judge.Verdict()
	r.end.judge = r.judge
	return r.end
}

func (r *trialRun) chance(p float64) bool {
	return r.random.Float64() < p
}

// arrive sends the requests of one tick.
func (r *trialRun) arrive(now float64, step int) {
	for _, route := range r.routes {
		expected := route.rate * trialTick
		count := int(expected)
		if r.chance(expected - float64(count)) {
			count++
		}
		for range count {
			r.send(now, step, route)
		}
	}
}

func (r *trialRun) send(now float64, step int, route trialRoute) {
	gateway := r.random.IntN(r.gateways)
	share := r.shares[gateway]
	name := TallyName(route.name)
	// No wanted routes are known before the first grants.
	onTrial := r.moving && !r.halted
	if !onTrial && !r.halted {
		onTrial = share.Reserve(name, r.wanted[name] || now < trialTurns*trialTick)
	}
	share.Request()
	r.end.requests++
	answer := trialAnswer{gateway: gateway, route: route.name}
	length := route.whole
	base := trouble{}
	if r.base != nil {
		base = r.base(now, route.name)
	}
	if onTrial {
		r.end.exposed++
		target := r.random.IntN(r.targets)
		answer.target = r.names[target]
		r.onTheWay++
		more := r.added(now, route.name, target, r.moving)
		base.failed = 1 - (1-base.failed)*(1-more.failed)
		base.slow = 1 - (1-base.slow)*(1-more.slow)
	}
	answer.failed = r.chance(base.failed)
	answer.slow = !answer.failed && r.chance(base.slow)
	if answer.failed {
		length = route.bad
	}
	at := step + 1 + int(length/trialTick)
	for len(r.due) <= at {
		r.due = append(r.due, nil)
	}
	r.due[at] = append(r.due[at], answer)
}

func (r *trialRun) answer(step int) {
	if step >= len(r.due) {
		return
	}
	for _, answer := range r.due[step] {
		r.tallies[answer.gateway].Add(answer.route, answer.target, answer.failed, answer.slow)
		if answer.target == "" {
			continue
		}
		r.onTheWay--
		if answer.failed || answer.slow {
			r.end.badAnswers++
		}
	}
}

// report lets the gateways report in turn.
func (r *trialRun) report(now float64, step int) {
	for gateway := step % trialTurns; gateway < r.gateways; gateway += trialTurns {
		tallies := r.tallies[gateway].List(r.most)
		if !r.chance(r.lost) {
			r.judge.Take(fmt.Sprintf("gateway-%d", gateway), tallies)
		}
	}
	r.wanted = make(map[uint32]bool)
	for _, name := range r.judge.Wanted() {
		r.wanted[name] = true
	}
	verdict, _ := r.judge.Verdict()
	if verdict == Bad && r.haltAt == 0 {
		r.end.at = now
		r.haltAt = now + trialHalt
	}
	if verdict == Good && r.end.goodAt == 0 {
		r.end.goodAt = now
	}
	r.halted = r.haltAt > 0 && now >= r.haltAt
	if now >= r.moveAt && !r.moving && verdict != Bad && (verdict == Good || r.judge.Clean()) {
		r.moving = true
		r.end.moved = true
	}
}

// The services of two sites whose rates the roll-outs were asked for; streams take a
// while, requests to plain services don't.
func largeModels() []trialRoute {
	return []trialRoute{{"a", 47.7, 0.9, 0.9}, {"b", 136, 0.7, 0.7}, {"c", 69.1, 0.1, 0.1}}
}

func largePlain() []trialRoute {
	return []trialRoute{{"a", 84.6, 0.02, 0.02}, {"b", 19.6, 0.02, 0.02}}
}

func evenModels() []trialRoute {
	return []trialRoute{{"a", 69.6, 1.2, 1.2}, {"b", 63.3, 1, 1}, {"c", 88.7, 0.1, 0.1}}
}

func evenPlain() []trialRoute {
	return []trialRoute{{"a", 55.4, 0.03, 0.03}, {"b", 22.2, 0.03, 0.03}}
}

// short is an order of 12 s, of which the last 0.7 s may be the move.
func short(routes []trialRoute, targets int) simulation {
	return simulation{
		routes: routes, gateways: 28, targets: targets, share: 0.1, moveAt: 11.3, until: 12, most: 64,
		added: func(float64, string, int, bool) trouble { return trouble{} },
	}
}
