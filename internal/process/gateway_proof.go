package process

import (
	"context"
	"time"

	"golang.org/x/time/rate"

	"github.com/capersaddle/capersaddle/internal/clock"
)

const (
	// askOthersAfter is the time that the store has to answer, a few times what it takes, before a gateway
	// that asks it also asks other gateways, or one that asked others in vain asks the store.
	askOthersAfter = 25 * time.Millisecond
	// confirmsPerSecond and confirmBurst limit the calls to the store for new proofs. Requests that come
	// while one is under way share the next one.
	confirmsPerSecond = 250
	confirmBurst      = 50
	// maxConfirms limits the calls that are under way at the same time. With a slow store a request that
	// comes during one call waits for the next one only.
	maxConfirms = 2
)

// prover obtains new proofs that this process's content of the store is the newest.
type prover struct {
	process *GatewayProcess
	limiter *rate.Limiter
	// turns are held during calls to the store.
	turns chan struct{}
}

func newProver(p *GatewayProcess) *prover {
	return &prover{process: p, limiter: rate.NewLimiter(confirmsPerSecond, confirmBurst), turns: make(chan struct{}, maxConfirms)}
}

// Prove makes the process's proof cover a time before the context ends, and reports whether it does. In a large
// fleet only the gateways that ask the store call it.
func (p *prover) Prove(ctx context.Context, since time.Time) bool {
	switch {
	case !p.follows():
		return p.proveBy(ctx, since, p.confirm, p.askOthers)
	case p.process.peers.Many():
		p.askOthers(ctx, since)
		return p.process.gateway.Proof.Covers(since)
	}
	return p.proveBy(ctx, since, p.askOthers, p.confirm)
}

// ProveForPeer is Prove for another gateway, whose question has come over a number of hops. Gateways that ask the
// store, and all in a small fleet, which all ask these, ask the store only; others ask their parent.
func (p *prover) ProveForPeer(ctx context.Context, since time.Time, hops uint32) bool {
	if p.process.peers.Many() && p.follows() {
		p.process.peers.AskParentForProof(ctx, since, hops)
	} else {
		p.confirm(ctx, since)
	}
	return p.process.gateway.Proof.Covers(since)
}

// follows reports whether other gateways ask the store for this one.
func (p *prover) follows() bool {
	return p.process.peers != nil && !p.process.peers.Leads()
}

// proveBy tries one way to obtain a proof and, if that takes too long, also another one.
func (p *prover) proveBy(ctx context.Context, since time.Time, first, second func(ctx context.Context, since time.Time)) bool {
	proof := p.process.gateway.Proof
	ctx, cancel := context.WithCancel(ctx)
	patience, endPatience := context.WithTimeout(ctx, askOthersAfter)
	done := make(chan struct{})
	go func() {
		defer close(done)
		first(ctx, since)
		endPatience()
	}()
	defer func() {
		cancel()
		<-done
		endPatience()
	}()
	if proof.Await(patience, since) || proof.Covers(since) {
		return true
	}
	second(ctx, since)
	return proof.Await(ctx, since)
}

// askOthers asks other gateways for a proof.
func (p *prover) askOthers(ctx context.Context, since time.Time) {
	if p.process.peers != nil {
		p.process.peers.AskProof(ctx, since)
	}
}

// confirm asks the store for a proof, unless a call that began later than since brings one.
func (p *prover) confirm(ctx context.Context, since time.Time) {
	select {
	case p.turns <- struct{}{}:
	case <-ctx.Done():
		return
	}
	defer func() { <-p.turns }()
	if p.process.gateway.Proof.Covers(since) || p.limiter.Wait(ctx) != nil {
		return
	}
	began := clock.Now()
	if err := p.process.feed.Confirm(ctx); err != nil && ctx.Err() == nil {
		p.process.log.Debug(eventProofFailed, "error", err, "took_ms", clock.Since(began).Milliseconds())
	}
}

// eventProofFailed is the event of a call to the store that brought no proof.
const eventProofFailed = "proof_failed"
