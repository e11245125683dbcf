package admission

import (
	"math"
	"time"
)

// decayed is a count that fades: after its half-life an event counts half.
type decayingCount struct {
	value float64
	updatedAt    time.Time
	// since is when the counting began.
	start time.Time
}

// add counts an event.
func (d *decayingCount) add(weight float64, now time.Time, halfLife time.Duration) {
	if d.start.IsZero() {
		d.start = now
	}
	d.value = d.valueAt(now, halfLife) + weight
	if now.After(d.updatedAt) {
		d.updatedAt = now
	}
}

// read is the faded count.
func (d *decayingCount) valueAt(now time.Time, halfLife time.Duration) float64 {
	if d.updatedAt.IsZero() || !now.After(d.updatedAt) {
		return d.value
	}
	return d.value * math.Exp2(-now.Sub(d.updatedAt).Seconds()/halfLife.Seconds())
}

// rate is the rate of events that a faded count stands for. A counting
// that has just begun has seen a part of its time only.
func (d *decayingCount) rate(now time.Time, halfLife time.Duration) float64 {
	if d.start.IsZero() {
		return 0
	}
	weightSeen := 1 - math.Exp2(-max(now.Sub(d.start), minRateWindow).Seconds()/halfLife.Seconds())
	return d.valueAt(now, halfLife) * math.Ln2 / halfLife.Seconds() / weightSeen
}

// minRateWindow is the shortest time that a rate is worked out over.
const minRateWindow = 100 * time.Millisecond
