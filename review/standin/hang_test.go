//go:build review

package standin

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/capersaddle/capersaddle/internal/emulator"
)

// The case "hang" checks two lines of the rule CONFIG on a gateway that is in touch, gateway-b: of the
// requests that are unanswered at their route's timeout_ms, half or more are answered half a second
// later; and config_apply_ms after a configuration was accepted, no request is run by a service that
// only an older one allows.
//
// Gateway-a and gateway-b stand before nine model servers and six servers of two plain services. Their
// only seed is gateway-c. The disturbance: gateway-c is down, so that the two do not hear each other,
// while both reach the store, the servers and their clients; and in each round four model servers
// crash, and 0.5 s later four others. They are back 2 s later under new IDs.
//
// In each round 300 clients ask 300 new questions at gateway-b, each of which is answered by a stream
// of 1.2 s, and then 300 other clients ask the same questions at gateway-a. Beside them, clients
// with connections that they keep open ask gateway-b for a balance (with a key) and for a price
// (public). At the end the operator moves the public route to another service.

const (
	questions = 300
	// answerEvents and answerGap make streams of 1.2 s.
	answerEvents = 12
	answerGap    = 100 * time.Millisecond
	// maxRounds limits the rounds; they end as soon as gateway-b answers no readiness check.
	maxRounds = 14
	// crashAfter is the time from the begin of the streams to the first crashes, nextCrashAfter the
	// time until the next ones, and backAfter how long servers are down then.
	crashAfter     = 400 * time.Millisecond
	nextCrashAfter = 500 * time.Millisecond
	backAfter      = 2 * time.Second
	// askTries is how many requests a client sends at most for one question, and askPatience how
	// long it waits in all.
	askTries    = 4
	askPatience = 8 * time.Second
	// balanceTimeout is timeout_ms of the plain routes, and answerGrace the rule's half a second.
	balanceTimeout = 2 * time.Second
	answerGrace    = 500 * time.Millisecond
	// pollers is the number of clients of balances and of prices.
	pollers      = 12
	pollInterval = 300 * time.Millisecond
	pollPatience = 4 * time.Second
	// applyTime is config_apply_ms, and observeTime how long the clients go on after that: keys are
	// served for 5 s without news from the store.
	applyTime   = 2 * time.Second
	observeTime = 9 * time.Second
	// graceTime is grace_period_s.
	graceTime = 8 * time.Second
)

// crashGroups are the numbers of the model servers that crash together.
var crashGroups = [][]int{{0, 1, 2, 3}, {4, 5, 6, 7}}

// hangConfig returns a version of the configuration; priceService is where the public route leads.
func hangConfig(version int64, priceService string) *emulator.Config {
	timeout := int(balanceTimeout.Milliseconds())
	return &emulator.Config{
		Version: version,
		Routes: []emulator.Route{
			{Name: "balance", Host: host, Prefix: "/balance/", Kind: "idempotent", Service: "plain", TimeoutMs: timeout, LatencyMs: 100, MaxAttempts: 2},
			{Name: "price", Host: host, Prefix: "/price/", Kind: "idempotent", Service: priceService, TimeoutMs: timeout, LatencyMs: 100, MaxAttempts: 2, Public: true},
			{Name: "question", Host: host, Prefix: "/question/", Kind: "streaming", Service: engineService, TimeoutMs: 10000, LatencyMs: 500, GapMs: 400, MaxAttempts: 1},
		},
		Services: []emulator.Service{{Name: "plain"}, {Name: "plain-2"}, {Name: engineService, Engine: map[string]any{"slots": engineSlots}}},
		Tenants:  []emulator.Tenant{{Name: "clinic", Keys: []string{key}}},
		Limits:   limits,
	}
}

// hangCase is the state of the case.
type hangCase struct {
	*bench
	first, second *gatewayProcess
	// plain and plain2 are the servers of the two plain services.
	plain, plain2 []*emulator.Server
	// engines are the model servers by number, and allEngines those that ever served.
	engines, allEngines []*emulator.Server
	balances, prices    []*poller
}

func playHang(b *bench) (bool, error) {
	c := &hangCase{bench: b, engines: make([]*emulator.Server, engineCount)}
	if err := c.start(); err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	for _, p := range slices.Concat(c.balances, c.prices) {
		wait.Go(func() { p.run(ctx) })
	}
	for round := range maxRounds {
		if err := c.playRound(round); err != nil {
			cancel()
			return false, err
		}
		if !c.second.isReady() {
			b.note("%s answers no readiness check", c.second.name)
			break
		}
	}
	if err := b.platform.Accept(hangConfig(4, "plain-2")); err != nil {
		cancel()
		return false, err
	}
	accepted := time.Now()
	b.note("version 4 is accepted: prices move to plain-2")
	time.Sleep(applyTime + observeTime)
	cancel()
	wait.Wait()
	broken := c.hasUnanswered()
	broken = c.hasOldService(accepted) || broken
	for _, engine := range c.allEngines {
		b.note("server %s ran %d requests", engine.ID(), len(engine.Runs()))
	}
	b.noteRuns(slices.Concat(c.plain, c.plain2))
	c.stopSecond()
	return broken, nil
}

// start starts the servers and the gateways.
func (c *hangCase) start() error {
	if err := c.platform.Accept(hangConfig(3, "plain")); err != nil {
		return err
	}
	for i := range 3 {
		for service, servers := range map[string]*[]*emulator.Server{"plain": &c.plain, "plain-2": &c.plain2} {
			options := emulator.ServerOptions{ID: fmt.Sprintf("%s-server-%d", service, i), Work: 15 * time.Millisecond}
			server, err := c.platform.AddServer(service, zone, "127.0.0.1:0", options)
			if err != nil {
				return err
			}
			*servers = append(*servers, server)
		}
	}
	for i := range c.engines {
		if err := c.startEngine(i); err != nil {
			return err
		}
	}
	seed, err := freeAddress()
	if err != nil {
		return err
	}
	for _, name := range []string{"gateway-a", "gateway-b", "gateway-c"} {
		peers := seed
		if name != "gateway-c" {
			if peers, err = freeAddress(); err != nil {
				return err
			}
		}
		if _, err := c.newGateway(name, peers, []string{seed}); err != nil {
			return err
		}
	}
	c.first, c.second = c.gateways[0], c.gateways[1]
	running := c.gateways
	if c.disturbed {
		running = c.gateways[:2]
		c.note("gateway-c is down")
	}
	if err := startAll(running); err != nil {
		return err
	}
	for i := range pollers {
		c.balances = append(c.balances, &poller{bench: c.bench, name: fmt.Sprintf("balance-%d", i), path: "/balance/1", apiKey: key, address: c.second.callers, interval: pollInterval, patience: pollPatience})
		c.prices = append(c.prices, &poller{bench: c.bench, name: fmt.Sprintf("price-%d", i), path: "/price/1", address: c.second.callers, interval: pollInterval, patience: pollPatience})
	}
	time.Sleep(contact)
	return nil
}

// startEngine starts a model server in the place of a number.
func (c *hangCase) startEngine(number int) error {
	engine, err := c.addEngine(fmt.Sprintf("engine-%d", len(c.allEngines)), "v1", answerEvents, answerGap)
	if err != nil {
		return err
	}
	c.engines[number] = engine
	c.allEngines = append(c.allEngines, engine)
	return nil
}

// playRound asks all questions at gateway-b, and then at gateway-a while servers crash.
func (c *hangCase) playRound(round int) error {
	c.noteAnswers(c.ask(c.second, round, 1), c.second, round)
	asked := c.ask(c.first, round, askTries)
	if c.disturbed {
		time.Sleep(crashAfter)
		c.crash(crashGroups[0])
		time.Sleep(nextCrashAfter)
		c.crash(crashGroups[1])
		time.Sleep(backAfter)
		if err := c.restart(slices.Concat(crashGroups...)); err != nil {
			return err
		}
	}
	c.noteAnswers(asked, c.first, round)
	return nil
}

// noteAnswers waits for the clients of a round and notes what each has sent and got.
func (c *hangCase) noteAnswers(clients *readers, g *gatewayProcess, round int) {
	c.note("round %d: %s answered %d of %d questions whole", round, g.name, clients.count(isWhole), questions)
	for _, r := range clients.all {
		c.note("%s: %d requests sent, last status %d, %d events", r.name, r.sent, r.status, r.last)
	}
}

// isWhole reports whether a client has its whole answer.
func isWhole(r *reader) bool { return r.last == answerEvents }

// ask starts the clients of all questions at a gateway.
func (c *hangCase) ask(g *gatewayProcess, round, tries int) *readers {
	clients := new(readers)
	for number := range questions {
		clients.start(&reader{
			bench: c.bench, name: fmt.Sprintf("question-%d-%s-%d", round, g.name, number), body: fmt.Sprintf("question %d of round %d", number, round), path: "/question/1",
			events: answerEvents, addresses: []string{g.callers}, tries: tries, patience: askPatience, silent: true,
		})
	}
	return clients
}

// crash crashes model servers.
func (c *hangCase) crash(numbers []int) {
	for _, number := range numbers {
		c.note("%s crashes", c.engines[number].ID())
		_ = c.engines[number].Close()
	}
}

// restart starts model servers under new IDs in the place of those that crashed.
func (c *hangCase) restart(numbers []int) error {
	for _, number := range numbers {
		c.platform.Leave(c.engines[number])
		if err := c.startEngine(number); err != nil {
			return err
		}
	}
	return nil
}

// hasUnanswered reports whether more than half of the requests that were unanswered at their route's
// timeout were so half a second later.
func (c *hangCase) hasUnanswered() bool {
	unanswered, later := 0, 0
	for _, p := range slices.Concat(c.balances, c.prices) {
		for _, request := range p.sent() {
			if request.took > balanceTimeout {
				unanswered++
			}
			if request.took > balanceTimeout+answerGrace {
				later++
			}
		}
	}
	c.note("%s: %d requests were unanswered at timeout_ms (%v), %d of them half a second later", c.second.name, unanswered, balanceTimeout, later)
	return 2*later > unanswered
}

// hasOldService reports whether the old service ran requests that were sent after a configuration had
// to be in force.
func (c *hangCase) hasOldService(accepted time.Time) bool {
	sent := make(map[string]bool)
	for _, p := range c.prices {
		for _, request := range p.sent() {
			if request.sentAt.Sub(accepted) > applyTime {
				sent[request.id] = true
			}
		}
	}
	old := 0
	for _, server := range c.plain {
		for _, run := range server.Runs() {
			if sent[run.ID] {
				old++
			}
		}
	}
	c.note("%s: of %d requests for prices sent later than %v after version 4 was accepted, %d were run by the service of version 3", c.second.name, len(sent), applyTime, old)
	return old > 0
}

// stopSecond ends gateway-b as planned and notes whether it ends in time. If not, it notes which
// functions wait for locks.
func (c *hangCase) stopSecond() {
	ended := c.second.signal(syscall.SIGTERM)
	select {
	case <-ended:
		c.note("%s ended after SIGTERM", c.second.name)
		return
	case <-time.After(graceTime):
		c.note("%s has not ended %v after SIGTERM", c.second.name, graceTime)
	}
	<-c.second.signal(syscall.SIGQUIT)
	text, err := os.ReadFile(c.second.logFile())
	if err != nil {
		return
	}
	waiting := make(map[string]int)
	for stack := range strings.SplitSeq(string(text), "\n\n") {
		if functions := waitingFor(stack); len(functions) > 0 {
			waiting[strings.Join(functions, " < ")]++
		}
	}
	for functions, count := range waiting {
		c.note("%d waiting for a lock in %s", count, functions)
	}
}

// waitingFor returns the program's own functions on the stack of a goroutine that waits for a lock,
// the innermost first; nil for any other goroutine.
func waitingFor(stack string) []string {
	const module = "github.com/capersaddle/capersaddle/"
	if !strings.Contains(stack, "sync.(*Mutex).Lock") {
		return nil
	}
	var functions []string
	for line := range strings.Lines(stack) {
		name, ok := strings.CutPrefix(line, module)
		if !ok {
			continue
		}
		if at := strings.LastIndexByte(name, '('); at > 0 {
			name = name[:at]
		}
		functions = append(functions, name)
	}
	return functions
}
