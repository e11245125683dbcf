package rollout

import (
	"fmt"
	"testing"
	"time"
)

// TestSoleVersionAfterStandstill guards against a bad version that gets all requests because the gateway that
// decides stood still: the time counted in which it knew of no other version, although their entries had
// expired for a moment only and were back before it went on.
func TestSoleVersionAfterStandstill(t *testing.T) {
	const duration = 20 * time.Second
	for _, gateways := range []int{1, 2, 5} {
		t.Run(fmt.Sprint(gateways), func(t *testing.T) {
			cl := newCluster(t, gateways, versionBehaviors["fails at once"], 1)
			cl.order(newVersion, duration)
			delete(cl.targets, oldVersion)
			cl.run(time.Second)
			for _, n := range cl.nodes {
				n.frozen = true
			}
			cl.run(soleVersionDelay)
			for _, n := range cl.nodes {
				n.resume()
			}
			cl.run(stepInterval) // the entries that are back have not been read yet
			cl.targets[oldVersion] = 10
			cl.run(duration)
			cl.wantState(RolledBack)
		})
	}
}
