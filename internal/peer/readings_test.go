package peer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/balance"
	"github.com/capersaddle/capersaddle/internal/wire"
)

// TestReadingsInABeat: what is sent is what arrives, but for the part of an age
// that is below its unit; a beat of another making does no harm.
func TestReadingsInABeat(t *testing.T) {
	now := time.Unix(1000, 0)
	reading := balance.Reading{Target: 7, Load: 12, At: now.Add(-130 * time.Millisecond)}
	cases := map[string]struct {
		beat *wire.GatewayBeat
		want []balance.Reading
	}{
		"as sent": {sentReadings(now, reading, reading), []balance.Reading{reading, reading}},
		"an age of no whole unit": {
			sentReadings(now, balance.Reading{Target: 1, Load: 2, At: now.Add(-19 * time.Millisecond)}),
			[]balance.Reading{{Target: 1, Load: 2, At: now.Add(-10 * time.Millisecond)}},
		},
		"none":                       {new(wire.GatewayBeat), []balance.Reading{}},
		"lists of different lengths": {&wire.GatewayBeat{ReadTargets: []uint32{1, 2}, ReadLoads: []uint32{3}, ReadAges: []uint32{0, 0}}, []balance.Reading{{Target: 1, Load: 3, At: now}}},
		"figures out of all bounds": {
			&wire.GatewayBeat{ReadTargets: []uint32{1}, ReadLoads: []uint32{1 << 31}, ReadAges: []uint32{1 << 31}},
			[]balance.Reading{{Target: 1, Load: mostReadingLoad, At: now.Add(-10 * time.Minute)}},
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(readingsOf(tc.beat, now), tc.want)
		})
	}
}

func sentReadings(now time.Time, readings ...balance.Reading) *wire.GatewayBeat {
	service := bareService()
	service.lastReadings = readings
	beat := new(wire.GatewayBeat)
	service.addReadings(beat, now)
	return beat
}
