package balance

import "time"

// A target speaks in its entry and in its answers. Its entry can't be written while the
// store is away, may be days old in a checkpoint, and goes on saying what it said; what a
// gateway was told in an answer it knows for certain. So what an answer says binds the gateway
// that got it, beside the entry and whatever that says later, and is undone by another
// life of the target only. The others are not told: each hears it with the first answer that
// it gets, and what one gateway has misread harms its own callers only.

// said is what a life of a target has said of itself to this gateway.
type said struct {
	leaving bool
	rest    rest
	// unreadable says that it has said something that could not be read.
	unreadable bool
}

// any says whether anything is to be remembered of it.
func (s said) any(now time.Time) bool { return s.leaving || s.rest.wanted(now) }

// leaving says whether the target gets nothing new since it ends, by its entry or by its
// answers.
func (s *state) leaving() bool { return s.Leaving || s.said.leaving }

// News is what of a notice was not known yet.
type News struct {
	Leaving bool
	// Resting says that the target asked for rest and had not, or for so much more that
	// it is worth telling.
	Resting    bool
	Unreadable bool
}

// Heed takes what a life of a target says of itself in an answer to this gateway.
func (b *Balancer) Heed(life string, notice Notice, now time.Time) News {
	b.mu.Lock()
	defer b.mu.Unlock()
	target, ok := b.targets[life]
	if !ok {
		return News{}
	}
	news := News{
		Leaving:    notice.Leaving && !target.said.leaving,
		Unreadable: notice.Unreadable != "" && !target.said.unreadable,
	}
	target.said.unreadable = target.said.unreadable || news.Unreadable
	if news.Leaving {
		target.said.leaving, target.aside = true, true
	}
	if notice.Rest > 0 {
		news.Resting = target.said.rest.extend(now.Add(notice.Rest), b.tryOffset(target), now)
		target.aside = true
	}
	return news
}

// Closed says whether nothing may be sent to a life of a target any more, though it was
// chosen a moment ago: the way to the first byte may take the time of a new connection.
func (b *Balancer) Closed(life string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	target, ok := b.targets[life]
	return ok && (target.leaving() || target.said.rest.wanted(now) || b.evacuated[target.DataCenter])
}

// parted is what a life has said of which nothing else is known any more.
type parted struct {
	said said
	// at is when the rest was forgotten.
	at time.Time
}

// rememberFor is how long what a life has said is remembered after its entry went: entries
// lapse while the store is away, and come back as they were. It costs some hundred bytes a
// life.
const rememberFor = 24 * time.Hour

// remember keeps what a life that is forgotten has said; b.mu is held.
func (b *Balancer) remember(target *state, now time.Time) {
	for life, known := range b.parted {
		if now.Sub(known.at) > rememberFor {
			delete(b.parted, life)
		}
	}
	if target.said.any(now) {
		b.parted[target.life] = parted{said: target.said, at: now}
	}
}

// recall gives a life that is known anew what it has said before; b.mu is held.
func (b *Balancer) recall(target *state) {
	if known, ok := b.parted[target.life]; ok {
		target.said = known.said
		delete(b.parted, target.life)
	}
}
