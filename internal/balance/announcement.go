package balance

import "time"

// A target makes announcements in its entry and in its answers. Its entry cannot be written
// while the store is unavailable, may be days old in a checkpoint, and keeps its content until
// it is rewritten. An announcement in an answer is certain to the gateway that got it. So it
// applies at that gateway in addition to the entry, whatever the entry states later, until
// another incarnation of the target begins. Other gateways are not informed: each gets the
// announcement with its own next answer, and a misread announcement affects only the callers
// of one gateway.

// announcement is what an incarnation of a target has announced to this gateway.
type announcement struct {
	leaving bool
	backoff backoff
	// unreadable reports whether it has sent an announcement that could not be parsed.
	unreadable bool
}

// isRelevant reports whether there is anything worth remembering.
func (a announcement) isRelevant(now time.Time) bool { return a.leaving || a.backoff.active(now) }

// leaving reports whether the target gets no new requests because it is shutting down,
// according to its entry or its answers.
func (s *state) leaving() bool { return s.Leaving || s.announced.leaving }

// NoticeChange is the part of a notice that was not known yet.
type NoticeChange struct {
	Leaving bool
	// BackingOff reports whether the target requested a new backoff, or one so much longer that
	// it is worth reporting.
	BackingOff bool
	Unreadable bool
}

// ObserveNotice records the announcements in an answer of an incarnation to this gateway.
func (b *Balancer) ObserveNotice(incarnation string, notice Notice, now time.Time) NoticeChange {
	b.mu.Lock()
	defer b.mu.Unlock()
	target, ok := b.targets[incarnation]
	if !ok {
		return NoticeChange{}
	}
	change := NoticeChange{
		Leaving:    notice.Leaving && !target.announced.leaving,
		Unreadable: notice.Unreadable != "" && !target.announced.unreadable,
	}
	target.announced.unreadable = target.announced.unreadable || change.Unreadable
	if change.Leaving {
		target.announced.leaving, target.needsCheck = true, true
	}
	if notice.RetryAfter > 0 {
		change.BackingOff = target.announced.backoff.extend(now.Add(notice.RetryAfter), b.probeOffset(target), now)
		target.needsCheck = true
	}
	return change
}

// Closed reports whether an incarnation of a target that was already chosen must get no
// request any more. Sending the first byte may take as long as opening a new connection.
func (b *Balancer) Closed(incarnation string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	target, ok := b.targets[incarnation]
	return ok && (target.leaving() || target.announced.backoff.active(now) || b.evacuated[target.DataCenter])
}

// pastAnnouncement is the announcement of an incarnation that is otherwise forgotten.
type pastAnnouncement struct {
	announcement announcement
	// forgottenAt is when the incarnation was forgotten.
	forgottenAt time.Time
}

// rememberFor is how long the announcements of an incarnation are kept after its entry
// disappeared: entries expire while the store is unavailable, and come back unchanged. It
// costs some hundred bytes per incarnation.
const rememberFor = 24 * time.Hour

// saveAnnouncement keeps the announcement of an incarnation that is forgotten. The caller must
// hold b.mu.
func (b *Balancer) saveAnnouncement(target *state, now time.Time) {
	for incarnation, known := range b.pastAnnouncements {
		if now.Sub(known.forgottenAt) > rememberFor {
			delete(b.pastAnnouncements, incarnation)
		}
	}
	if target.announced.isRelevant(now) {
		b.pastAnnouncements[target.incarnation] = pastAnnouncement{announcement: target.announced, forgottenAt: now}
	}
}

// restoreAnnouncement restores the saved announcement of an incarnation that is added again.
// The caller must hold b.mu.
func (b *Balancer) restoreAnnouncement(target *state) {
	if known, ok := b.pastAnnouncements[target.incarnation]; ok {
		target.announced = known.announcement
		delete(b.pastAnnouncements, target.incarnation)
	}
}
