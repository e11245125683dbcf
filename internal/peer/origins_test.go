package peer

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/capersaddle/capersaddle/internal/freshness"
	"github.com/capersaddle/capersaddle/internal/link"
	"github.com/capersaddle/capersaddle/internal/origin"
	"github.com/capersaddle/capersaddle/internal/wire"
)

const (
	testService   = "s"
	testStream    = origin.Stream(77)
	streamVersion = origin.Version(5)
	testSoleAfter = 10 * time.Second
)

// originNode is a node that exchanges records of streams.
type originNode struct {
	*node
	table *origin.Table
}

// newOriginNode returns a node. sole is the only version that it knows, Uncertain if there are several.
func newOriginNode(t *testing.T, address, id string, network *link.Memory, sole origin.Version, seeds ...string) *originNode {
	t.Helper()
	return newOriginNodeThat(t, startsAnew, address, id, network, sole, seeds...)
}

// startsAnew is for a node that knows nothing at its start.
func startsAnew(*Service) {}

// newOriginNodeThat is like newOriginNode, with a function that is called before its start.
func newOriginNodeThat(t *testing.T, starts func(service *Service), address, id string, network *link.Memory, sole origin.Version, seeds ...string) *originNode {
	t.Helper()
	table := origin.NewTable()
	prepare := func(service *Service) {
		proves(service)
		starts(service)
		service.origins.options = OriginOptions{Table: table, Sole: func(string) (origin.Version, bool) { return sole, sole != origin.Uncertain }, SoleAfter: func(string) time.Duration { return testSoleAfter }}
	}
	return &originNode{node: newNodeAt(t, address, id, network, prepare, seeds...), table: table}
}

// newOriginFleet returns nodes that know each other.
func newOriginFleet(t *testing.T, network *link.Memory, count int, sole origin.Version) []*originNode {
	t.Helper()
	return newOriginFleetThat(t, startsAnew, network, count, sole)
}

// newOriginFleetThat is like newOriginFleet, with a function that is called before the start of each node.
func newOriginFleetThat(t *testing.T, starts func(service *Service), network *link.Memory, count int, sole origin.Version) []*originNode {
	t.Helper()
	var nodes []*originNode
	var seeds []string
	for i := range count {
		nodes = append(nodes, newOriginNodeThat(t, starts, testLoopback+":0", fmt.Sprintf("g-%d", i), network, sole, seeds...))
		seeds = append(seeds, nodes[i].service.options.Address)
	}
	awaitContact(t, nodes)
	return nodes
}

// awaitContact waits until all nodes hear all others.
func awaitContact(t *testing.T, nodes []*originNode) {
	t.Helper()
	waitFor(t, "all gateways see all others", func() bool {
		return !slices.ContainsFunc(nodes, func(n *originNode) bool { return n.service.Live() != len(nodes)-1 })
	})
}

// begin records a stream at a node as its gateway does.
func (n *originNode) begin(version origin.Version) {
	record := origin.Record{Stream: testStream, Version: version, Expires: time.Now().Add(time.Minute)}
	n.table.Put(record, time.Now())
	n.service.SpreadOrigin(record, testService)
}

// holders returns how many of the nodes hold the stream's record.
func holders(nodes []*originNode) int {
	count := 0
	for _, n := range nodes {
		if _, ok := n.table.Get(testStream, time.Now()); ok {
			count++
		}
	}
	return count
}

// TestStreamOriginSurvivesItsGateway guards against streams that end with the gateway that began them,
// though others serve, and against gateways that guess.
func TestStreamOriginSurvivesItsGateway(t *testing.T) {
	cases := map[string]struct {
		gateways int
		sole     origin.Version
		prepare  func(t *testing.T, nodes []*originNode)
		version  origin.Version
		found    bool
	}{
		"its gateway is lost": {4, 0, func(t *testing.T, nodes []*originNode) {
			nodes[0].begin(streamVersion)
			waitFor(t, "others have the record", func() bool { return holders(nodes) == 4 })
			_ = nodes[0].service.Close()
		}, streamVersion, true},
		"its gateway is lost, many": {14, 0, func(t *testing.T, nodes []*originNode) {
			nodes[0].begin(streamVersion)
			waitFor(t, "others have the record", func() bool { return holders(nodes[1:]) >= originKeepers-1 })
			_ = nodes[0].service.Close()
		}, streamVersion, true},
		"it is unknown":                    {4, 0, func(*testing.T, []*originNode) {}, 0, false},
		"it is unknown, many":              {14, 0, func(*testing.T, []*originNode) {}, 0, false},
		"it is uncertain":                  {4, 0, func(t *testing.T, nodes []*originNode) { nodes[0].begin(origin.Uncertain) }, origin.Uncertain, true},
		"there was only one version":       {4, streamVersion, func(*testing.T, []*originNode) {}, streamVersion, true},
		"there was only one version, many": {14, streamVersion, func(*testing.T, []*originNode) {}, streamVersion, true},
		"one version, not proven since": {4, streamVersion, func(_ *testing.T, nodes []*originNode) {
			for _, n := range nodes {
				n.service.mu.Lock()
				n.service.options.Prove = func(context.Context, time.Time, uint32) bool { return false }
				n.service.mu.Unlock()
			}
		}, 0, false},
		"all others are lost": {4, 0, func(_ *testing.T, nodes []*originNode) {
			for _, n := range nodes[:len(nodes)-1] {
				_ = n.service.Close()
			}
		}, 0, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			nodes := newOriginFleet(t, link.NewMemory(), tc.gateways, tc.sole)
			tc.prepare(t, nodes)
			asking := nodes[len(nodes)-1]
			if _, ok := asking.table.Get(testStream, time.Now()); ok && tc.found {
				return // it is a keeper itself
			}
			finding := asking.service.FindOrigin(t.Context(), testStream, testService)
			is.Equal(finding.Version, tc.version)
			is.Equal(finding.Known, tc.found)
			is.Equal(finding.Sole, tc.found && tc.sole != origin.Uncertain)
			is.Equal(finding.Answered > 0, name != "all others are lost")
			is.Equal(len(asking.service.origins.lookups), 0)
		})
	}
}

// TestNewKeepersGetStreamOrigins guards against streams that become unknown while gateways are
// replaced in turn.
func TestNewKeepersGetStreamOrigins(t *testing.T) {
	network := link.NewMemory()
	nodes := newOriginFleet(t, network, 4, 0)
	nodes[0].begin(streamVersion)
	waitFor(t, "all keepers have the record", func() bool { return holders(nodes) == originKeepersOfFew })
	for i, n := range nodes {
		address := n.service.options.Address
		_ = n.service.Close()
		var seeds []string
		for _, other := range nodes {
			seeds = append(seeds, other.service.options.Address)
		}
		nodes[i] = newOriginNode(t, address, fmt.Sprintf("g-%d", i), network, 0, seeds...)
		waitFor(t, "all keepers have the record again", func() bool { return holders(nodes) == originKeepersOfFew })
	}
	is := is.New(t)
	for _, n := range nodes {
		if record, ok := n.table.Get(testStream, time.Now()); ok {
			is.Equal(record.Version, streamVersion)
		}
	}
}

// TestStreamOriginsWaitForSecondVersion guards against traffic for records of services with one
// version, and against losing them when another version begins.
func TestStreamOriginsWaitForSecondVersion(t *testing.T) {
	is := is.New(t)
	nodes := newKnowingFleet(t, link.NewMemory(), 3, streamVersion)
	for range 10 {
		nodes[0].begin(streamVersion)
	}
	nodes[0].service.round(time.Now())
	nodes[0].service.mu.Lock()
	is.Equal(nodes[0].service.origins.unsentCount, 10)
	nodes[0].service.origins.options.Sole = func(string) (origin.Version, bool) { return 0, false }
	nodes[0].service.mu.Unlock()
	waitFor(t, "the others have the record", func() bool { return holders(nodes) == len(nodes) })
}

// knowsTargets makes a node know all targets without a gap for long, and until after the test.
func knowsTargets(service *Service) {
	now := time.Now()
	for at := now.Add(-2 * (testSoleAfter + listTime)); at.Before(now.Add(knownAhead)); at = at.Add(time.Second) {
		service.options.Proof.Note(at)
	}
}

// knownAhead is longer than the tests take.
const knownAhead = time.Minute

// cutOff makes a node miss what happened to the targets for a while until now.
func (n *originNode) cutOff() {
	n.proof.Note(time.Now().Add(knownAhead + freshness.MaxGap + time.Second))
	n.service.mu.Lock()
	defer n.service.mu.Unlock()
	n.service.origins.options.Sole = func(string) (origin.Version, bool) { return origin.Uncertain, false }
}

// newKnowingFleet returns nodes that have known all targets for long, and know that of each other.
func newKnowingFleet(t *testing.T, network *link.Memory, count int, sole origin.Version) []*originNode {
	t.Helper()
	nodes := newOriginFleetThat(t, knowsTargets, network, count, sole)
	isNew := newerThan(time.Now().Add(-testSoleAfter - listTime))
	waitFor(t, "all nodes know that others know the targets", func() bool {
		return !slices.ContainsFunc(nodes, func(n *originNode) bool {
			n.service.mu.Lock()
			defer n.service.mu.Unlock()
			return slices.ContainsFunc(n.service.originCandidates(time.Now()), isNew)
		})
	})
	return nodes
}

// TestNewGatewaysGetStreamOrigins guards against streams that are lost with the only gateway that has
// been in touch for long enough to know that there was one version: it kept their records to itself.
func TestNewGatewaysGetStreamOrigins(t *testing.T) {
	cases := map[string]struct {
		gateways int
		// before begins the stream before the others begin again, and not after.
		before bool
		// cutOff cuts the others off from the store for a while in place of a new start.
		cutOff bool
	}{
		"the stream begins before them":             {4, true, false},
		"the stream begins after them":              {4, false, false},
		"the stream begins before them, many":       {14, true, false},
		"the stream begins after them, many":        {14, false, false},
		"the stream begins before they are cut off": {4, true, true},
		"the stream begins after they were cut off": {4, false, true},
		"before they are cut off, many":             {14, true, true},
		"the stream begins after they were, many":   {14, false, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			network := link.NewMemory()
			nodes := newKnowingFleet(t, network, tc.gateways, streamVersion)
			old := nodes[0]
			if tc.before {
				old.begin(streamVersion)
				old.service.round(time.Now())
				is.Equal(holders(nodes[1:]), 0)
			}
			for i, n := range nodes[1:] {
				if tc.cutOff {
					n.cutOff()
					continue
				}
				_ = n.service.Close()
				nodes[i+1] = newOriginNode(t, n.service.options.Address, fmt.Sprintf("g-%d", i+1), network, 0, old.service.options.Address)
			}
			awaitContact(t, nodes)
			waitFor(t, "the first node knows that the others don't know the targets", func() bool {
				old.service.mu.Lock()
				defer old.service.mu.Unlock()
				isNew := newerThan(time.Now().Add(-testSoleAfter))
				return !slices.ContainsFunc(old.service.originCandidates(time.Now()), func(p *peer) bool { return !isNew(p) })
			})
			if !tc.before {
				old.begin(streamVersion)
			}
			waitFor(t, "others have the record", func() bool { return holders(nodes[1:]) > 0 })
			_ = old.service.Close()
			asking := nodes[len(nodes)-1]
			if _, ok := asking.table.Get(testStream, time.Now()); ok {
				return // it is a keeper itself
			}
			finding := asking.service.FindOrigin(t.Context(), testStream, testService)
			is.True(finding.Known)
			is.Equal(finding.Version, streamVersion)
		})
	}
}

// TestFindOriginEndsWithCaller checks that a lookup does not outlast its caller.
func TestFindOriginEndsWithCaller(t *testing.T) {
	is := is.New(t)
	nodes := newOriginFleet(t, link.NewMemory(), 2, 0)
	_ = nodes[0].service.Close()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	finding := nodes[1].service.FindOrigin(ctx, testStream, testService)
	is.True(!finding.Known)
	is.Equal(finding.Answered, 0)
}

// TestStreamOriginSize limits the size in bytes of datagrams with records.
func TestStreamOriginSize(t *testing.T) {
	cases := map[string]struct{ records, maxSize int }{
		"one stream":    {1, 45},
		"full datagram": {maxOriginRecords, 1200},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			now := time.Now()
			heartbeat := &wire.GatewayBeat{Life: 1 << 60, Sequence: 1 << 20, Brief: true, Bare: true}
			for i := range tc.records {
				record := origin.Record{Stream: origin.Stream(1<<60 + i), Version: 1 << 30, Expires: now.Add(24 * time.Second)}
				heartbeat.StreamOrigins = append(heartbeat.StreamOrigins, originMessage(record, now))
			}
			t.Logf("%d bytes", proto.Size(heartbeat))
			is.New(t).True(proto.Size(heartbeat) <= tc.maxSize)
		})
	}
}

// TestRecordGoesBeforeSoleVersionOfAnotherPeer guards against the only version that one gateway knows where
// another one has the record of the stream and answers a little later.
func TestRecordGoesBeforeSoleVersionOfAnotherPeer(t *testing.T) {
	is := is.New(t)
	nodes := newOriginFleet(t, link.NewMemory(), 4, streamVersion)
	nodes[0].table.Put(origin.Record{Stream: testStream, Version: origin.Uncertain, Expires: time.Now().Add(time.Minute)}, time.Now())
	nodes[0].service.mu.Lock() // its answer takes 10 ms
	time.AfterFunc(10*time.Millisecond, nodes[0].service.mu.Unlock)
	finding := nodes[3].service.FindOrigin(t.Context(), testStream, testService)
	t.Logf("%+v", finding)
	is.Equal(finding.Version, origin.Uncertain)
	is.True(!finding.Sole)
}
