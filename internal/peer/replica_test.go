package peer

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/link"
	"github.com/capersaddle/capersaddle/internal/wire"
)

// countingStream counts the messages that are sent; no other method is called.
type countingStream struct {
	link.Stream
	sent int
	// page is the last page that was sent.
	page *wire.ReplicaPage
}

func (c *countingStream) Send(message link.Message) error {
	c.sent++
	if reply, ok := message.(*wire.Reply); ok {
		c.page = reply.GetReplica()
	}
	return nil
}

// unreadableReplica is a replica that rejects all pages.
type unreadableReplica struct{ fakeReplica }

func (*unreadableReplica) Absorb(*wire.ReplicaPage) error { return errors.New("unreadable page") }

// TestConcurrentWholeCopiesAreLimited guards against hundreds of gateways that start together and
// share one small host's link for so long that no copy arrives in time. Changes are always sent.
func TestConcurrentWholeCopiesAreLimited(t *testing.T) {
	cases := map[string]struct {
		inFlight int32
		since    int64
		sent     int
	}{
		"a whole copy":                {0, 0, 1},
		"the last one allowed":        {maxWholePages - 1, 0, 1},
		"one too many":                {maxWholePages, 0, 0},
		"changes beside whole copies": {maxWholePages, 3, 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			service := newTestService()
			service.wholePages.Store(tc.inFlight)
			stream := new(countingStream)
			service.Handle(t.Context(), &wire.Open{Kind: &wire.Open_Replica{Replica: &wire.ReplicaPull{Since: tc.since}}}, stream)
			is.Equal(stream.sent, tc.sent)
			is.Equal(service.wholePages.Load(), tc.inFlight) // the counter is decremented again
		})
	}
}

// TestNewGatewaysPullFromDifferentPeers guards against gateways that start together and all pull
// from the first of the peers that hold the store's content.
func TestNewGatewaysPullFromDifferentPeers(t *testing.T) {
	cases := map[string]struct {
		own  int64
		same bool
	}{
		"an empty replica":                      {0, false},
		"a replica that lacks the last changes": {5, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			service := newTestService()
			service.options.Replica = &fakeReplica{revision: tc.own}
			now := time.Now()
			for number := range 6 { // too few for a tree, where the parent is asked first
				heartbeat := heartbeatFrom(fmt.Sprint(number), 1)
				heartbeat.Life, heartbeat.Revision = uint64(number+2), 9
				service.table.record(heartbeat, now)
			}
			asked := make(map[string]bool)
			for range 200 {
				service.cachedView = nil
				asked[service.peerAhead(now).id] = true
			}
			is.Equal(len(asked) == 1, tc.same)
		})
	}
}

// TestPageCarriesProof checks that a starting gateway can vouch for keys as soon as it has another
// one's copy, and that the proof is at least as old as the request for the copy.
func TestPageCarriesProof(t *testing.T) {
	const (
		onTheWay = 300 * time.Millisecond
		ageMs    = 700
	)
	cases := map[string]struct {
		page    *wire.ReplicaPage
		replica Replica
		proven  bool
	}{
		"with a proof":               {&wire.ReplicaPage{Revision: 5, HasProof: true, ProofAgeMs: ageMs}, new(fakeReplica), true},
		"from a gateway without one": {&wire.ReplicaPage{Revision: 5}, new(fakeReplica), false},
		"unreadable page":            {&wire.ReplicaPage{Revision: 5, HasProof: true, ProofAgeMs: ageMs}, new(unreadableReplica), false},
		"reply without a page":       {nil, new(fakeReplica), false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				service := newTestService()
				service.options.Replica = tc.replica
				asked := time.Now()
				time.Sleep(onTheWay)
				reply := &wire.Reply{}
				if tc.page != nil {
					reply.Kind = &wire.Reply_Replica{Replica: tc.page}
				}
				_, readable := tc.replica.(*fakeReplica)
				is.Equal(service.applyPage(reply, asked) == nil, tc.page != nil && readable)
				age, proven := service.options.Proof.Age(time.Now())
				is.Equal(proven, tc.proven)
				if tc.proven {
					is.Equal(age, onTheWay+ageMs*time.Millisecond)
				}
			})
		})
	}
}

// TestPageProofAge checks that a page carries the age of its sender's proof, rounded up.
func TestPageProofAge(t *testing.T) {
	cases := map[string]struct {
		age    time.Duration
		proven bool
		ms     uint32
	}{
		"no proof":       {0, false, 0},
		"old proof":      {2300 * time.Millisecond, true, 2301},
		"less than 1 ms": {100 * time.Microsecond, true, 1},
		"age zero":       {0, true, 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				service := newTestService()
				if tc.proven {
					service.options.Proof.Note(time.Now())
				}
				time.Sleep(tc.age)
				stream := new(countingStream)
				service.Handle(t.Context(), &wire.Open{Kind: &wire.Open_Replica{Replica: &wire.ReplicaPull{}}}, stream)
				is.Equal(stream.page.GetHasProof(), tc.proven)
				is.Equal(stream.page.GetProofAgeMs(), tc.ms)
			})
		})
	}
}
