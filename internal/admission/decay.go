package admission

import (
	"math"
	"time"
)

// decayed is a count that fades: after its half-life an event counts half.
type decayed struct {
	value float64
	at    time.Time
	// since is when the counting began.
	since time.Time
}

// add counts an event.
func (d *decayed) add(weight float64, now time.Time, halfLife time.Duration) {
	if d.since.IsZero() {
		d.since = now
	}
	d.value = d.read(now, halfLife) + weight
	if now.After(d.at) {
		d.at = now
	}
}

// read is the faded count.
func (d *decayed) read(now time.Time, halfLife time.Duration) float64 {
	if d.at.IsZero() || !now.After(d.at) {
		return d.value
	}
	return d.value * math.Exp2(-now.Sub(d.at).Seconds()/halfLife.Seconds())
}

// perSecond is the rate of events that a faded count stands for. A counting
// that has just begun has seen a part of its time only.
func (d *decayed) perSecond(now time.Time, halfLife time.Duration) float64 {
	if d.since.IsZero() {
		return 0
	}
	seen := 1 - math.Exp2(-max(now.Sub(d.since), leastSeen).Seconds()/halfLife.Seconds())
	return d.read(now, halfLife) * math.Ln2 / halfLife.Seconds() / seen
}

// leastSeen is the shortest time that a rate is worked out over.
const leastSeen = 100 * time.Millisecond
