package gateway

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/capersaddle/capersaddle/internal/clock"
	"github.com/capersaddle/capersaddle/internal/fault"
	"github.com/capersaddle/capersaddle/internal/origin"
	"github.com/capersaddle/capersaddle/internal/routing"
)

// What two versions of the targets' software write doesn't fit together, and targets don't check it.
// So a stream that its caller resumes continues at the version that began it, or the request is
// refused. Which version that was is known from a record of this or another gateway, or because the
// service has had only one version for as long as a stream may last.
// Source: docs/design/stream-versions.md.

const (
	// minStreamLife is the least time for which a stream may be resumed after it began.
	minStreamLife = 30 * time.Second
	// minSoleTime is the least time for which a version must have been the only one, to be the one that
	// began a stream. It is the time from the end of the targets of another version until callers no
	// longer resume what these broke off.
	minSoleTime = 10 * time.Second
)

// OriginPeers exchanges records of streams with the other gateways.
type OriginPeers interface {
	// SpreadOrigin sends the record of a service's stream to the gateways that keep it, as soon as
	// another version may serve.
	SpreadOrigin(record origin.Record, service string)
	// SpreadOriginNow sends a record before it returns.
	SpreadOriginNow(record origin.Record)
	// FindOrigin asks other gateways which version began a stream. Those without a record answer with
	// the only version of the service, if it is given.
	FindOrigin(ctx context.Context, stream origin.Stream, service string) origin.Finding
}

// Origins records which versions began the streams of this gateway. It is safe for concurrent use.
type Origins struct {
	Table *origin.Table
	// Running holds the records of this and other gateways, while their streams may still be running, for
	// gateways that begin after all were lost; nil if they are not needed.
	Running *origin.Table
	// Peers is nil if there are no other gateways.
	Peers OriginPeers

	mu sync.Mutex
	// recent are the streams that began lately, in order.
	recent []begunStream
}

// begunStream is a stream that a target has begun.
type begunStream struct {
	record      origin.Record
	service     string
	incarnation string
	at          time.Time
}

// recentFor is how long after its start a stream may turn out to be of another version: until the
// entry of a target that restarted is known.
const recentFor = 5 * time.Second

// begun records a stream whose first event is about to be passed on.
func (o *Origins) begun(stream begunStream) {
	stream.record = o.Table.Put(stream.record, stream.at)
	o.noteRunning(stream.record, stream.at)
	if o.Peers != nil {
		o.Peers.SpreadOrigin(stream.record, stream.service)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	old := slices.IndexFunc(o.recent, func(known begunStream) bool { return stream.at.Sub(known.at) < recentFor })
	if old < 0 {
		old = len(o.recent)
	}
	o.recent = append(slices.Delete(o.recent, 0, old), stream)
}

// noteRunning keeps a record of a stream that is running.
func (o *Origins) noteRunning(record origin.Record, now time.Time) {
	if o.Running != nil {
		o.Running.Put(record.WhileRunning(now), now)
	}
}

// Restore takes over the records of gateways that were lost. They stay in the store for as long as their
// streams may have run.
func (o *Origins) Restore(records []origin.Record, now time.Time) {
	for _, record := range records {
		record.Expires = now.Add(minStreamLife)
		o.Table.Put(record, now)
	}
}

// retract marks the streams uncertain that began at an incarnation of a target after a given time.
func (o *Origins) retract(incarnation string, since, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, stream := range o.recent {
		if stream.incarnation != incarnation || stream.at.Before(since) {
			continue
		}
		uncertain := stream.record
		uncertain.Version = origin.Uncertain
		uncertain = o.Table.Put(uncertain, now)
		o.noteRunning(uncertain, now)
		if o.Peers != nil {
			o.Peers.SpreadOrigin(uncertain, stream.service)
		}
	}
}

// withdrawOrigin makes the call's stream uncertain. Its caller may resume it at once after this
// answer is broken off, so that the other gateways have to know before.
func (c *call) withdrawOrigin() {
	c.versionUncertain = true
	origins := c.gateway.Origins
	if origins == nil {
		return
	}
	now := clock.Now()
	record := origins.Table.Put(origin.Record{Stream: c.stream(), Version: origin.Uncertain, Expires: now.Add(c.streamLife())}, now)
	origins.noteRunning(record, now)
	if origins.Peers != nil {
		origins.Peers.SpreadOriginNow(record)
	}
}

// OriginSource is how the version that began a stream became known.
type OriginSource string

// The sources. It is empty for requests that resume no stream.
const (
	// OriginRecorded: this gateway has a record of the stream.
	OriginRecorded OriginSource = "recorded"
	// OriginSole: the service has had only one version for as long as a stream may last.
	OriginSole OriginSource = "sole"
	// OriginPeer: another gateway has a record of the stream.
	OriginPeer OriginSource = "peer"
	// OriginPeerSole: another gateway told that the service has had only one version for as long as a
	// stream may last.
	OriginPeerSole OriginSource = "peer_sole"
	// OriginUnknown: no gateway that could be asked knows it, or it is uncertain.
	OriginUnknown OriginSource = "unknown"
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

// provenSoleVersion returns the only version of the call's service, if no other one can have begun a stream
// that its caller resumes.
func (c *call) provenSoleVersion(ctx context.Context) (string, bool) {
	if _, ok := c.gateway.soleVersion(c.service, c.request.Patience); !ok || !c.drawsItsService() {
		return "", false
	}
	if !c.gateway.proveNow(ctx) {
		return "", false
	}
	// The new proof may have come with another version, or with a configuration that moved the route.
	version, ok := c.gateway.soleVersion(c.service, c.request.Patience)
	return version, ok && c.drawsItsService()
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

// streamLife returns for how long a stream may be resumed after it began: its caller makes several
// attempts, which the caller's patience and the route's time limit bound.
func streamLife(patience, timeout time.Duration) time.Duration {
	return max(minStreamLife, 2*patience, 2*timeout)
}

// streamLife returns for how long the call's stream may be resumed.
func (c *call) streamLife() time.Duration {
	return min(streamLife(c.request.Patience, c.route.Timeout), unboundedTime)
}

// stream returns the identifier of the call's stream.
func (c *call) stream() origin.Stream {
	workspace := ""
	if c.workspace != nil {
		workspace = c.workspace.Name
	}
	if c.request.Resumes != "" {
		return origin.StreamOf(workspace, c.request.Resumes)
	}
	return origin.StreamOf(workspace, c.request.ID)
}

// resumes reports whether the request resumes a stream.
func (c *call) resumes() bool {
	return c.route.Kind == routing.Stream && (c.request.Resumes != "" || c.request.LastEventID != "")
}

// bindResumed binds a request that resumes a stream to the version that began it. It returns the
// refusal if that is unknown or has no targets.
func (c *call) bindResumed(ctx context.Context) *fault.Error {
	if !c.resumes() {
		return nil
	}
	began := clock.Now()
	refusal := c.findOrigin(ctx)
	c.originTime, c.originProofLag = clock.Since(began), c.proofLag()
	return refusal
}

// noProof is the lag of a proof that there is not.
const noProof = time.Duration(-1)

// proofLag returns how much earlier than the request's arrival the targets were last proven to be the
// newest: zero if that was later, and noProof if it has not happened.
func (c *call) proofLag() time.Duration {
	age, ok := c.gateway.Proof.Age(c.request.Arrived)
	if !ok {
		return noProof
	}
	return max(age, 0)
}

func (c *call) findOrigin(ctx context.Context) *fault.Error {
	if record, ok := c.recordedOrigin(); ok {
		return c.bindTo(ctx, record.Version, OriginRecorded)
	}
	version, sole := c.provenSoleVersion(ctx)
	if record, ok := c.recordedOrigin(); ok {
		return c.bindTo(ctx, record.Version, OriginRecorded) // it has come meanwhile
	}
	if sole {
		c.streamVersion, c.originSource = version, OriginSole
		return nil
	}
	origins := c.gateway.Origins
	if origins == nil || origins.Peers == nil {
		return c.unknownOrigin(retryAfterShortage)
	}
	// Of a stream that the request doesn't name, the others have no record. They may be certain that
	// there was only one version.
	service := c.service
	if !c.drawsItsService() {
		service = "" // only a record can tell
	}
	finding := origins.Peers.FindOrigin(ctx, c.stream(), service)
	switch {
	case finding.Known && finding.Sole:
		return c.bindTo(ctx, finding.Version, OriginPeerSole)
	case finding.Known:
		return c.bindTo(ctx, finding.Version, OriginPeer)
	case finding.Asked == 0:
		return c.unknownOrigin(retryAfterOtherRouter)
	}
	return c.unknownOrigin(retryAfterShortage)
}

// recordedOrigin returns this gateway's record of the call's stream.
func (c *call) recordedOrigin() (origin.Record, bool) {
	if c.gateway.Origins == nil || c.request.Resumes == "" {
		return origin.Record{}, false
	}
	return c.gateway.Origins.Table.Get(c.stream(), clock.Now())
}

// bindTo binds the call to the version that began its stream, and to the service of that version.
func (c *call) bindTo(ctx context.Context, began origin.Version, source OriginSource) *fault.Error {
	if began == origin.Uncertain {
		return c.unknownOrigin(retryAfterShortage)
	}
	c.originSource = source
	// A version that is not known here has no targets any more, or is newer than the list of targets.
	if c.bindToListed(began) || c.gateway.proveNow(ctx) && c.bindToListed(began) {
		return nil
	}
	return fault.New(fault.NoTarget, fault.NotRun, "the route has no targets of the version that began the stream").After(retryAfterShortage)
}

// bindToListed binds the call to a version, and to its service, if the route has targets of it.
func (c *call) bindToListed(began origin.Version) bool {
	for _, share := range c.route.Split {
		version, ok := c.gateway.Balancer.VersionNamed(share.Service, func(version string) bool {
			return origin.VersionOf(share.Service, version) == began
		})
		if ok {
			c.service, c.streamVersion = share.Service, version
			return true
		}
	}
	return false
}

func (c *call) unknownOrigin(retryAfter time.Duration) *fault.Error {
	c.originSource = OriginUnknown
	return fault.New(fault.StreamUnknown, fault.NotRun, "it is not known which version of the targets began the stream").After(retryAfter)
}

// recordOrigin records which version began the call's stream, once its first event is about to be
// passed on.
func (c *call) recordOrigin(incarnation string) {
	origins := c.gateway.Origins
	if origins == nil || c.originRecorded || c.streamVersion == "" && !c.versionUncertain || !c.route.Resumable {
		return
	}
	c.originRecorded = true
	version := origin.VersionOf(c.service, c.streamVersion)
	if c.versionUncertain {
		version = origin.Uncertain
	}
	now := clock.Now()
	origins.begun(begunStream{
		record:      origin.Record{Stream: c.stream(), Version: version, Expires: now.Add(c.streamLife())},
		service:     c.service,
		incarnation: incarnation,
		at:          now,
	})
}
