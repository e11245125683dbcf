package gateway

import (
	"context"
	"time"

	"github.com/capersaddle/capersaddle/internal/clock"
	"github.com/capersaddle/capersaddle/internal/fault"
	"github.com/capersaddle/capersaddle/internal/origin"
	"github.com/capersaddle/capersaddle/internal/routing"
)

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
	if c.mayBeSole() {
		if known, refusal := c.bindToSole(ctx); known {
			return refusal
		}
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
	case finding.Answered == 0:
		return c.unknownOrigin(retryAfterOtherRouter) // this gateway is the one that is out of touch
	}
	return c.unknownOrigin(retryAfterShortage)
}

const (
	// recordPatience is how long the only version waits for gateways that may have a record that says
	// otherwise, a few times what an answer takes. Those that were just lost don't answer.
	recordPatience = 25 * time.Millisecond
	// proofPatience is how long a request waits for a new proof at a gateway that no other one answers, and
	// slowProofPatience at one that others do: then the store is slow.
	proofPatience     = 75 * time.Millisecond
	slowProofPatience = 300 * time.Millisecond
)

// bindToSole binds the call to the only version of its service, if that is proven and no gateway has a record
// that says otherwise. known is false if neither is the case.
func (c *call) bindToSole(ctx context.Context) (known bool, refusal *fault.Error) {
	proofCtx, cancel := context.WithTimeout(ctx, slowProofPatience)
	defer cancel()
	answers := c.askForRecord(ctx, func() { time.AfterFunc(proofPatience-recordPatience, cancel) })
	version, sole := c.provenSoleVersion(proofCtx)
	finding := answers()
	if record, ok := c.recordedOrigin(); ok { // it has come meanwhile
		return true, c.bindTo(ctx, record.Version, OriginRecorded)
	}
	if finding.Known {
		return true, c.bindTo(ctx, finding.Version, OriginPeer)
	}
	if sole {
		c.streamVersion, c.originSource = version, OriginSole
	}
	return sole, nil
}

// askForRecord begins to ask other gateways for a record of the call's stream, for recordPatience, and calls
// unanswered if none of them has answered by then. The returned function returns what they have told.
func (c *call) askForRecord(ctx context.Context, unanswered func()) (answers func() origin.Finding) {
	origins := c.gateway.Origins
	if origins == nil || origins.Peers == nil || c.request.Resumes == "" {
		return func() origin.Finding { return origin.Finding{} }
	}
	told := make(chan origin.Finding, 1)
	go func() {
		ctx, cancel := context.WithTimeout(ctx, recordPatience)
		defer cancel()
		finding := origins.Peers.FindOrigin(ctx, c.stream(), "")
		if finding.Answered == 0 {
			unanswered()
		}
		told <- finding
	}()
	return func() origin.Finding { return <-told }
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
	if c.bindToListed(began) || c.provesNow(ctx) && c.bindToListed(began) {
		return nil
	}
	return fault.New(fault.NoTarget, fault.NotRun, "the route has no targets of the version that began the stream").After(retryAfterShortage)
}

// provesNow is proveNow within proofPatience.
func (c *call) provesNow(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, proofPatience)
	defer cancel()
	return c.gateway.proveNow(ctx)
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
