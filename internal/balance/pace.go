package balance

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Targets that share their hosts with others work at a pace that changes within a second,
// while one gateway of dozens gets an answer from each of them every few seconds. So each
// gateway reports the paces that it was told a moment ago, and an old one is taken to have
// gone back towards the usual. A pace better than usual counts as usual: all gateways know
// the same fastest target, and would send to it at once.

const (
	// paceHalfLife is how fast a pace that was told fades to the usual.
	paceHalfLife = time.Second
	// mostPace bounds the weight of a pace, as mostSlowness does that of a delay.
	mostPace = 8.0
	// heldUpPace is from which on a prompt is better read elsewhere.
	heldUpPace = 1.6
	// paceNews is how long a pace is worth reporting, and leastPaceNews how far it must be
	// from what the others believe of it.
	paceNews      = 600 * time.Millisecond
	leastPaceNews = 0.25
)

// pace is how many times as long as usual work took at a target at some time; zero if that
// was never told.
type pace struct {
	factor float64
	heard  time.Time
}

// at is what the pace is taken to be now.
func (p pace) at(now time.Time) float64 {
	if p.factor == 0 {
		return 1
	}
	age := max(now.Sub(p.heard), 0)
	return 1 + (p.factor-1)*math.Exp2(-age.Seconds()/paceHalfLife.Seconds())
}

// newPace bounds a pace that was told.
func newPace(factor float64, heard time.Time) pace {
	return pace{factor: min(max(factor, 1), mostPace), heard: heard}
}

// heardPace is a pace that a target told this process; believed is what the others took it
// to be by then.
type heardPace struct {
	pace
	believed float64
}

// notePace takes a pace that a target told this process; b.mu is held.
func (b *Balancer) notePace(target *state, factor float64, now time.Time) {
	believed := target.pace.at(now)
	target.pace = newPace(factor, now)
	short := shortOf(target.hash)
	if math.Abs(target.pace.factor-believed) < leastPaceNews {
		delete(b.pacesHeard, short)
		return
	}
	b.pacesHeard[short] = heardPace{pace: target.pace, believed: believed}
}

// Pace is a target's pace as another gateway was told it.
type Pace struct {
	// Target is the upper half of its hash.
	Target uint32
	Factor float64
	Age    time.Duration
}

// PaceNews are paces that this process was told a moment ago and that differ from what the
// others believe, the most different first, at most so many.
func (b *Balancer) PaceNews(most int, now time.Time) []Pace {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.pacesHeard) == 0 {
		return nil
	}
	news := make([]Pace, 0, len(b.pacesHeard))
	for target, heard := range b.pacesHeard {
		age := now.Sub(heard.heard)
		if age > paceNews {
			delete(b.pacesHeard, target)
			continue
		}
		news = append(news, Pace{Target: target, Factor: heard.factor, Age: max(age, 0)})
	}
	unlike := func(p Pace) float64 { return -math.Abs(p.Factor - b.pacesHeard[p.Target].believed) }
	slices.SortFunc(news, func(x, y Pace) int {
		return cmp.Or(cmp.Compare(unlike(x), unlike(y)), cmp.Compare(x.Target, y.Target))
	})
	return news[:min(most, len(news))]
}

// ObservePaces takes the paces that another gateway was told; what is known since later
// stands.
func (b *Balancer) ObservePaces(paces []Pace, now time.Time) {
	if len(paces) == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, told := range paces {
		target, ok := b.byShort[told.Target]
		if !ok {
			continue
		}
		if heard := now.Add(-told.Age); heard.After(target.pace.heard) {
			target.pace = newPace(told.Factor, heard)
		}
	}
}

const (
	// coldFactor is how much slower a target is taken to be from its start.
	coldFactor = 1.6
	// mostSlowness bounds the weight of one target's delay.
	mostSlowness = 8
)

// speeds are what the speeds of a service's targets are measured by at one moment.
type speeds struct {
	// typical is the typical time to an answer's head, in seconds; zero if it is not known.
	typical float64
	now     time.Time
}

// speedsAt are those of the service's targets.
func (s *service) speedsAt(now time.Time) speeds {
	return speeds{typical: s.typicalLatency(), now: now}
}

// slowness is how many times as long as typical a target takes, at least a half.
func (s speeds) slowness(target *state) float64 {
	factor := 1.0
	if target.latency > 0 && s.typical > 0 {
		factor = min(max(target.latency/s.typical, 0.5), mostSlowness)
	}
	if target.cold.yet {
		factor *= coldFactor
	}
	return factor * target.pace.at(s.now)
}

// heldUp says whether other work on the target's host holds it up.
func (s speeds) heldUp(target *state) bool {
	return target.pace.at(s.now) > heldUpPace
}
