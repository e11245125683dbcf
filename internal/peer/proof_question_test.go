package peer

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/capersaddle/capersaddle/internal/clock"
	"github.com/capersaddle/capersaddle/internal/link"
	"github.com/capersaddle/capersaddle/internal/wire"
)

// proves makes a node able to prove its content anew.
func proves(service *Service) {
	service.options.Prove = func(context.Context, time.Time, uint32) bool {
		service.options.Proof.Note(time.Now())
		return true
	}
}

// TestNewProof guards against decisions on proofs that are older than the question: a gateway that asks for
// a new proof gets one, and only once it has what the proof is about.
func TestNewProof(t *testing.T) {
	const revision = 7
	ahead := func(t *testing.T, others []*node) {
		t.Helper()
		for _, other := range others {
			other.replica.set(revision, true)
		}
	}
	cases := map[string]struct {
		others   int
		provable bool
		prepare  func(t *testing.T, others []*node)
		revision int64
	}{
		"two others":                {2, true, func(*testing.T, []*node) {}, 0},
		"many others":               {12, true, func(*testing.T, []*node) {}, 0},
		"others have more":          {2, true, ahead, revision},
		"many others have more":     {12, true, ahead, revision},
		"others can't prove it":     {2, false, func(*testing.T, []*node) {}, 0},
		"others are lost":           {2, true, func(_ *testing.T, others []*node) { closeAll(others) }, 0},
		"one of two others is lost": {2, true, func(_ *testing.T, others []*node) { closeAll(others[:1]) }, 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			network := link.NewMemory()
			asking := newNode(t, "asks", network)
			prepare := startsAnew
			if tc.provable {
				prepare = proves
			}
			var others []*node
			for i := range tc.others {
				others = append(others, newNodeWith(t, fmt.Sprintf("g-%d", i), network, prepare, asking.service.options.Address))
			}
			waitFor(t, "the gateways know each other", func() bool { return asking.service.Live() == tc.others })
			tc.prepare(t, others)
			lost := name == "others are lost"
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			if !tc.provable || lost {
				ctx, cancel = context.WithTimeout(t.Context(), 3*proofQuestionInterval)
				defer cancel()
			}
			since := time.Now()
			asking.service.AskProof(ctx, since)
			proven := asking.proof.Covers(since)
			is.Equal(proven, tc.provable && !lost)
			if proven {
				is.True(asking.replica.Revision() >= tc.revision)
			}
		})
	}
}

func closeAll(nodes []*node) {
	for _, n := range nodes {
		_ = n.service.Close()
	}
}

// TestProofQuestionSize limits the size in bytes of a question for a proof and of its answer.
func TestProofQuestionSize(t *testing.T) {
	const maxSize = 64
	heartbeat := &wire.GatewayBeat{
		Life: 1 << 60, Sequence: 1 << 20, Revision: 1 << 30, StoreReachable: true, Echo: 1 << 20, Brief: true,
		HasProof: true, ProofAgeMs: 1000, KnowsTargetsS: 3600, LagMs: 10,
	}
	cases := map[string]func(heartbeat *wire.GatewayBeat){
		"question": func(heartbeat *wire.GatewayBeat) { heartbeat.NewProofHops = 1 },
		"answer":   func(heartbeat *wire.GatewayBeat) { heartbeat.ProvesSequence = 1 << 20 },
	}
	for name, add := range cases {
		t.Run(name, func(t *testing.T) {
			sent := proto.CloneOf(heartbeat)
			add(sent)
			t.Logf("%d bytes", proto.Size(sent))
			is.New(t).True(proto.Size(sent) <= maxSize)
		})
	}
}

// changingReplica is a replica that a change reaches, with a new proof, right after its revision was read.
type changingReplica struct {
	*fakeReplica
	change func()
}

func (c *changingReplica) PassedOn() int64 {
	revision := c.fakeReplica.PassedOn()
	if c.change != nil {
		c.change()
	}
	return revision
}

// TestHeartbeatProvesItsRevision guards against heartbeats of which the proof is about a later revision than the
// one that they state.
func TestHeartbeatProvesItsRevision(t *testing.T) {
	is := is.New(t)
	n := newNode(t, "g-0", link.NewMemory())
	n.replica.set(1, true)
	n.service.mu.Lock()
	defer n.service.mu.Unlock()
	n.proof.Note(clock.Now().Add(-time.Second))
	n.service.options.Replica = &changingReplica{fakeReplica: n.replica, change: func() {
		n.replica.set(2, true)
		n.proof.Note(clock.Now())
	}}
	sent := n.service.baseHeartbeat(clock.Now())
	proves := time.Duration(sent.GetProofAgeMs()) * time.Millisecond
	t.Logf("revision %d, proof %v old", sent.GetRevision(), proves)
	is.True(sent.GetRevision() == 2 || proves >= time.Second)
}

// TestProofQuestionsEnd guards against questions for a proof that gateways of a large fleet go on asking each
// other after the one that needed it has given up.
func TestProofQuestionsEnd(t *testing.T) {
	const count, patience, quietRounds = 14, 75 * time.Millisecond, 20
	network := link.NewMemory()
	// Each takes any other one for its parent, and no store answers in time.
	slow := func(service *Service) {
		service.options.Prove = func(ctx context.Context, since time.Time, hops uint32) bool {
			service.AskParentForProof(ctx, since, hops)
			return service.options.Proof.Covers(since)
		}
	}
	var nodes []*node
	var seeds []string
	for i := range count {
		nodes = append(nodes, newNodeWith(t, fmt.Sprintf("g-%d", i), network, slow, seeds...))
		nodes[i].replica.set(1, true)
		seeds = append(seeds, nodes[i].service.options.Address)
	}
	waitFor(t, "the gateways know each other", func() bool {
		return !slices.ContainsFunc(nodes, func(n *node) bool { return n.service.Live() != count-1 })
	})
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	nodes[count-1].service.AskProof(ctx, clock.Now())
	quiet := 0
	waitFor(t, "no more answers are prepared", func() bool {
		quiet++
		if slices.ContainsFunc(nodes, (*node).answersProofs) {
			quiet = 0
		}
		return quiet >= quietRounds
	})
}

// answersProofs reports whether a node is preparing an answer.
func (n *node) answersProofs() bool {
	n.service.mu.Lock()
	defer n.service.mu.Unlock()
	return n.service.proofs.answering > 0
}

// TestAnswerProvesTheTimeOfTheQuestion guards against proofs of times after the question, by an answer that
// arrives late.
func TestAnswerProvesTheTimeOfTheQuestion(t *testing.T) {
	is := is.New(t)
	n := newNode(t, "g-0", link.NewMemory())
	n.service.mu.Lock()
	question := n.service.baseHeartbeat(clock.Now())
	n.service.mu.Unlock()
	asked := clock.Now()
	waitFor(t, "time has passed", func() bool { return clock.Now().After(asked) })
	n.service.handleHeartbeat(&wire.GatewayBeat{Life: 7, Id: "g-1", Address: "127.0.0.2:9", Sequence: 1, Brief: true, ProvesSequence: question.GetSequence()}, clock.Now())
	is.True(!n.proof.Covers(asked.Add(time.Nanosecond)))
	_, proven := n.proof.Age(clock.Now())
	is.True(proven)
}

// TestUnprovenIsNotAnswered guards against answers of gateways that could not prove their content.
func TestUnprovenIsNotAnswered(t *testing.T) {
	is := is.New(t)
	network := link.NewMemory()
	asking := newNode(t, "asks", network)
	newNodeWith(t, "g-1", network, func(service *Service) {
		service.options.Prove = func(context.Context, time.Time, uint32) bool { return false }
	}, asking.service.options.Address)
	waitFor(t, "the gateways know each other", func() bool { return asking.service.Live() == 1 })
	ctx, cancel := context.WithTimeout(t.Context(), 3*proofQuestionInterval)
	defer cancel()
	since := clock.Now()
	asking.service.AskProof(ctx, since)
	is.True(!asking.proof.Covers(since))
}

// TestAnswerToEarlierLife guards against proofs by an answer to a question of an earlier life of this process, at
// the same address, which proves nothing for times after that question.
func TestAnswerToEarlierLife(t *testing.T) {
	is := is.New(t)
	n := newNode(t, "g-0", link.NewMemory())
	// The earlier life asked with its third heartbeat; the answer was held up until this life has sent as many.
	answer := &wire.GatewayBeat{Life: 7, Id: "g-1", Address: "127.0.0.2:9", Sequence: 1, Brief: true, Revision: 0, ProvesSequence: 3}
	asked := clock.Now() // by the earlier life, before this one sends its third heartbeat
	n.service.mu.Lock()
	for n.service.sequence < 3 {
		n.service.baseHeartbeat(clock.Now())
	}
	n.service.mu.Unlock()
	n.service.handleHeartbeat(answer, clock.Now())
	is.True(!n.proof.Covers(asked.Add(time.Nanosecond)))
}

// TestProofAgeAfterSuspension guards against answers, right after the host was suspended, that state the age of
// the proof without the suspension.
func TestProofAgeAfterSuspension(t *testing.T) {
	const suspended = 10 * time.Second
	is := is.New(t)
	n := newNode(t, "g-0", link.NewMemory())
	n.service.handleHeartbeat(&wire.GatewayBeat{Life: 7, Id: "g-1", Address: "127.0.0.2:9", Sequence: 1, Brief: true}, clock.Now())
	n.service.mu.Lock() // no round comes in between
	defer n.service.mu.Unlock()
	n.proof.Note(clock.Check())
	defer clock.Simulate(suspended)()
	answer := n.service.briefHeartbeat(n.service.table.peers["g-1"], clock.Now())
	t.Logf("age %d ms", answer.GetProofAgeMs())
	is.True(answer.GetProofAgeMs() >= uint32(suspended.Milliseconds()))
}
