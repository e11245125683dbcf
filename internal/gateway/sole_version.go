package gateway

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/capersaddle/capersaddle/internal/clock"
	"github.com/capersaddle/capersaddle/internal/origin"
)

// SoleOrigin returns the only version of a service if no other one, and no other service, can have begun
// a stream that may still be resumed there, until the time of the proof. A stream that began later may be of
// another version: whoever binds one needs a proof that is newer than the stream.
func (g *Gateway) SoleOrigin(service string) (origin.Version, bool) {
	if g.moves.within("", minStreamLife, clock.Now()) {
		return origin.Uncertain, false
	}
	version, ok := g.soleVersion(service, 0)
	return origin.VersionOf(service, version), ok
}

// MayMixVersions reports whether several versions of some service may have begun streams that may still be
// resumed.
func (g *Gateway) MayMixVersions() bool {
	table := g.table.Load()
	if table == nil {
		return false
	}
	return slices.ContainsFunc(table.StreamServices(), func(service string) bool {
		_, sole := g.SoleOrigin(service)
		return !sole
	})
}

// SoleOriginAfter returns for how long this gateway must have known the targets of a service before
// SoleOrigin may return a version.
func (g *Gateway) SoleOriginAfter(service string) time.Duration {
	table := g.table.Load()
	if table == nil {
		return 0
	}
	timeout, _ := table.StreamTimeout(service)
	return soleTime(0, timeout)
}

// soleVersion is like SoleOrigin, for a caller with the given patience.
func (g *Gateway) soleVersion(service string, patience time.Duration) (string, bool) {
	table, now := g.table.Load(), clock.Check()
	if table == nil {
		return "", false
	}
	timeout, ok := table.StreamTimeout(service)
	span := soleTime(patience, timeout)
	// A version that came and went while this gateway was cut off, or stood still, is unknown here.
	if !ok || g.Proof.UnbrokenFor(now) < span {
		return "", false
	}
	return g.Balancer.SoleVersion(service, span, now)
}

// soleVersion returns the only version of the call's service, if no other one can have begun a stream that its
// caller resumes, until the time of the proof.
func (c *call) soleVersion() (string, bool) {
	version, ok := c.gateway.soleVersion(c.service, c.request.Patience)
	return version, ok && c.drawsItsService()
}

// mayBeSole reports whether soleVersion returns a version.
func (c *call) mayBeSole() bool {
	_, ok := c.soleVersion()
	return ok
}

// provenSoleVersion is soleVersion by a proof that is newer than the stream.
func (c *call) provenSoleVersion(ctx context.Context) (string, bool) {
	if !c.gateway.proveNow(ctx) {
		return "", false
	}
	// The new proof may have come with another version, or with a configuration that moved the route.
	return c.soleVersion()
}

// proveNow obtains a proof that the content of the store is the newest, for a time that has not passed yet.
// The stream of a request that has been read began before.
func (g *Gateway) proveNow(ctx context.Context) bool {
	now := clock.Check()
	if g.Proof.Covers(now) {
		return true
	}
	return g.Prove != nil && g.Prove(ctx, now)
}

// soleTime returns for how long a version must have been the only one to have begun a stream.
func soleTime(patience, timeout time.Duration) time.Duration {
	return max(minSoleTime, patience, timeout)
}

// streamMoves holds when configurations last moved the streams of routes to other services. It is safe
// for concurrent use.
type streamMoves struct {
	mu sync.Mutex
	at map[string]time.Time
	// last is the latest of these times; zero if there is none.
	last time.Time
}

// record records that the streams of some routes have been moved.
func (m *streamMoves) record(routes []string, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.at == nil {
		m.at = make(map[string]time.Time)
	}
	for _, route := range routes {
		m.at[route], m.last = now, now
	}
	maps.DeleteFunc(m.at, func(_ string, at time.Time) bool { return now.Sub(at) > unboundedTime })
}

// within reports whether the streams of a route, or of any if it is empty, were moved within a time
// until now.
func (m *streamMoves) within(route string, span time.Duration, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	at := m.last
	if route != "" {
		at = m.at[route]
	}
	return !at.IsZero() && now.Sub(at) < span
}

// drawsItsService reports whether the service drawn for the call is the one that began its stream. A
// draw by the prompt or by the stream's name gives the same service again while the traffic split
// stays the same.
func (c *call) drawsItsService() bool {
	if c.gateway.moves.within(c.route.Name, soleTime(c.request.Patience, c.route.Timeout), clock.Now()) {
		return false
	}
	return len(c.route.Split) == 1 || len(c.parts) > 0 || c.request.Resumes != ""
}
