package peer

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/capersaddle/capersaddle/internal/wire"
)

// Beats to all come the more rarely the more gateways there are, and after a loss it would
// take three of them to notice. So each gateway sends a short pulse to a few watchers, the next
// ones on a ring that all share, at the same pace in a fleet of any size. A watcher that misses
// several says so to a few gateways, which pass it on; the loss is believed when two watchers
// say so. Whoever hears the gateway again takes it back. When watchers are lost too, the next
// ones on the ring take their places.

const (
	// watchersEach is how many watch one gateway.
	watchersEach = 4
	// pulseEvery is the time between two pulses, and pulsesMissed how many a watcher misses
	// before it says so.
	pulseEvery   = 3 * tick
	pulsesMissed = 5
	// wordsNeeded is how many watchers must say so.
	wordsNeeded = 2
	// wordLife is how long a watcher's word is remembered, and repeatEvery the time between
	// two sendings of its own: where many gateways are lost at once, most of those that a word
	// is sent to are among them.
	wordLife    = 10 * time.Second
	repeatEvery = time.Second
	// longestRound is the longest time between two rounds after which a process may judge
	// others: one that was held up for longer has missed what they sent.
	longestRound = 500 * time.Millisecond
	// wordFanOut is to how many gateways a word is passed on: half of them drawn at random,
	// as many from which a beat came lately.
	wordFanOut = 6
	// mostWords bounds the words in one datagram, of 16 bytes each.
	mostWords = 32
)

// word says that a watcher has missed the pulses of a gateway's life.
type word struct {
	life uint64
	// watcher is the hash of its id.
	watcher uint64
}

// lossWatch finds out which gateways are lost. One goroutine at a time uses it.
type lossWatch struct {
	table *table
	// own is the hash of this gateway's id.
	own uint64
	// since is from when on this process has been in time, and round its last round.
	since, round time.Time
	// pulsedAt and lookedAt are when pulses were sent, and the ring was looked at.
	pulsedAt, lookedAt time.Time
	// watched are the gateways that this one watches, with since when.
	watched map[*peer]time.Time
	// words are those heard, with when; news are those to be passed on.
	words map[word]time.Time
	news  []word
	// repeatedAt is when this gateway's own words were last sent again.
	repeatedAt time.Time
	// heldUp says that this process was held up, and has missed words.
	heldUp bool
}

func newLossWatch(t *table, own uint64) *lossWatch {
	return &lossWatch{table: t, own: own, watched: make(map[*peer]time.Time), words: make(map[word]time.Time)}
}

// needed says whether beats alone would show a loss too late.
func (w *lossWatch) needed() bool {
	return w.table.lostAfter() > lostAfter
}

// turn passes a round: it notes which of the watched gateways have been silent for too long.
// It returns the peers that are lost by now.
func (w *lossWatch) turn(live []*peer, now time.Time) []*peer {
	if w.round.IsZero() || now.Sub(w.round) > longestRound {
		w.since = now
		w.heldUp = !w.round.IsZero()
	}
	w.round = now
	w.remember(now)
	if !w.needed() {
		clear(w.watched)
		return nil
	}
	if now.Sub(w.lookedAt) >= pulseEvery {
		w.lookedAt = now
		w.look(w.before(live), now)
	}
	var lost []*peer
	for known, from := range w.watched {
		silent := now.Sub(later(known.lastBeat, later(from, w.since)))
		if silent > pulsesMissed*pulseEvery {
			if gone := w.hear(word{life: known.life, watcher: w.own}, now); gone != nil {
				lost = append(lost, gone)
			}
		}
	}
	slices.SortFunc(lost, func(a, b *peer) int { return cmp.Compare(a.id, b.id) })
	return lost
}

// remember forgets old words, and repeats this gateway's own.
func (w *lossWatch) remember(now time.Time) {
	repeat := now.Sub(w.repeatedAt) >= repeatEvery
	if repeat {
		w.repeatedAt = now
	}
	for said, at := range w.words {
		switch {
		case now.Sub(at) > wordLife:
			delete(w.words, said)
		case repeat && said.watcher == w.own && now.Sub(at) >= repeatEvery:
			w.news = append(w.news, said)
		}
	}
}

// look begins to watch those that are new before this gateway on the ring, and ends to watch
// the others.
func (w *lossWatch) look(before []*peer, now time.Time) {
	for known := range w.watched {
		if !slices.Contains(before, known) {
			delete(w.watched, known)
		}
	}
	for _, known := range before {
		if _, ok := w.watched[known]; !ok {
			w.watched[known] = now
		}
	}
}

// hear takes a watcher's word; it returns the peer that is lost by it. One whose beat came
// lately is not: the word was older, or wrong.
func (w *lossWatch) hear(said word, now time.Time) *peer {
	if _, ok := w.words[said]; ok {
		return nil
	}
	known := w.table.lives[said.life]
	if known == nil {
		return nil
	}
	w.words[said] = now
	w.news = append(w.news, said)
	if known.lost {
		return nil
	}
	words := 0
	for other := range w.words {
		if other.life == said.life {
			words++
		}
	}
	if words < wordsNeeded || now.Sub(known.lastBeat) < pulsesMissed*pulseEvery/2 {
		return nil
	}
	known.lost = true
	return known
}

// missed says, once, whether this process was held up and has missed words.
func (w *lossWatch) missed() bool {
	missed := w.heldUp
	w.heldUp = false
	return missed
}

// recent are words for one that has missed some, at most as many as one datagram holds.
func (w *lossWatch) recent() []word {
	var words []word
	for said := range w.words {
		if len(words) < mostWords {
			words = append(words, said)
		}
	}
	return words
}

// pulses are the gateways to which a pulse is due.
func (w *lossWatch) pulses(live []*peer, now time.Time) []*peer {
	if !w.needed() || now.Sub(w.pulsedAt) < pulseEvery {
		return nil
	}
	w.pulsedAt = now
	return w.after(live)
}

// takeNews are the words to be passed on, at most as many as one datagram holds.
func (w *lossWatch) takeNews() []word {
	news := w.news[:min(len(w.news), mostWords)]
	w.news = w.news[len(news):]
	return news
}

// after are the next gateways on the ring, which watch this one.
func (w *lossWatch) after(live []*peer) []*peer {
	return w.nearest(live, func(known *peer) uint64 { return known.hash - w.own })
}

// before are those that this one watches.
func (w *lossWatch) before(live []*peer) []*peer {
	return w.nearest(live, func(known *peer) uint64 { return w.own - known.hash })
}

// nearest are the peers with the smallest distances.
func (w *lossWatch) nearest(live []*peer, distance func(known *peer) uint64) []*peer {
	near := make([]*peer, 0, watchersEach+1)
	for _, known := range live {
		if !known.pulses {
			continue
		}
		at, _ := slices.BinarySearchFunc(near, known, func(a, b *peer) int { return cmp.Compare(distance(a), distance(b)) })
		if at == watchersEach {
			continue
		}
		near = slices.Insert(near, at, known)
		near = near[:min(len(near), watchersEach)]
	}
	return near
}

// drawnEach is how many are drawn for each that is chosen by heardLately.
const drawnEach = 3

// heardLately are a few peers, at most so many: half of them drawn at random, and of some more
// those from which a beat came last. Where many are lost at once these are the likeliest to be
// there; the others may be held up for a moment.
func heardLately(live []*peer, count int, draw func(n int) int) []*peer {
	drawn := make([]*peer, 0, drawnEach*count)
	for range drawnEach * count {
		if len(live) == 0 {
			return nil
		}
		if one := live[draw(len(live))]; !slices.Contains(drawn, one) {
			drawn = append(drawn, one)
		}
	}
	slices.SortStableFunc(drawn[min(count/2, len(drawn)):], func(a, b *peer) int { return b.lastBeat.Compare(a.lastBeat) })
	return drawn[:min(count, len(drawn))]
}

// later is the later of two moments.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// noteLost notes that a peer is lost; s.mu is held.
func (s *Service) noteLost(lost *peer, now time.Time) {
	s.seen = nil
	s.options.Watcher.PeerLost(lost.id, lost.address, now.Sub(lost.lastBeat))
	s.crashes.reshuffle = true
}

// watchOthers notes which of the gateways that this one watches are lost, sends pulses to
// those that watch it, and passes words on; s.mu is held.
func (s *Service) watchOthers(now time.Time) {
	for _, lost := range s.losses.turn(s.look(now).live, now) {
		s.noteLost(lost, now)
	}
	if due := s.losses.pulses(s.look(now).live, now); len(due) > 0 {
		missed := s.losses.missed()
		for _, to := range due {
			pulse := s.bare()
			pulse.WantsLost = missed
			s.send(to.address, pulse, true)
		}
	}
	for words := s.losses.takeNews(); len(words) > 0; words = s.losses.takeNews() {
		s.spreadWords(words, now)
	}
}

// spreadWords passes words on to a few live peers, drawn at random.
func (s *Service) spreadWords(words []word, now time.Time) {
	live := s.look(now).live
	for _, to := range heardLately(live, wordFanOut, rand.IntN) {
		s.sendWords(to, words)
	}
}

func (s *Service) sendWords(to *peer, words []word) {
	beat := s.bare()
	for _, said := range words {
		beat.LostLives = append(beat.LostLives, said.life)
		beat.LostWatchers = append(beat.LostWatchers, said.watcher)
	}
	s.send(to.address, beat, true)
}

// takeWords takes the words of watchers; a list that is longer than the other ends with the
// shorter. One about this process itself is answered by pulses, and a question by words. s.mu
// is held.
func (s *Service) takeWords(beat *wire.GatewayBeat, from *peer, now time.Time) {
	if words := s.losses.recent(); beat.GetWantsLost() && len(words) > 0 {
		s.sendWords(from, words)
	}
	watchers := beat.GetLostWatchers()
	for i, life := range beat.GetLostLives() {
		if i >= len(watchers) {
			return
		}
		if life == s.life {
			s.losses.pulsedAt = time.Time{}
			continue
		}
		if lost := s.losses.hear(word{life: life, watcher: watchers[i]}, now); lost != nil {
			s.noteLost(lost, now)
		}
	}
}
