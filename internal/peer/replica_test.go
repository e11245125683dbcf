package peer

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/link"
	"github.com/capersaddle/capersaddle/internal/wire"
)

// countingStream counts what is sent; nothing else is called.
type countingStream struct {
	link.Stream
	sent int
}

func (c *countingStream) Send(link.Message) error {
	c.sent++
	return nil
}

// TestWholeCopiesAreBounded: hundreds of gateways that begin together must not
// share one small host's link for so long that no copy arrives in time. Changes
// are always sent.
func TestWholeCopiesAreBounded(t *testing.T) {
	cases := map[string]struct {
		underWay int32
		since    int64
		sent     int
	}{
		"a whole copy":                {0, 0, 1},
		"the last that fits":          {mostWholePages - 1, 0, 1},
		"one too many":                {mostWholePages, 0, 0},
		"changes beside whole copies": {mostWholePages, 3, 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			service := bareService()
			service.wholePages.Store(tc.underWay)
			stream := new(countingStream)
			service.Handle(t.Context(), &wire.Open{Kind: &wire.Open_Replica{Replica: &wire.ReplicaPull{Since: tc.since}}}, stream)
			is.Equal(stream.sent, tc.sent)
			is.Equal(service.wholePages.Load(), tc.underWay) // the count is given back
		})
	}
}

// TestThoseWhoBeginAskDifferentPeers: all that begin together used to ask the
// first of the peers that hold the store's content.
func TestThoseWhoBeginAskDifferentPeers(t *testing.T) {
	cases := map[string]struct {
		own  int64
		same bool
	}{
		"a process that holds nothing":    {0, false},
		"one that lacks the last changes": {5, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			service := bareService()
			service.options.Replica = &fakeReplica{revision: tc.own}
			now := time.Now()
			for number := range 6 { // too few for a tree, in which the parent is asked first
				beat := beatOf(fmt.Sprint(number), 1)
				beat.Life, beat.Revision = uint64(number+2), 9
				service.table.take(beat, now)
			}
			asked := make(map[string]bool)
			for range 200 {
				service.seen = nil
				asked[service.ahead(now).id] = true
			}
			is.Equal(len(asked) == 1, tc.same)
		})
	}
}
