package peer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/link"
	"github.com/capersaddle/capersaddle/internal/origin"
)

// TestSaverGetsStreamOrigins guards against records that the gateway which saves them in the store never
// gets, in a fleet in which a record has two keepers: they would be lost with all gateways.
func TestSaverGetsStreamOrigins(t *testing.T) {
	for name, gateways := range map[string]int{"few": 4, "many": 14} {
		t.Run(name, func(t *testing.T) {
			running := make(map[*Service]*origin.Table)
			nodes := newOriginFleet(t, link.NewMemory(), gateways, origin.Uncertain)
			for _, n := range nodes {
				table := origin.NewTable()
				n.service.mu.Lock()
				n.service.origins.options.Running = table
				n.service.mu.Unlock()
				running[n.service] = table
			}
			var saver, other *originNode
			for _, n := range nodes {
				if n.service.First() {
					saver = n
				} else {
					other = n
				}
			}
			is.New(t).True(saver != nil)
			const streams = 20
			for stream := range streams {
				record := origin.Record{Stream: origin.Stream(stream), Version: streamVersion, Expires: time.Now().Add(time.Minute)}
				other.service.SpreadOrigin(record, testService)
			}
			waitFor(t, "the gateway that saves has the records", func() bool {
				return len(running[saver.service].Records(time.Now())) == streams
			})
			for _, record := range running[saver.service].Records(time.Now()) {
				is.New(t).True(time.Until(record.Expires) <= 31*time.Second) // half of the time for which it may be resumed
			}
		})
	}
}
