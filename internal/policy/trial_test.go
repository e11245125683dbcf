package policy

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// The trial simulates routers and engines in steps of a tenth of a second: real decision code,
// simplified engines, and hints that are late, lost and partial. It is for comparing policies
// within one run, not for absolute figures.

const (
	stepsPerSecond = 10
	trialSeconds   = 60
	// factor and floor define the agents' bound.
	factor = 1.25
	floor  = 4
	// serviceSeconds is the mean time of a request without prefill.
	serviceSeconds = 6.0
	// prefillPerSecond is the number of uncached tokens that an engine reads per second.
	prefillPerSecond = 4000.0
	// homeWaitFactor is the agents' default.
	homeWaitFactor = 2.0
	// cacheTokens is the size of an engine's prefix cache.
	cacheTokens = 400_000
	// maxQueue is how many requests may wait at an engine.
	maxQueue = 32
)

// trialSize is the size of a trial.
type trialSize struct {
	routers int
	engines int
	// perSecond is the request rate.
	perSecond float64
	// samples is the number of engines whose loads a router and an agent receive per second;
	// the other hints come from replies.
	samples int
}

var (
	sizeToday   = trialSize{routers: 3, engines: 50, perSecond: 50, samples: 50}
	sizePlanned = trialSize{routers: 370, engines: 7500, perSecond: 8900, samples: 240}
)

// trialChat is one chat.
type trialChat struct {
	hash   uint64
	tokens int
	// home is the engine that answered last, or -1.
	home int
	busy bool
}

// trialEngine is an engine with its agent.
type trialEngine struct {
	load  int
	queue []*trialRequest
	// cached maps chats to the number of cached tokens; used holds them in the order of use.
	cached map[*trialChat]int
	used   []*trialChat
	tokens int
	// mean is the agent's estimate of the mean load of its pool.
	mean float64
	down bool
	// running holds the running requests by the step at which they end.
	running map[int][]*trialRequest
}

type trialRequest struct {
	chat   *trialChat
	router int
}

// picker is a policy under trial.
type picker struct {
	name string
	// bounded reports whether agents enforce the bound.
	bounded bool
	// tokens is how many of ten returning chats send their token back.
	tokens int
	// pick is nil for the real search.
	pick func(t *trial, router int, chat *trialChat, tried []uint32) (uint32, bool)
}

type trial struct {
	size     trialSize
	scenario scenario
	picker
	random  *rand.Rand
	table   *SlotTable
	engines []*trialEngine
	// hints is indexed by router and engine.
	hints  [][]Hint
	turns  []int
	chats  []*trialChat
	step   int
	result trialResult
	ratios []float64
	// history holds the loads of past seconds, newest last.
	history [][]int
	// upNow and upBefore are the engines that routers with fresh and with stale lists see as
	// up.
	upNow, upBefore []bool
	tried           []uint32
}

type trialResult struct {
	requests, refusals, dropped, retries, probes int
	reused, reusable                             int
	overBound                                    int
	waitSteps                                    int
}

func newTrial(size trialSize, s scenario, p picker) *trial {
	t := &trial{size: size, scenario: s, picker: p, random: rand.New(rand.NewPCG(1, 2)), turns: make([]int, size.routers)}
	names := make([]string, size.engines)
	for i := range names {
		names[i] = fmt.Sprintf("engine-%05d", i)
		t.engines = append(t.engines, &trialEngine{cached: make(map[*trialChat]int), running: make(map[int][]*trialRequest)})
	}
	t.table = sharedTable(names)
	t.upNow = make([]bool, size.engines)
	for i := range t.upNow {
		t.upNow[i] = true
	}
	t.upBefore = slices.Clone(t.upNow)
	for range size.routers {
		t.hints = append(t.hints, make([]Hint, size.engines))
	}
	return t
}

var tableCache = map[int]*SlotTable{}

func sharedTable(names []string) *SlotTable {
	if _, ok := tableCache[len(names)]; !ok {
		tableCache[len(names)] = NewSlotTable(names)
	}
	return tableCache[len(names)]
}

func (t *trial) run() {
	for t.step = 0; t.step < trialSeconds*stepsPerSecond; t.step++ {
		if t.step%stepsPerSecond == 0 {
			t.eachSecond(t.step / stepsPerSecond)
		}
		t.finish()
		t.arrive()
		t.measure()
	}
}

// eachSecond starts and stops engines and distributes load reports.
func (t *trial) eachSecond(second int) {
	loads := make([]int, len(t.engines))
	for i, e := range t.engines {
		down := t.scenario.down(i, second)
		if down && !e.down {
			t.stopEngine(e)
		}
		e.down = down
		loads[i] = e.load
	}
	t.history = append(t.history, loads)
	for i, e := range t.engines {
		t.upNow[i] = !e.down
	}
	if second%15 == 0 {
		copy(t.upBefore, t.upNow)
	}
	for r := range t.hints {
		t.sendLoads(t.hints[r])
	}
	for _, e := range t.engines {
		e.mean = t.sampledMean()
	}
}

// stopEngine stops an engine, which loses its cache and its requests.
func (t *trial) stopEngine(e *trialEngine) {
	for _, ending := range e.running {
		for _, request := range ending {
			request.chat.busy = false
		}
	}
	for _, request := range e.queue {
		request.chat.busy = false
	}
	*e = trialEngine{cached: make(map[*trialChat]int), running: make(map[int][]*trialRequest), down: true}
}

// sendLoads gives a router the loads of some engines, up to 4 s old; one in five reports is
// lost.
func (t *trial) sendLoads(hints []Hint) {
	for range t.size.samples {
		i := t.random.IntN(len(hints))
		if t.random.IntN(5) == 0 {
			continue
		}
		age := t.random.IntN(min(len(t.history), 4))
		hints[i].InFlight = uint32(t.history[len(t.history)-1-age][i])
		hints[i].Limit = uint32(t.limit(t.engines[i]))
	}
}

// sampledMean returns an agent's estimate from late load reports of some engines.
func (t *trial) sampledMean() float64 {
	sum := 0
	count := min(t.size.samples, 100)
	for range count {
		age := t.random.IntN(min(len(t.history), 4))
		sum += t.history[len(t.history)-1-age][t.random.IntN(len(t.engines))]
	}
	return float64(sum) / float64(count)
}

func (t *trial) limit(e *trialEngine) int {
	return max(floor, int(math.Ceil(factor*e.mean-1e-9)))
}

func (t *trial) arrive() {
	second := t.step / stepsPerSecond
	rate := t.size.perSecond * t.scenario.rate(second) / stepsPerSecond
	count := int(rate)
	if t.random.Float64() < rate-float64(count) {
		count++
	}
	for range count {
		t.send(t.nextChat(second), t.random.IntN(t.size.routers))
	}
}

// nextChat returns to an existing chat or begins a new one.
func (t *trial) nextChat(second int) *trialChat {
	if len(t.chats) > 100 && t.random.Float64() < t.scenario.returning(second) {
		if chat := t.returningChat(t.scenario.long(second)); chat != nil {
			chat.tokens += 200
			return chat
		}
	}
	chat := &trialChat{hash: t.random.Uint64(), tokens: 500 + t.random.IntN(3500), home: -1}
	t.chats = append(t.chats, chat)
	return chat
}

func (t *trial) returningChat(long bool) *trialChat {
	var best *trialChat
	for range 8 {
		// Most chats return within minutes: the newest half is drawn more often.
		i := len(t.chats) - 1 - int(math.Pow(t.random.Float64(), 2)*float64(len(t.chats)))
		chat := t.chats[max(i, 0)]
		if chat.busy {
			continue
		}
		if !long {
			return chat
		}
		if best == nil || chat.tokens > best.tokens {
			best = chat
		}
	}
	return best
}

// send sends a request to an engine as a router would.
func (t *trial) send(chat *trialChat, router int) {
	t.result.requests++
	chat.busy = true
	request := &trialRequest{chat: chat, router: router}
	if t.pick == nil {
		t.search(request)
		return
	}
	t.tried = t.tried[:0]
	for range 5 {
		number, ok := t.pick(t, router, chat, t.tried)
		if !ok {
			break
		}
		if t.offer(request, Attempt{Number: number}) == admitted {
			return
		}
		t.result.retries++
		t.tried = append(t.tried, number)
	}
	t.drop(chat)
}

func (t *trial) drop(chat *trialChat) {
	t.result.dropped++
	chat.busy = false
}

// search uses the search of the real router.
func (t *trial) search(request *trialRequest) {
	chat := request.chat
	search := Search{Table: t.table, Chat: chat.hash, Returning: chat.home >= 0}
	if chat.home >= 0 && t.random.IntN(10) < t.tokens {
		search.Token, search.HasToken = uint32(chat.home), true
	}
	hints := func(number uint32) Hint { return t.hint(request.router, number) }
	for {
		attempt, ok := search.Next(hints, t.random)
		if !ok {
			break
		}
		outcome := t.offer(request, attempt)
		if outcome == admitted {
			return
		}
		t.result.retries++
		if !search.Record(Outcome(outcome)) {
			break
		}
	}
	t.drop(chat)
}

func (t *trial) hint(router int, number uint32) Hint {
	hint := t.hints[router][number]
	up := t.upNow
	if float64(router) < t.scenario.stale*float64(t.size.routers) {
		up = t.upBefore
	}
	if !up[number] {
		hint.Down = true
	}
	return hint
}

// admitted is the result of a successful attempt, in addition to the search's outcomes.
const admitted = -1

// offer lets an engine's agent admit, queue or refuse a request.
func (t *trial) offer(request *trialRequest, attempt Attempt) int {
	e := t.engines[attempt.Number]
	hint := &t.hints[request.router][attempt.Number]
	if e.down {
		hint.Down = true
		return int(Gone)
	}
	held, holds := e.cached[request.chat]
	if attempt.OnlyHeld && !holds {
		t.result.probes++
		return int(NotHeld)
	}
	limit := t.limit(e)
	defer func() {
		hint.Down = false
		hint.InFlight, hint.Limit = uint32(e.load), uint32(limit)
		if !t.bounded {
			hint.Limit = math.MaxUint32
		}
	}()
	if !t.bounded || e.load < limit && len(e.queue) == 0 {
		t.admit(e, int(attempt.Number), request)
		return admitted
	}
	// A chat whose prefix is cached here may wait for up to twice the time that the prefix
	// saves.
	saved := homeWaitFactor * float64(held) / prefillPerSecond
	expected := serviceSeconds / float64(max(e.load, 1)) * float64(len(e.queue)+1)
	if (attempt.Wait || expected <= saved) && len(e.queue) < maxQueue {
		e.queue = append(e.queue, request)
		return admitted
	}
	t.result.refusals++
	return int(Full)
}

// admit starts a request. Cached tokens of its chat need no prefill.
func (t *trial) admit(e *trialEngine, number int, request *trialRequest) {
	if t.bounded && e.load >= t.limit(e) {
		t.result.overBound++
	}
	chat := request.chat
	e.load++
	cached := min(e.cached[chat], chat.tokens-200)
	if chat.home >= 0 {
		t.result.reusable += chat.tokens - 200
		t.result.reused += max(cached, 0)
	}
	e.remember(chat)
	chat.home = number
	seconds := t.random.ExpFloat64()*serviceSeconds + float64(chat.tokens-max(cached, 0))/prefillPerSecond
	end := t.step + 1 + int(seconds*stepsPerSecond)
	e.running[end] = append(e.running[end], request)
}

// remember adds a chat to the cache and evicts the least recently used ones.
func (e *trialEngine) remember(chat *trialChat) {
	if _, ok := e.cached[chat]; ok {
		e.tokens -= e.cached[chat]
	}
	e.cached[chat] = chat.tokens
	e.tokens += chat.tokens
	e.used = append(e.used, chat)
	for e.tokens > cacheTokens && len(e.used) > 1 {
		oldest := e.used[0]
		e.used = e.used[1:]
		if slices.Contains(e.used, oldest) {
			continue
		}
		e.tokens -= e.cached[oldest]
		delete(e.cached, oldest)
	}
}

// finish ends requests and admits waiting ones.
func (t *trial) finish() {
	for i, e := range t.engines {
		ending := e.running[t.step]
		if len(ending) == 0 && len(e.queue) == 0 {
			continue
		}
		delete(e.running, t.step)
		for _, request := range ending {
			request.chat.busy = false
			e.load--
		}
		for len(e.queue) > 0 && e.load < t.limit(e) {
			next := e.queue[0]
			e.queue = e.queue[1:]
			t.admit(e, i, next)
		}
		t.result.waitSteps += len(e.queue)
	}
}

// measure records the ratio of the largest load to the mean.
func (t *trial) measure() {
	if t.step < 10*stepsPerSecond {
		return
	}
	sum, highest, up := 0, 0, 0
	for _, e := range t.engines {
		if e.down {
			continue
		}
		up++
		sum += e.load
		highest = max(highest, e.load)
	}
	if sum > 0 {
		t.ratios = append(t.ratios, float64(highest)*float64(up)/float64(sum))
	}
}

func quantile(sorted []float64, q float64) float64 {
	return sorted[int(q*float64(len(sorted)-1))]
}

func runTrial(size trialSize, s scenario, p picker) *trial {
	t := newTrial(size, s, p)
	t.run()
	slices.SortFunc(t.ratios, cmp.Compare[float64])
	return t
}

// BenchmarkTrial compares the policies at both sizes:
//
//	go test -run - -bench Trial -benchtime 1x ./internal/policy
func BenchmarkTrial(b *testing.B) {
	sizes := map[string]trialSize{"today": sizeToday, "planned": sizePlanned}
	for _, name := range []string{"today", "planned"} {
		for _, s := range scenarios() {
			for _, p := range pickers() {
				b.Run(name+"/"+s.name+"/"+p.name, func(b *testing.B) {
					for range b.N {
						report(b, runTrial(sizes[name], s, p))
					}
				})
			}
		}
	}
}

func report(b *testing.B, t *trial) {
	requests := float64(t.result.requests)
	b.ReportMetric(quantile(t.ratios, 0.5), "skew-p50")
	b.ReportMetric(quantile(t.ratios, 0.99), "skew-p99")
	b.ReportMetric(quantile(t.ratios, 1), "skew-worst")
	b.ReportMetric(100*float64(t.result.reused)/float64(max(t.result.reusable, 1)), "reuse-%")
	b.ReportMetric(float64(t.result.refusals)/requests, "refusals/req")
	b.ReportMetric(float64(t.result.probes)/requests, "probes/req")
	b.ReportMetric(1000*float64(t.result.dropped)/requests, "dropped/1000req")
	b.ReportMetric(float64(t.result.waitSteps)/stepsPerSecond/requests, "wait-s/req")
	b.ReportMetric(0, "ns/op")
}

// TestTrialKeepsBound runs each scenario at today's size and checks that no engine is ever
// above its bound, and that reuse stays near that of plain rendezvous hashing.
func TestTrialKeepsBound(t *testing.T) {
	all := pickers()
	own, plain := all[0], all[len(all)-1]
	for _, s := range scenarios() {
		t.Run(s.name, func(t *testing.T) {
			bounded := runTrial(sizeToday, s, own)
			free := runTrial(sizeToday, s, plain)
			if bounded.result.overBound != 0 {
				t.Fatalf("%d requests were admitted above the bound", bounded.result.overBound)
			}
			reuse := float64(bounded.result.reused) / float64(bounded.result.reusable)
			freeReuse := float64(free.result.reused) / float64(free.result.reusable)
			t.Logf("skew worst %.2f, plain rendezvous %.2f; reuse %.3f and %.3f", quantile(bounded.ratios, 1), quantile(free.ratios, 1), reuse, freeReuse)
			if reuse < 0.8*freeReuse {
				t.Fatalf("reuse is %.3f, below four fifths of plain rendezvous' %.3f", reuse, freeReuse)
			}
		})
	}
}
