package peer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/policy"
	"github.com/capersaddle/capersaddle/internal/wire"
)

// ringFleet are gateways that know each other, with their watches of losses, and the datagrams
// between them.
type ringFleet struct {
	watches []*lossWatch
	down    []bool
	// frozen are gateways that do nothing until then.
	frozen []time.Time
	// dropped is the share of datagrams that are lost.
	dropped float64
	now     time.Time
	draw    *rand.Rand
	// inbox are the datagrams that arrive next.
	inbox [][]ringMail
	// next is whose beat a gateway gets next, and live whom it took to be there at the last
	// look.
	next []int
	live [][]*peer
	// lost is when each gateway learnt of the loss of each.
	lost  []map[string]time.Time
	bytes int
}

// ringMail is a pulse, or words.
type ringMail struct {
	from  int
	words []word
	// wants asks for words.
	wants bool
}

const (
	// ringStep is a round; a datagram takes that long.
	ringStep = tick
	// lookEvery is how many rounds pass between two looks at who is there.
	lookEvery = 5
	// pulseBytes and wordBytes are the sizes of datagrams.
	pulseBytes, wordBytes = 18, 18
)

func newRingFleet(count int) *ringFleet {
	f := &ringFleet{now: start, draw: rand.New(rand.NewPCG(3, 4)), inbox: make([][]ringMail, count), down: make([]bool, count), frozen: make([]time.Time, count)}
	for self := range count {
		known := newTable(fmt.Sprint(self), nil, "", 7000)
		for other := range count {
			if other != self {
				beat := beatOf(fmt.Sprint(other), 1)
				beat.Life, beat.Pulses = uint64(other+2), true
				known.take(beat, start)
			}
		}
		f.watches = append(f.watches, newLossWatch(known, policy.HashName(known.self)))
		f.lost = append(f.lost, make(map[string]time.Time))
		f.next = append(f.next, f.draw.IntN(count))
	}
	f.live = make([][]*peer, count)
	return f
}

func (f *ringFleet) send(to *peer, mail ringMail, bytes int) {
	f.bytes += bytes
	if f.draw.Float64() < f.dropped {
		return
	}
	var place int
	_, _ = fmt.Sscan(to.id, &place)
	f.inbox[place] = append(f.inbox[place], mail)
}

func (f *ringFleet) note(self int, lost *peer) {
	if lost != nil {
		f.lost[self][lost.id] = f.now
	}
}

// run passes time; each gateway also gets a beat of each other one every so often.
func (f *ringFleet) run(long time.Duration) {
	for round := 0; round < int(long/ringStep); round++ {
		f.now = f.now.Add(ringStep)
		arrived := f.inbox
		f.inbox = make([][]ringMail, len(f.watches))
		for self, w := range f.watches {
			switch {
			case f.down[self]:
				continue
			case f.now.Before(f.frozen[self]):
				f.inbox[self] = append(arrived[self], f.inbox[self]...) // read when it wakes
				continue
			}
			f.takeMail(self, arrived[self])
			f.beats(self)
			if round%lookEvery == 0 {
				f.live[self] = w.table.live(f.now)
			}
			live := f.live[self]
			for _, lost := range w.turn(live, f.now) {
				f.note(self, lost)
			}
			if due := w.pulses(live, f.now); len(due) > 0 {
				missed := w.missed()
				for _, to := range due {
					f.send(to, ringMail{from: self, wants: missed}, pulseBytes)
				}
			}
			for words := w.takeNews(); len(words) > 0; words = w.takeNews() {
				for _, to := range heardLately(live, wordFanOut, f.draw.IntN) {
					f.send(to, ringMail{from: self, words: words}, pulseBytes+wordBytes*len(words))
				}
			}
		}
	}
}

func (f *ringFleet) takeMail(self int, mail []ringMail) {
	w := f.watches[self]
	for _, one := range mail {
		f.hear(self, one.from)
		if words := w.recent(); one.wants && len(words) > 0 {
			f.send(w.table.peers[fmt.Sprint(one.from)], ringMail{from: self, words: words}, pulseBytes+wordBytes*len(words))
		}
		for _, said := range one.words {
			f.note(self, w.hear(said, f.now))
		}
	}
}

// hear has a gateway take a beat of another; who was taken as lost is known again.
func (f *ringFleet) hear(self, from int) {
	known := f.watches[self].table
	of := known.peers[fmt.Sprint(from)]
	known.take(&wire.GatewayBeat{Id: of.id, Life: of.life, Address: of.address, Sequence: of.sequence + 1, StoreReachable: true}, f.now)
	delete(f.lost[self], of.id)
}

// beats are those of the others that arrive in a round.
func (f *ringFleet) beats(self int) {
	due := float64(len(f.watches)) * ringStep.Seconds() / f.watches[self].table.beatInterval().Seconds()
	for range int(math.Ceil(due)) {
		from := f.next[self]
		f.next[self] = (from + 1) % len(f.watches)
		if from != self && !f.down[from] && !f.now.Before(f.frozen[from]) {
			f.hear(self, from)
		}
	}
}

// knowing is which share of the gateways that are up take those that are down as lost, over
// all pairs.
func (f *ringFleet) knowing() float64 {
	known, pairs := 0, 0
	for self := range f.watches {
		for other := range f.watches {
			if f.down[self] || !f.down[other] {
				continue
			}
			pairs++
			if _, ok := f.lost[self][fmt.Sprint(other)]; ok {
				known++
			}
		}
	}
	return float64(known) / float64(max(pairs, 1))
}

// mistaken is how many gateways that are up are taken as lost, over all pairs.
func (f *ringFleet) mistaken() int {
	count := 0
	for self := range f.watches {
		for other := range f.watches {
			if _, ok := f.lost[self][fmt.Sprint(other)]; ok && !f.down[other] && !f.down[self] {
				count++
			}
		}
	}
	return count
}

// TestALossIsKnownToAll: three beats of each gateway to each other take 18 s among 385, and
// as long it took until the loss of one was known to the others, who went on asking it for
// proofs, parts and decisions. Pattern: hosts of a large fleet die, alone or many at once.
func TestALossIsKnownToAll(t *testing.T) {
	cases := map[string]struct {
		count  int
		strike func(f *ringFleet)
		within time.Duration
		share  float64
	}{
		"one of 100":              {100, func(f *ringFleet) { f.down[7] = true }, 2 * time.Second, 0.99},
		"one of 385":              {385, func(f *ringFleet) { f.down[7] = true }, 2 * time.Second, 0.99},
		"one of 770":              {770, func(f *ringFleet) { f.down[7] = true }, 2 * time.Second, 0.99},
		"neighbours on the ring":  {200, func(f *ringFleet) { f.downNeighbours(6) }, 6 * time.Second, 0.99},
		"half of them":            {200, func(f *ringFleet) { f.downShare(0.55) }, 8 * time.Second, 0.95},
		"one, packets are lost":   {200, func(f *ringFleet) { f.dropped, f.down[7] = 0.05, true }, 4 * time.Second, 0.98},
		"one, while others sleep": {200, func(f *ringFleet) { f.down[7] = true; f.freezeShare(0.2, 3*time.Second) }, 7 * time.Second, 0.98},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newRingFleet(tc.count)
			f.run(2 * time.Second)
			tc.strike(f)
			f.run(tc.within)
			if share := f.knowing(); share < tc.share {
				t.Errorf("%.3f of the pairs know after %v, want %.2f", share, tc.within, tc.share)
			}
		})
	}
}

func (f *ringFleet) downNeighbours(count int) {
	for _, known := range f.watches[0].nearest(f.watches[0].table.live(f.now), func(known *peer) uint64 { return known.hash - f.watches[0].own }) {
		var place int
		_, _ = fmt.Sscan(known.id, &place)
		f.down[place] = true
		if count--; count == 0 {
			return
		}
	}
	f.down[0] = true
}

func (f *ringFleet) downShare(share float64) {
	for i := range f.down {
		f.down[i] = f.draw.Float64() < share
	}
}

func (f *ringFleet) freezeShare(share float64, long time.Duration) {
	for i := range f.frozen {
		if f.draw.Float64() < share {
			f.frozen[i] = f.now.Add(long)
		}
	}
}

// TestNobodyIsLostByMistake: lost packets and hosts that stall cost no gateway its standing for
// longer than until its next pulse or beat; a process that stalled judges nobody for what it
// missed.
func TestNobodyIsLostByMistake(t *testing.T) {
	cases := map[string]struct {
		play func(f *ringFleet)
		most int
	}{
		"nothing happens":       {func(f *ringFleet) { f.run(10 * time.Second) }, 0},
		"packets are lost":      {func(f *ringFleet) { f.dropped = 0.05; f.run(20 * time.Second) }, 0},
		"short stalls":          {func(f *ringFleet) { f.freezeShare(0.3, time.Second); f.run(5 * time.Second) }, 0},
		"a fifth wakes after 3": {func(f *ringFleet) { f.freezeShare(0.2, 3*time.Second); f.run(12 * time.Second) }, 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newRingFleet(150)
			f.run(2 * time.Second)
			tc.play(f)
			is.True(f.mistaken() <= tc.most)
		})
	}
}

// TestALossCostsAlikeInAnyFleet: what a gateway sends for the watch alone does not grow with
// the fleet, and the loss of one costs each a few hundred bytes.
func TestALossCostsAlikeInAnyFleet(t *testing.T) {
	is := is.New(t)
	const share = 0.05 * 7000 // of the bytes a second for all that gateways tell each other
	for _, count := range []int{100, 385} {
		f := newRingFleet(count)
		f.run(2 * time.Second)
		f.bytes = 0
		f.run(5 * time.Second)
		is.True(float64(f.bytes)/float64(count)/5 < share) // bytes a second for each
		f.bytes, f.down[7] = 0, true
		f.run(5 * time.Second)
		is.True(float64(f.bytes)/float64(count) < 5*share+1000)
	}
}

// TestAFewGatewaysNeedNoRing: their beats are as quick.
func TestAFewGatewaysNeedNoRing(t *testing.T) {
	is := is.New(t)
	f := newRingFleet(20)
	f.run(3 * time.Second)
	is.Equal(f.bytes, 0)
}
