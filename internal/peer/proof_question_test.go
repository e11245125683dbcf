package peer

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/capersaddle/capersaddle/internal/link"
	"github.com/capersaddle/capersaddle/internal/wire"
)

// proves makes a node able to prove its content anew.
func proves(service *Service) {
	service.options.Prove = func(context.Context, time.Time) bool {
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
			proven := asking.service.AskProof(ctx, since)
			is.Equal(proven, tc.provable && !lost)
			is.Equal(asking.proof.Covers(since), proven)
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
		"question": func(heartbeat *wire.GatewayBeat) { heartbeat.WantsNewProof = true },
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
