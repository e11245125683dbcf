package peer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/balance"
	"github.com/capersaddle/capersaddle/internal/link"
	"github.com/capersaddle/capersaddle/internal/wire"
)

// TestRefusedTargetReachesAllGateways checks that all gateways learn of a refused target, though
// each gateway notifies only a few others.
func TestRefusedTargetReachesAllGateways(t *testing.T) {
	nodes := newLargeFleet(t)
	waitFor(t, "all others exclude the target", func() bool {
		nodes[0].service.Refused("t")
		for _, n := range nodes[1:] {
			if n.watcher.refused.Load() == 0 {
				return false
			}
		}
		return true
	})
}

// TestKnownRefusalIsNotForwarded checks that a gateway doesn't forward a refused target that it
// knows already, so that the spreading ends.
func TestKnownRefusalIsNotForwarded(t *testing.T) {
	is := is.New(t)
	nodes := newLargeFleet(t)
	service := nodes[0].service
	service.mu.Lock()
	defer service.mu.Unlock()
	now := time.Now()
	from := service.currentView(now).live[0]
	nodes[0].balancer.NoteRefused(placementOf(0).Target, now)
	sent, _ := service.Traffic()
	service.applyRefused(&wire.GatewayBeat{Refused: []uint32{placementOf(0).Target, 777}}, from, now)
	after, _ := service.Traffic()
	is.Equal(after, sent)
}

// TestSuspectsAreExchanged checks over real sockets that suspicions of two gateways exclude a
// target at a third.
func TestSuspectsAreExchanged(t *testing.T) {
	is := is.New(t)
	network := link.NewMemory()
	one := newNode(t, "one", network)
	two := newNode(t, "two", network, one.service.options.Address)
	three := newNode(t, "three", network, one.service.options.Address)
	three.balancer.Put(balance.Target{ID: "sound", Service: "s", Address: "u"}, time.Now())
	waitFor(t, "the third gateway excludes the target", func() bool {
		one.balancer.Release("t", balance.Lost, time.Now())
		two.balancer.Release("t", balance.Lost, time.Now())
		return three.watcher.suspected.Load() > 0
	})
	pick, ok := three.balancer.Choose(balance.Query{Service: "s"}, time.Now())
	is.True(ok)
	is.Equal(pick.Target.ID, "sound")
}
