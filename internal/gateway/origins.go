package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/capersaddle/capersaddle/internal/clock"
	"github.com/capersaddle/capersaddle/internal/origin"
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
