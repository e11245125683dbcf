package admission

import (
	"math"
	"time"
)

// decayingCount is an event count that decays exponentially: an event's weight halves with each
// half-life.
type decayingCount struct {
	value     float64
	updatedAt time.Time
	// start is the time of the first event counted.
	start time.Time
}

// add counts an event of the given weight.
func (d *decayingCount) add(weight float64, now time.Time, halfLife time.Duration) {
	if d.start.IsZero() {
		d.start = now
	}
	d.value = d.valueAt(now, halfLife) + weight
	if now.After(d.updatedAt) {
		d.updatedAt = now
	}
}

// valueAt returns the decayed count at a time.
func (d *decayingCount) valueAt(now time.Time, halfLife time.Duration) float64 {
	if d.updatedAt.IsZero() || !now.After(d.updatedAt) {
		return d.value
	}
	return d.value * math.Exp2(-now.Sub(d.updatedAt).Seconds()/halfLife.Seconds())
}

// rate returns the rate of events per second that the decayed count corresponds to. It corrects
// for a count that started recently and so has seen only part of its window.
func (d *decayingCount) rate(now time.Time, halfLife time.Duration) float64 {
	if d.start.IsZero() {
		return 0
	}
	weightSeen := 1 - math.Exp2(-max(now.Sub(d.start), minRateWindow).Seconds()/halfLife.Seconds())
	return d.valueAt(now, halfLife) * math.Ln2 / halfLife.Seconds() / weightSeen
}

// minRateWindow is the shortest window over which a rate is computed.
const minRateWindow = 100 * time.Millisecond
