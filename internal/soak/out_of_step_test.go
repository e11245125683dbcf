package soak

import (
	"bufio"
	"context"
	"encoding/json"
	"os"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/emulator"
)

const (
	// outOfStepCertainAfter is longer than a gateway takes to be certain that there is one version.
	outOfStepCertainAfter = 14 * time.Second
	// joinsAfter is the time from when a gateway is out of step until targets of another version join.
	joinsAfter = 300 * time.Millisecond
	// resumedAfter is for how long after the gateway is in step again streams are resumed there.
	resumedAfter = 2 * time.Second
	// outOfStepPerSecond is the number of streams that begin in a second. Callers lose every second one.
	outOfStepPerSecond = 150
	outOfStepLoseEvery = 2
	// minContinuedInStep is the least share of the streams resumed at gateways in step that must go on.
	minContinuedInStep = 0.99
)

// outOfStep is how gateways get out of step with the others.
type outOfStep struct {
	begin, end func(s *soak, numbers []int)
}

var (
	// cutOff: they neither reach the others nor the store. Callers and targets reach them.
	cutOff = outOfStep{
		func(s *soak, numbers []int) { s.mesh.setBetween(numbers, silenced); s.setStoreLinks(numbers, silenced) },
		func(s *soak, numbers []int) { s.mesh.setBetween(numbers, normal); s.setStoreLinks(numbers, normal) },
	}
	// standingStill: their processes are stopped.
	standingStill = outOfStep{
		func(s *soak, numbers []int) { s.signalAll(numbers, syscall.SIGSTOP) },
		func(s *soak, numbers []int) { s.signalAll(numbers, syscall.SIGCONT) },
	}
)

func (s *soak) setStoreLinks(numbers []int, next condition) {
	for _, number := range numbers {
		s.gateways[number].store.set(next)
	}
}

func (s *soak) signalAll(numbers []int, signal syscall.Signal) {
	for _, number := range numbers {
		s.gateways[number].signal(signal)
	}
}

// TestStreamsAtGatewayOutOfStep guards against streams with events of two versions at gateways that know
// nothing of a version because they are cut off or have just woken: streams that it began elsewhere
// meanwhile went on at the version that they took for the only one.
func TestStreamsAtGatewayOutOfStep(t *testing.T) {
	binary := buildBinary(t)
	cases := map[string]struct {
		gateways int
		way      outOfStep
		// out is the number of gateways that are out of step together, for the given length.
		out    int
		length time.Duration
	}{
		"cut off":                {4, cutOff, 1, 2500 * time.Millisecond},
		"standing still":         {4, standingStill, 1, 2500 * time.Millisecond},
		"standing still shorter": {4, standingStill, 1, 1500 * time.Millisecond},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := &soak{t: t, binary: binary, seed: 1, grace: stopGrace, mesh: newMesh(t, test.gateways)}
			s.startVersionedSystem(test.gateways, 1)
			defer s.stopSystem()
			time.Sleep(outOfStepCertainAfter)
			callers := &outOfStepCallers{out: lastNumbers(test.gateways, test.out), soak: s}
			stop := callers.start()
			time.Sleep(time.Second)
			callers.prefersOut(true)
			test.way.begin(s, callers.out)
			time.Sleep(joinsAfter)
			for i := range serversOfVersion {
				s.addVersionedServer("newer", i)
			}
			time.Sleep(test.length - joinsAfter)
			test.way.end(s, callers.out)
			time.Sleep(resumedAfter)
			callers.prefersOut(false)
			time.Sleep(time.Second)
			counts := stop()
			t.Logf("all streams: %+v", counts)
			t.Logf("resumed at gateways out of step: %+v", callers.atOut)
			t.Logf("resumed at gateways in step: %+v", callers.inStep)
			is.True(callers.atOut.Resumed > 0)
			is.True(callers.inStep.Resumed > 0)
			is.Equal(counts.Mixed, 0)
			is.Equal(counts.Disordered, 0)
			is.True(callers.inStep.share() >= minContinuedInStep)
		})
	}
}

// lastNumbers returns the last of the numbers below total, count of them.
func lastNumbers(total, count int) []int {
	var numbers []int
	for number := total - count; number < total; number++ {
		numbers = append(numbers, number)
	}
	return numbers
}

// outOfStepCallers request streams at all gateways. They lose some of those that they requested at gateways
// in step, and while they prefer the gateways out of step, they resume two of three lost streams there first.
type outOfStepCallers struct {
	soak *soak
	// out are the numbers of the gateways out of step.
	out []int

	mu      sync.Mutex
	prefers bool
	// atOut and inStep count the streams that were resumed first at a gateway out of step, and in step.
	atOut, inStep resumedCounts
	// resumed and mixed hold the counts of a stream by the ID of the attempt that resumed it first, and of one
	// that brought events of another version.
	resumed, mixed map[string]*resumedCounts
}

// resumedCounts counts resumed streams.
type resumedCounts struct {
	Resumed int
	// AtOnce counts streams that went on with the first request that resumed them, and Later those that
	// did with another one.
	AtOnce, Later int
	// Mixed counts streams with events of two versions.
	Mixed int
	// Endings counts the first requests that resumed streams by how the gateway knew the version and how
	// they ended, and Origins the requests that made streams mixed by how it did, both by its log. Lines
	// are missing if there were too many.
	Endings, Origins map[string]int
	// OldestProof is the greatest age of a proof of the targets when a mixed stream ended, by the same.
	OldestProof time.Duration
}

// share returns the share of the resumed streams that went on.
func (c *resumedCounts) share() float64 {
	return float64(c.AtOnce+c.Later) / float64(max(c.Resumed, 1))
}

// start starts the callers; stop ends them and returns what they saw.
func (c *outOfStepCallers) start() (stop func() emulator.StreamCounts) {
	c.resumed, c.mixed = make(map[string]*resumedCounts), make(map[string]*resumedCounts)
	for _, counts := range []*resumedCounts{&c.atOut, &c.inStep} {
		counts.Endings, counts.Origins = make(map[string]int), make(map[string]int)
	}
	callers := &emulator.StreamCallers{
		Host: host, Key: "out-of-step", Path: "/chat/1", Events: seriesEvents, Every: time.Second / outOfStepPerSecond,
		LoseEvery: outOfStepLoseEvery, Choose: c.choose, Observe: c.observe,
	}
	ctx, cancel := context.WithCancel(c.soak.t.Context())
	var wait sync.WaitGroup
	wait.Go(func() { callers.Run(ctx) })
	return func() emulator.StreamCounts {
		cancel()
		wait.Wait()
		c.readOrigins()
		return callers.Counts()
	}
}

// prefersOut makes callers resume streams at gateways out of step, or no longer.
func (c *outOfStepCallers) prefersOut(prefers bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.prefers = prefers
}

// choose returns the address for an attempt.
func (c *outOfStepCallers) choose(number, attempt int) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if number%outOfStepLoseEvery != 0 {
		return c.soak.gateways[(number/outOfStepLoseEvery+attempt)%len(c.soak.gateways)].callers
	}
	lost := number / outOfStepLoseEvery
	if c.prefers && attempt == 1 && lost%3 != 0 {
		return c.soak.gateways[c.out[lost%len(c.out)]].callers
	}
	return c.soak.gateways[(number+attempt)%(len(c.soak.gateways)-len(c.out))].callers
}

// observe counts a stream that has ended.
func (c *outOfStepCallers) observe(attempts []emulator.StreamAttempt) {
	first := slices.IndexFunc(attempts, func(a emulator.StreamAttempt) bool { return a.Resumes })
	if first < 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := &c.inStep
	if slices.ContainsFunc(c.out, func(number int) bool { return c.soak.gateways[number].callers == attempts[first].Address }) {
		counts = &c.atOut
	}
	counts.Resumed++
	c.resumed[attempts[first].ID] = counts
	went := slices.IndexFunc(attempts[first:], func(a emulator.StreamAttempt) bool { return len(a.Versions) > 0 })
	switch {
	case went == 0:
		counts.AtOnce++
	case went > 0:
		counts.Later++
	}
	version := ""
	for _, attempt := range attempts {
		for _, v := range attempt.Versions {
			if version != "" && v != version {
				counts.Mixed++
				c.mixed[attempt.ID] = counts
				return
			}
			version = v
		}
	}
}

// readOrigins reads from the gateways' logs how they knew the versions of resumed streams.
func (c *outOfStepCallers) readOrigins() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, g := range c.soak.gateways {
		log, err := os.Open(g.logFile)
		if err != nil {
			c.soak.t.Error(err)
			continue
		}
		scanner := bufio.NewScanner(log)
		for scanner.Scan() {
			var line struct {
				Message string `json:"msg"`
				ID      string `json:"id"`
				Origin  string `json:"origin"`
				Ending  string `json:"ending"`
				ProofMs int    `json:"proof_ms"`
			}
			if json.Unmarshal(scanner.Bytes(), &line) != nil || line.Message != "request" {
				continue
			}
			if counts := c.resumed[line.ID]; counts != nil {
				counts.Endings[line.Origin+" "+line.Ending]++
			}
			if counts := c.mixed[line.ID]; counts != nil {
				counts.Origins[line.Origin]++
				counts.OldestProof = max(counts.OldestProof, time.Duration(line.ProofMs)*time.Millisecond)
			}
		}
		_ = log.Close()
	}
}
