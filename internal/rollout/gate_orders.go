package rollout

import "time"

// Ordered handles an order and reports whether it is new.
func (g *Gate) Ordered(order Order, now time.Time) bool {
	return g.ordered(order, nil, now)
}

// ordered is Ordered with the number of the service's targets per version; nil if that is
// unknown.
func (g *Gate) ordered(order Order, listed map[string]int, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.service(order.Service)
	if order.Revision <= s.lastOrder {
		return false
	}
	s.noteInitialVersions(order, listed, now)
	s.lastOrder = order.Revision
	s.order = order
	s.withdrawn = false
	s.reconcile(now)
	g.notifyChange()
	return true
}

// Withdrawn handles the removal of a service's order from the store.
func (g *Gate) Withdrawn(service string, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.services[service]
	if s == nil {
		return
	}
	s.order = Order{}
	s.withdrawn = true
	s.reconcile(now)
	g.notifyChange()
}

// Recorded handles a record with its revision in the store and reports whether it is new.
func (g *Gate) Recorded(record Record, revision int64, now time.Time) bool {
	_, taken := g.recorded(record, revision, now)
	return taken
}

// recorded is Recorded, and also returns the previous record.
func (g *Gate) recorded(record Record, revision int64, now time.Time) (Record, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.service(record.Order.Service)
	before := s.record
	if revision <= s.revision {
		return before, false
	}
	s.record, s.revision, s.recordedAt = record, revision, now
	s.reconcile(now)
	g.notifyChange()
	return before, true
}

// applyGrant applies a grant, or a notice if sentAt is the zero time. It returns the order, and
// reports whether its version was halted by that.
func (g *Gate) applyGrant(grant Grant, sentAt, now time.Time) (Order, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.byHash[grant.Service]
	if s == nil || s.trial == nil || s.trial.order.Revision != grant.Order {
		return Order{}, false
	}
	return s.trial.order, s.trial.apply(grant, sentAt, now)
}
