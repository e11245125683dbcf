package rollout

import (
	"fmt"
	"math/rand/v2"
)

// simRoute is a kind of requests with its rate in requests per second, and the times after which
// a successful and a failed answer is complete, in seconds.
type simRoute struct {
	name                    string
	rate                    float64
	answerTime, failureTime float64
}

// faultRates are the fractions of answers that fail or are slow.
type faultRates struct {
	failed, slow float64
}

// simulation is one rollout of a service, simulated in memory. Times are in seconds since the
// order.
type simulation struct {
	routes   []simRoute
	gateways int
	// targets is the number of targets of the version on trial.
	targets int
	share   float64
	// moveAt is when all requests go to the version if it is good or clean, and until is when the
	// order ends.
	moveAt, until float64
	// reportLoss is the probability that a report is lost, and maxTallies the number of tallies
	// in a report.
	reportLoss float64
	maxTallies int
	// base returns the trouble of all versions, and added what the new version adds to it.
	base  func(at float64, route string) faultRates
	added func(at float64, route string, target int, moving bool) faultRates
}

// simResult is the result of a simulation.
type simResult struct {
	verdict Verdict
	reason  string
	// at is when the version was found bad; until if it wasn't.
	at float64
	// goodAt is when the version was first found good; zero for never.
	goodAt float64
	// moved is set if the move began.
	moved bool
	// badAnswers are all troubled answers of the version before the halt. exposed are the
	// requests to the version, and requests those to the service.
	badAnswers, exposed, requests int
	judge                         *Judge
}

const (
	// simTick is the step of simulated time in seconds. Each gateway reports once in
	// ticksPerReport of them.
	simTick        = 0.025
	ticksPerReport = 10
	// haltDelay is the time from the verdict to the last request that gets through.
	haltDelay = 0.25
)

type simAnswer struct {
	gateway       int
	route, target string
	failed, slow  bool
}

// simRun is a running simulation.
type simRun struct {
	simulation
	random  *rand.Rand
	judge   *Judge
	shares  []*Share
	tallies []*Tallies
	// targetNames are the names of the version's targets.
	targetNames []string
	// due holds the answers by the tick at which they are complete, and inFlight counts those of
	// the version.
	due          [][]simAnswer
	inFlight     int
	undersampled map[uint32]bool
	result       simResult
	moving       bool
	halted       bool
	haltAt       float64
}

func (s simulation) run(seed uint64) simResult {
	r := &simRun{simulation: s, random: rand.New(rand.NewPCG(seed, 11)), judge: NewJudge()}
	for range s.gateways {
		share := NewShare(s.share)
		share.random = r.random.Float64
		r.shares = append(r.shares, share)
		r.tallies = append(r.tallies, NewTallies())
	}
	for target := range s.targets {
		r.targetNames = append(r.targetNames, fmt.Sprint("new-", target))
	}
	r.result.at = s.until
	for step := 0; float64(step)*simTick < s.until; step++ {
		now := float64(step) * simTick
		r.arrive(now, step)
		r.answer(step)
		r.report(now, step)
		if r.halted && r.inFlight == 0 {
			break
		}
	}
	r.result.verdict, r.result.reason = r.judge.Verdict()
	r.result.judge = r.judge
	return r.result
}

func (r *simRun) chance(p float64) bool {
	return r.random.Float64() < p
}

// arrive sends the requests of one tick.
func (r *simRun) arrive(now float64, step int) {
	for _, route := range r.routes {
		expected := route.rate * simTick
		count := int(expected)
		if r.chance(expected - float64(count)) {
			count++
		}
		for range count {
			r.send(now, step, route)
		}
	}
}

func (r *simRun) send(now float64, step int, route simRoute) {
	gateway := r.random.IntN(r.gateways)
	share := r.shares[gateway]
	name := NameHash(route.name)
	// Before the first grants no undersampled routes are known.
	onTrial := r.moving && !r.halted
	if !onTrial && !r.halted {
		onTrial = share.Reserve(name, r.undersampled[name] || now < ticksPerReport*simTick)
	}
	share.CountRequest()
	r.result.requests++
	answer := simAnswer{gateway: gateway, route: route.name}
	length := route.answerTime
	base := faultRates{}
	if r.base != nil {
		base = r.base(now, route.name)
	}
	if onTrial {
		r.result.exposed++
		target := r.random.IntN(r.targets)
		answer.target = r.targetNames[target]
		r.inFlight++
		more := r.added(now, route.name, target, r.moving)
		base.failed = 1 - (1-base.failed)*(1-more.failed)
		base.slow = 1 - (1-base.slow)*(1-more.slow)
	}
	answer.failed = r.chance(base.failed)
	answer.slow = !answer.failed && r.chance(base.slow)
	if answer.failed {
		length = route.failureTime
	}
	at := step + 1 + int(length/simTick)
	for len(r.due) <= at {
		r.due = append(r.due, nil)
	}
	r.due[at] = append(r.due[at], answer)
}

func (r *simRun) answer(step int) {
	if step >= len(r.due) {
		return
	}
	for _, answer := range r.due[step] {
		r.tallies[answer.gateway].Add(answer.route, answer.target, answer.failed, answer.slow)
		if answer.target == "" {
			continue
		}
		r.inFlight--
		if answer.failed || answer.slow {
			r.result.badAnswers++
		}
	}
}

// report makes the gateways report in turn.
func (r *simRun) report(now float64, step int) {
	for gateway := step % ticksPerReport; gateway < r.gateways; gateway += ticksPerReport {
		tallies := r.tallies[gateway].List(r.maxTallies)
		if !r.chance(r.reportLoss) {
			r.judge.AddReport(fmt.Sprintf("gateway-%d", gateway), tallies)
		}
	}
	r.undersampled = make(map[uint32]bool)
	for _, name := range r.judge.UndersampledRoutes() {
		r.undersampled[name] = true
	}
	verdict, _ := r.judge.Verdict()
	if verdict == Bad && r.haltAt == 0 {
		r.result.at = now
		r.haltAt = now + haltDelay
	}
	if verdict == Good && r.result.goodAt == 0 {
		r.result.goodAt = now
	}
	r.halted = r.haltAt > 0 && now >= r.haltAt
	if now >= r.moveAt && !r.moving && verdict != Bad && (verdict == Good || r.judge.Clean()) {
		r.moving = true
		r.result.moved = true
	}
}

// The routes of services at two sites whose rates the requirements state. Streams take a while;
// requests to plain services don't.
func largeModels() []simRoute {
	return []simRoute{{"a", 47.7, 0.9, 0.9}, {"b", 136, 0.7, 0.7}, {"c", 69.1, 0.1, 0.1}}
}

func largePlain() []simRoute {
	return []simRoute{{"a", 84.6, 0.02, 0.02}, {"b", 19.6, 0.02, 0.02}}
}

func evenModels() []simRoute {
	return []simRoute{{"a", 69.6, 1.2, 1.2}, {"b", 63.3, 1, 1}, {"c", 88.7, 0.1, 0.1}}
}

func evenPlain() []simRoute {
	return []simRoute{{"a", 55.4, 0.03, 0.03}, {"b", 22.2, 0.03, 0.03}}
}

// shortOrder returns an order of 12 s, whose last 0.7 s may be the move.
func shortOrder(routes []simRoute, targets int) simulation {
	return simulation{
		routes: routes, gateways: 28, targets: targets, share: 0.1, moveAt: 11.3, until: 12, maxTallies: 64,
		added: func(float64, string, int, bool) faultRates { return faultRates{} },
	}
}
