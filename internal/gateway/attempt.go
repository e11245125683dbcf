package gateway

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/capersaddle/capersaddle/internal/balance"
	"github.com/capersaddle/capersaddle/internal/clock"
	"github.com/capersaddle/capersaddle/internal/delivery"
	"github.com/capersaddle/capersaddle/internal/fault"
	"github.com/capersaddle/capersaddle/internal/quarantine"
	"github.com/capersaddle/capersaddle/internal/routing"
)

// attempt is one attempt of a call at one target.
type attempt struct {
	call *call
	pick balance.Pick
	// incarnation is the incarnation of the picked target.
	incarnation string
	started     time.Time
	outcome     delivery.Outcome
	result      balance.Result
	err         error
	// refusal is set if the call itself prevented the sending.
	refusal *fault.Error
	// failedItself means that the target answered with a failure of its own, which no delay of this
	// process explains.
	failedItself bool
	// loss is how the attempt was lost, if it was.
	loss lossKind
	// notice holds the target's reports about itself.
	notice balance.Notice
	// withdrawn means that nothing was sent because the target no longer accepts new requests.
	withdrawn bool
	// unanswered means that nothing was sent because the target didn't answer a question about its
	// health.
	unanswered bool
	// trial means that the attempt is the single trial of a held request. partTrial are the held parts
	// of which it is the trial.
	trial     bool
	partTrial []quarantine.Fingerprint
	// partsProven means that the stream has gone on for long enough to count as an answer to its parts.
	partsProven bool
	// probeEnded means that the result of a half-open probe has been reported.
	probeEnded bool
	// confirmed means that the target has prefilled the prompt.
	confirmed bool
	// events is how many events were passed on, and eventSpan the time that the target took from
	// the first to the last.
	events    int
	eventSpan time.Duration
	// timeToHead is the time to the headers of the answer, or to the first event of a stream; zero
	// if none arrived.
	timeToHead time.Duration

	liveness livenessWatch

	// sentAt is when the first byte was sent, lastHeard when something last arrived, and aliveAt when
	// the target last answered a question about its health, in nanoseconds since the start; zero if
	// not yet.
	sentAt, lastHeard, aliveAt atomic.Int64
	// suspected means that targets fell silent while they ran the request, and askedBefore that this
	// one answered a question about its health right before the request was sent.
	suspected, askedBefore bool
	// silenceChecks counts the checks of the target for its silence.
	silenceChecks atomic.Int32

	// mu guards the fields that are shared with the silence timer. While the attempt runs, it also
	// guards the call's delivery.
	mu        sync.Mutex
	cancel    context.CancelFunc
	timer     *time.Timer
	committed bool
	// silenceTimer checks the target after a silence.
	silenceTimer *time.Timer
	// abandoned means that the attempt was ended for its silence and that its retry has been taken
	// from the budget.
	abandoned bool
	// superseded means that the attempt was ended because its target started a new incarnation.
	superseded bool
	// versionUncertain means that the new incarnation has another version and may have served the
	// attempt.
	versionUncertain bool
}

func newAttempt(c *call, pick balance.Pick) *attempt {
	return &attempt{call: c, pick: pick, incarnation: pick.Target.Incarnation(), started: clock.Now(), result: balance.Neutral}
}

// run sends the request and passes the answer on. It returns true if the caller has the complete
// answer; otherwise outcome holds how the attempt ended.
func (a *attempt) run(ctx context.Context) bool {
	attemptCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	a.cancel = cancel
	defer a.call.gateway.inFlight.join(a)()
	defer a.stopSilenceTimer()
	if !a.askBefore(attemptCtx) {
		return false
	}
	defer a.watchLiveness()()
	if crashes := a.call.gateway.Crashes; crashes != nil {
		defer crashes.join(a)()
	}
	a.startSilenceTimer(ctx, a.maxSilenceToHead())
	answer, failure := a.call.gateway.Sender.Send(attemptCtx, a.outgoing(), a.admit)
	if failure != nil {
		a.handleNotice(failure.Notice)
		a.classifyFailure(failure)
		return false
	}
	defer func() { _ = answer.Body.Close() }()
	a.handleNotice(answer.Notice)
	a.endProbe(true)
	switch {
	case answer.MayHaveRestarted:
		a.noteRestart()
	case answer.Confirmed:
		a.pick.MayBeOfAnotherVersion = a.pick.Target.VersionUnknown
	}
	a.recordHead(answer)
	return a.passAnswer(ctx, answer)
}

// noteRestart records that another incarnation may listen at the target's address.
func (a *attempt) noteRestart() {
	a.pick.MayBeOfAnotherVersion = true
	a.call.gateway.Balancer.NoteRestart(a.incarnation, clock.Now())
}

// recordHead reports to the balancer what the headers of an answer show.
func (a *attempt) recordHead(answer *Answer) {
	a.timeToHead = clock.Since(a.started)
	a.hear(clock.Now())
	if crashes := a.call.gateway.Crashes; crashes != nil {
		crashes.recordHead(a.incarnation, a.started)
	}
	if a.liveness.contact != nil {
		a.recordContact(clock.Now())
	}
	now := clock.Now()
	if answer.Load != nil {
		a.call.gateway.Balancer.NoteLoad(a.incarnation, *answer.Load, now)
	}
	a.call.gateway.Balancer.ObserveLatency(a.incarnation, a.timeToHead, now)
	if answer.Status < http.StatusBadRequest && len(a.call.parts) > 0 {
		a.confirmed = true
		placed := a.call.gateway.Balancer.Confirm(a.incarnation, a.call.promptQuery())
		if a.call.gateway.Directory != nil {
			a.call.gateway.Directory.Placed(placed)
		}
	}
}

// admit checks, right before the first byte is sent, what may have changed since the request was
// admitted.
func (a *attempt) admit() error {
	now := clock.Check()
	if refusal := a.call.checkStop(now); refusal != nil {
		a.refusal = refusal
		return refusal
	}
	if stale := a.call.checkKeyFreshness(now); stale != nil {
		a.refusal = stale
		return stale
	}
	if refusal := a.checkQuarantine(now); refusal != nil {
		a.refusal = refusal
		return refusal
	}
	if a.call.gateway.Balancer.Closed(a.incarnation, now) {
		a.withdrawn = true
		return errWithdrawn
	}
	a.recordSending(now)
	return nil
}

func (a *attempt) outgoing() *Outgoing {
	c := a.call
	out := &Outgoing{
		Request:     c.request,
		Target:      a.pick.Target,
		TimeLeft:    clock.Until(c.deadline),
		Rank:        c.table.Rank(c.workspace, c.route),
		FetchFrom:   a.pick.FetchFrom,
		LastEventID: c.lastEventID,
		Workspace:   c.workspaceName(),
		ReuseIdle:   c.route.Repeatable(),
		Continues:   c.streamVersion != "",
		ProvenAt:    c.gateway.provenAt(),
		Versioned:   c.route.Kind == routing.Stream && (c.route.Resumable || c.streamVersion != ""),
	}
	return out
}

// classifyFailure sets the outcome of an attempt without an answer.
func (a *attempt) classifyFailure(failure *SendError) {
	a.err = failure
	switch {
	case a.refusal != nil, a.withdrawn:
		a.outcome = delivery.Unsent
	case failure.MayHaveRestarted:
		a.noteRestart()
		a.outcome, a.withdrawn = delivery.Unsent, true
	case failure.Refused:
		a.outcome, a.result = delivery.Unsent, balance.Refused
	case failure.Unreachable:
		a.outcome, a.result = delivery.Unsent, balance.Unreachable
	case failure.Unanswered && !a.isSuperseded():
		a.outcome, a.result = delivery.Unsent, balance.Bad
	case !failure.Sent:
		a.outcome = delivery.Unsent
	case a.isSuperseded():
		a.outcome, a.result, a.loss, a.err = delivery.Lost, balance.Lost, lossDisconnected, errSuperseded
	case a.endedUnresponsive():
		a.outcome, a.result, a.loss, a.err = delivery.Lost, balance.Bad, lossSilent, errUnresponsive
	case a.isAbandoned():
		a.outcome, a.result, a.loss = delivery.Silent, balance.Bad, lossSilent
	case errors.Is(failure, context.DeadlineExceeded):
		a.outcome, a.result, a.loss = delivery.Silent, balance.Bad, lossSilent
	case errors.Is(failure, context.Canceled):
		a.outcome = delivery.Lost
	default:
		a.outcome, a.result, a.loss = delivery.Lost, balance.Lost, lossDisconnected
	}
	if a.call.delivery.Begun() && failure.Sent {
		a.outcome = delivery.Cut
	}
}

// passAnswer passes the answer on in the way that the kind of the route requires.
func (a *attempt) passAnswer(ctx context.Context, answer *Answer) bool {
	switch {
	case answer.Misdirected:
		a.outcome, a.result = delivery.Misdirected, balance.Replaced
		a.err = errors.New("another target answers at this address")
		return false
	case answer.NotRun:
		a.outcome = delivery.Rejected
		a.err = errors.Newf("the target did not run the request: status %d", answer.Status)
		return false
	case answer.Status < http.StatusBadRequest && !answer.Signed:
		a.outcome, a.result = delivery.Lost, balance.Bad
		a.err = errors.New("the answer lacks the signature of the target")
		return false
	case answer.Status >= http.StatusBadRequest:
		return a.passFailure(answer)
	case a.call.route.Kind == routing.Stream:
		return a.passStream(ctx, answer)
	}
	return a.passBuffered(answer)
}

// failWriting ends an attempt whose answer could not be passed on.
func (a *attempt) failWriting(err error) {
	a.call.writeFailed = true
	a.outcome, a.err = delivery.Cut, err
}

// recordAnswer records the status and the time of the answer that the caller gets.
func (a *attempt) recordAnswer(answer *Answer) {
	a.call.status = answer.Status
	a.call.timeToHead = clock.Since(a.call.request.Arrived)
}

// finish reports to the balancer how the attempt ended, and records the attempt.
func (a *attempt) finish(ctx context.Context) {
	if a.mayHaveMixed() {
		a.call.withdrawOrigin()
	}
	a.reportToCrashes(ctx, clock.Now())
	a.endTrial(clock.Now())
	if a.call.callerLeft(ctx) || a.isProcessDelay() {
		a.result = balance.Neutral
	}
	now := clock.Now()
	if !a.confirmed && len(a.call.parts) > 0 {
		a.call.gateway.Balancer.Withdraw(a.incarnation, a.call.parts)
	}
	if a.result == balance.Good {
		a.call.gateway.contacts.record(a.incarnation, now)
		a.call.gateway.Balancer.NoteHold(a.call.service, now.Sub(a.started), a.call.route.TargetLatency)
	}
	a.endProbe(false)
	a.reportToRollout(now)
	ejected := a.call.gateway.Balancer.Release(a.incarnation, a.result, now)
	hasEnded := a.result == balance.Refused || a.result == balance.Replaced
	if hasEnded && a.call.gateway.Directory != nil {
		a.call.gateway.Directory.Refused(a.incarnation)
	}
	record := AttemptRecord{
		Target:     a.pick.Target.ID,
		Version:    a.pick.Target.Version,
		Address:    a.pick.Target.Address,
		Load:       a.pick.Load,
		Mean:       a.pick.Mean,
		Candidates: a.pick.Candidates,
		FetchFrom:  a.pick.FetchFrom,
		Source:     a.pick.Source,
		Took:       now.Sub(a.started),
		Events:     a.events,
		Outcome:    outcomeNames[a.outcome],
		Notice:     a.notice,
		Ejected:    ejected,
	}
	if a.err == nil {
		record.Outcome = EndingAnswered
	} else {
		record.Reason = a.err.Error()
	}
	a.call.attempts = append(a.call.attempts, record)
}

// isProcessDelay reports whether the attempt failed while this process itself was late: its time
// limits are then no evidence against the target.
func (a *attempt) isProcessDelay() bool {
	return a.result != balance.Good && a.isProcessLate()
}

// isProcessLate reports whether this process itself is late.
func (a *attempt) isProcessLate() bool {
	late := a.call.gateway.Options.ProcessLate
	return late != nil && late()
}

// reason returns why the attempt produced no answer.
func (a *attempt) reason() string {
	if a.err == nil {
		return "no answer"
	}
	return a.err.Error()
}
