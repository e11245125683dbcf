package peer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/link"
	"github.com/capersaddle/capersaddle/internal/origin"
)

// TestUncertainOriginsDoNotWait guards against streams that go on elsewhere at the only version known there,
// though the gateway that began them knows that they may be of another one.
func TestUncertainOriginsDoNotWait(t *testing.T) {
	is := is.New(t)
	nodes := newKnowingFleet(t, link.NewMemory(), 3, streamVersion)
	nodes[0].begin(origin.Uncertain)
	waitFor(t, "the others have the record", func() bool { return holders(nodes) == len(nodes) })
	for _, n := range nodes {
		record, _ := n.table.Get(testStream, time.Now())
		is.Equal(record.Version, origin.Uncertain)
	}
}
