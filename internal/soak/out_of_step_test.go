package soak

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/emulator"
	"github.com/capersaddle/capersaddle/internal/peer"
)

const (
	// outOfStepCertainAfter is longer than a gateway takes to be certain that there is one version.
	outOfStepCertainAfter = 14 * time.Second
	// joinsAfter is the time from when a gateway is out of step until targets of another version join.
	joinsAfter = 300 * time.Millisecond
	// resumedAfter is for how long after the gateway is in step again streams are resumed there.
	resumedAfter = 2 * time.Second
	// outOfStepPerSecond is the usual number of streams that begin in a second. Callers lose every second one.
	outOfStepPerSecond = 150
	outOfStepLoseEvery = 2
	// maxTraced is the number of streams of two versions that are traced.
	maxTraced = 5
	// minContinuedInStep is the least share of the streams resumed at gateways in step that must go on.
	minContinuedInStep = 0.99
)

// TestStreamsAtGatewayOutOfStep guards against streams with events of two versions at gateways that know
// nothing of a version because they are cut off or have just woken: streams that it began elsewhere
// meanwhile went on at the version that they took for the only one.
func TestStreamsAtGatewayOutOfStep(t *testing.T) {
	binary := buildBinary(t)
	cases := outOfStepCases()
	if envNumber(t, envOutOfStep, 0) > 0 {
		maps.Copy(cases, moreOutOfStepCases())
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) { test.run(t, binary) })
	}
}

func (test outOfStepCase) run(t *testing.T, binary string) {
	is := is.New(t)
	s := &soak{t: t, binary: binary, seed: 1, grace: stopGrace, mesh: newMesh(t, test.gateways), streamGap: test.gap, keepIDs: test.keepIDs}
	s.startVersionedSystem(test.gateways, 1)
	defer s.stopSystem()
	if test.prepare != nil {
		test.prepare(s)
	}
	time.Sleep(outOfStepCertainAfter)
	callers := &outOfStepCallers{out: test.outOf(s), soak: s}
	stop := callers.start(cmp.Or(test.perSecond, outOfStepPerSecond))
	time.Sleep(time.Second)
	callers.prefersOut(true)
	test.disturb(s, callers.out)
	time.Sleep(resumedAfter)
	s.faults.Wait()
	callers.prefersOut(false)
	time.Sleep(time.Second)
	counts := stop()
	t.Logf("all streams: %+v", counts)
	t.Logf("resumed at gateways out of step: %s", callers.atOut.String())
	t.Logf("resumed at gateways in step: %s", callers.inStep.String())
	is.True(callers.atOut.Resumed > 0)
	is.True(callers.inStep.Resumed > 0)
	is.Equal(counts.Mixed, 0)
	is.Equal(counts.Disordered, 0)
	is.True(callers.inStep.share() >= cmp.Or(test.minInStep, minContinuedInStep))
	is.True(callers.atOut.share() >= test.minAtOut)
}

// disturb makes gateways get out of step, targets of another version join meanwhile, and the gateways get
// into step again.
func (test outOfStepCase) disturb(s *soak, out []int) {
	test.way.begin(s, out)
	ends := time.Now().Add(test.length)
	time.Sleep(min(joinsAfter, test.length/2))
	if test.join != nil {
		test.join(s)
	}
	if test.meanwhile != nil {
		s.faults.Go(func() { test.meanwhile(s) })
	}
	time.Sleep(time.Until(ends))
	test.way.end(s, out)
}

// outOf returns the numbers of the gateways that are out of step.
func (test outOfStepCase) outOf(s *soak) []int {
	var numbers []int
	for number := range s.gateways {
		numbers = append(numbers, number)
	}
	if test.readers || test.followers {
		slices.SortFunc(numbers, func(a, b int) int {
			return cmp.Compare(peer.StoreOrder(s.gateways[a].id), peer.StoreOrder(s.gateways[b].id))
		})
	}
	if test.readers {
		slices.Reverse(numbers)
	}
	return numbers[test.gateways-test.out:]
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
	// resumed holds the counts of a stream by the ID of the attempt that resumed it first.
	resumed map[string]*resumedCounts
	// mixed holds the attempts at streams of two versions.
	mixed [][]emulator.StreamAttempt
}

// resumedCounts counts resumed streams.
type resumedCounts struct {
	Resumed int
	// OfNewer counts those that another version than the first one had begun.
	OfNewer int
	// AtOnce counts streams that went on with the first request that resumed them, and Later those that
	// did with another one.
	AtOnce, Later int
	// Mixed counts streams with events of two versions.
	Mixed int
	// Endings counts the first requests that resumed streams by how the gateway knew the version and how
	// they ended, by its log. Lines are missing if there were too many.
	Endings map[string]int
	// originMs holds how long it took to know the version, in milliseconds, by the same.
	originMs []int
}

// String describes the counts.
func (c *resumedCounts) String() string {
	slices.Sort(c.originMs)
	part := func(share float64) int {
		if len(c.originMs) == 0 {
			return -1
		}
		return c.originMs[int(share*float64(len(c.originMs)-1))]
	}
	return fmt.Sprintf("%d, of which %d of another version; mixed %d; %d went on at once, %d later (%.3f); by the log %v; origin_ms median %d, 95 in 100 %d, most %d",
		c.Resumed, c.OfNewer, c.Mixed, c.AtOnce, c.Later, c.share(), c.Endings, part(0.5), part(0.95), part(1))
}

// share returns the share of the resumed streams that went on.
func (c *resumedCounts) share() float64 {
	return float64(c.AtOnce+c.Later) / float64(max(c.Resumed, 1))
}

// start starts the callers; stop ends them and returns what they saw.
func (c *outOfStepCallers) start(perSecond int) (stop func() emulator.StreamCounts) {
	c.resumed = make(map[string]*resumedCounts)
	c.atOut.Endings, c.inStep.Endings = make(map[string]int), make(map[string]int)
	callers := &emulator.StreamCallers{
		Host: host, Key: "out-of-step", Path: "/chat/1", Events: seriesEvents, Every: time.Second / time.Duration(perSecond),
		LoseEvery: outOfStepLoseEvery, Choose: c.choose, Observe: c.observe,
	}
	ctx, cancel := context.WithCancel(c.soak.t.Context())
	var wait sync.WaitGroup
	wait.Go(func() { callers.Run(ctx) })
	return func() emulator.StreamCounts {
		cancel()
		wait.Wait()
		c.readLogs()
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
	return c.inStepAddress(number + attempt)
}

// inStepAddress returns the address of a gateway in step that serves.
func (c *outOfStepCallers) inStepAddress(turn int) string {
	for range c.soak.gateways {
		number := turn % len(c.soak.gateways)
		if !slices.Contains(c.out, number) && !c.soak.gateways[number].stopping.Load() {
			return c.soak.gateways[number].callers
		}
		turn++
	}
	return ""
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
	versions := versionsOf(attempts)
	if versions[0] != firstVersion {
		counts.OfNewer++
	}
	if len(versions) > 1 {
		counts.Mixed++
		c.mixed = append(c.mixed, attempts)
	}
}

// versionsOf returns the versions of a stream's events, each once, in the order of their first events.
func versionsOf(attempts []emulator.StreamAttempt) []string {
	var versions []string
	for _, attempt := range attempts {
		for _, version := range attempt.Versions {
			if !slices.Contains(versions, version) {
				versions = append(versions, version)
			}
		}
	}
	return versions
}

// requestLine holds what a gateway's log says of a request that resumes a stream.
type requestLine struct {
	Message       string `json:"msg"`
	ID            string `json:"id"`
	Time          string `json:"time"`
	Process       string `json:"process"`
	Ending        string `json:"ending"`
	Resumes       string `json:"resumes"`
	StreamVersion string `json:"stream_version"`
	Origin        string `json:"origin"`
	OriginMs      int    `json:"origin_ms"`
	OriginProofMs int    `json:"origin_proof_ms"`
	ProofMs       int    `json:"proof_ms"`
}

// readLogs reads from the gateways' logs how they knew the versions of resumed streams, and traces streams of
// two versions.
func (c *outOfStepCallers) readLogs() {
	c.mu.Lock()
	defer c.mu.Unlock()
	lines := c.readLines()
	for id, counts := range c.resumed {
		if line, ok := lines[id]; ok {
			counts.Endings[line.Origin+" "+line.Ending]++
			counts.originMs = append(counts.originMs, line.OriginMs)
		}
	}
	if len(c.mixed) == 0 {
		return
	}
	for _, attempts := range c.mixed[:min(len(c.mixed), maxTraced)] {
		for _, attempt := range attempts {
			c.soak.t.Logf("stream of two versions: sent %s, events of %v, status %d: %+v", attempt.SentAt.UTC().Format(time.RFC3339Nano), attempt.Versions, attempt.Status, lines[attempt.ID])
		}
	}
	c.soak.t.Logf("logs in %s", c.soak.keepLogs())
}

// readLines reads the lines of all requests from the gateways' logs, by the IDs of the requests.
func (c *outOfStepCallers) readLines() map[string]requestLine {
	lines := make(map[string]requestLine)
	for _, g := range c.soak.gateways {
		log, err := os.Open(g.logFile)
		if err != nil {
			c.soak.t.Error(err)
			continue
		}
		scanner := bufio.NewScanner(log)
		for scanner.Scan() {
			var line requestLine
			if json.Unmarshal(scanner.Bytes(), &line) == nil && line.Message == "request" {
				lines[line.ID] = line
			}
		}
		_ = log.Close()
	}
	return lines
}
