package gateway

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/capersaddle/capersaddle/internal/balance"
	"github.com/capersaddle/capersaddle/internal/clock"
	"github.com/capersaddle/capersaddle/internal/delivery"
	"github.com/capersaddle/capersaddle/internal/fault"
	"github.com/capersaddle/capersaddle/internal/routing"
)

// attempt is one try of a call at one target.
type attempt struct {
	call *call
	pick balance.Pick
	// life is that of the picked target.
	life    string
	started time.Time
	outcome delivery.Outcome
	result  balance.Result
	err     error
	// refusal is set when the call itself forbade the sending.
	refusal *fault.Error
	// failedItself says that the target answered with a failure of its own: no delay of
	// this process explains that.
	failedItself bool
	// loss is how it was lost, if it was.
	loss lossKind
	// notice is what the target said of itself.
	notice balance.Notice
	// withdrawn says that nothing was sent since the target wants nothing new any more.
	withdrawn bool
	// trial says that it is the one copy of a request that is sent though it is held back.
	trial bool
	// tried says that the end of a try has been noted.
	tried bool
	// confirmed says that the target has read the prompt.
	confirmed bool
	// events is how many events were passed on, and span the time that the target took
	// from the first to the last.
	events int
	span   time.Duration
	// head is the time to the head of the answer, or to a stream's first event; zero if
	// none came.
	head time.Duration

	dark darkWatch

	// mu guards the fields that the silence timer shares.
	mu     sync.Mutex
	cancel context.CancelFunc
	timer  *time.Timer
	over   bool
	// spent says that the attempt was ended for its silence and that the
	// retry for it has been taken from the budget.
	spent bool
	// outlived says that it was ended since another life of its target has begun.
	outlived bool
}

func newAttempt(c *call, pick balance.Pick) *attempt {
	return &attempt{call: c, pick: pick, life: pick.Target.Incarnation(), started: clock.Now(), result: balance.Neutral}
}

const (
	// silentShare of a route's target latency is how long a target of a
	// repeatable request may be silent before another one is asked.
	silentShare = 0.6
	// silentStreamShare is the same for the first event of a stream.
	silentStreamShare = 1.0
	// silentGaps times a route's target gap is the same between events.
	silentGaps = 2.5
	// leastSilence bounds the times from below.
	leastSilence = 30 * time.Millisecond
	// bufferMost is the largest answer that is read whole before any of it is
	// passed on, in bytes.
	bufferMost = 1 << 20
)

// make sends the request and passes the answer on. It returns true when the
// caller has the whole answer; otherwise outcome says how it ended.
func (a *attempt) make(ctx context.Context) bool {
	attemptCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	a.cancel = cancel
	defer a.call.gateway.underWay.join(a)()
	defer a.stopWatch()
	defer a.watchDark()()
	a.watch(ctx, a.silenceToHead())
	answer, failure := a.call.gateway.Sender.Send(attemptCtx, a.outgoing(), a.admit)
	if failure != nil {
		a.heed(failure.Notice)
		a.failed(failure)
		return false
	}
	defer func() { _ = answer.Body.Close() }()
	a.heed(answer.Notice)
	a.endTry(true)
	a.noteHead(answer)
	return a.pass(ctx, answer)
}

// noteHead tells the balancer what the head of an answer shows.
func (a *attempt) noteHead(answer *Answer) {
	a.head = clock.Since(a.started)
	if crashes := a.call.gateway.Crashes; crashes != nil {
		crashes.heard(a.life, a.started)
	}
	if a.dark.contact != nil {
		a.noteContact(clock.Now())
	}
	now := clock.Now()
	if answer.Load != nil {
		a.call.gateway.Balancer.NoteLoad(a.life, *answer.Load, now)
	}
	a.call.gateway.Balancer.ObserveLatency(a.life, a.head, now)
	if answer.Status < http.StatusBadRequest && len(a.call.parts) > 0 {
		a.confirmed = true
		placed := a.call.gateway.Balancer.Confirm(a.life, a.call.prompt())
		if a.call.gateway.Directory != nil {
			a.call.gateway.Directory.Placed(placed)
		}
	}
}

// admit checks, right before the first byte is sent, what may have changed
// since the request was admitted.
func (a *attempt) admit() error {
	now := clock.Check()
	if stale := a.call.checkFresh(now); stale != nil {
		a.refusal = stale
		return stale
	}
	if refusal := a.barred(now); refusal != nil {
		a.refusal = refusal
		return refusal
	}
	if a.call.gateway.Balancer.Closed(a.life, now) {
		a.withdrawn = true
		return errWithdrawn
	}
	return nil
}

func (a *attempt) outgoing() *Outgoing {
	c := a.call
	out := &Outgoing{
		Request:   c.request,
		Target:    a.pick.Target,
		Left:      clock.Until(c.deadline),
		Rank:      c.table.Rank(c.workspace, c.route),
		FetchFrom: a.pick.FetchFrom,
		After:     c.after,
		Reuse:     c.route.Repeatable(),
	}
	if c.workspace != nil {
		out.Workspace = c.workspace.Name
	}
	return out
}

// failed turns an attempt without an answer into its outcome.
func (a *attempt) failed(failure *SendError) {
	a.err = failure
	switch {
	case a.refusal != nil, a.withdrawn:
		a.outcome = delivery.Unsent
	case failure.Refused:
		a.outcome, a.result = delivery.Unsent, balance.Refused
	case failure.Unreachable:
		a.outcome, a.result = delivery.Unsent, balance.Unreachable
	case !failure.Sent:
		a.outcome = delivery.Unsent
	case a.isOutlived():
		a.outcome, a.result, a.loss, a.err = delivery.Lost, balance.Lost, brokeOff, errOutlived
	case a.endedDark():
		a.outcome, a.result, a.loss, a.err = delivery.Lost, balance.Bad, wentSilent, errDark
	case a.isSpent():
		a.outcome, a.result, a.loss = delivery.Silent, balance.Bad, wentSilent
	case errors.Is(failure, context.DeadlineExceeded):
		a.outcome, a.result, a.loss = delivery.Silent, balance.Bad, wentSilent
	case errors.Is(failure, context.Canceled):
		a.outcome = delivery.Lost
	default:
		a.outcome, a.result, a.loss = delivery.Lost, balance.Lost, brokeOff
	}
	if a.call.delivery.Begun() && failure.Sent {
		a.outcome = delivery.Cut
	}
}

// pass hands the answer on as the route's kind wants it.
func (a *attempt) pass(ctx context.Context, answer *Answer) bool {
	switch {
	case answer.Misdirected:
		// Its life has ended, as if nothing listened at its address any more.
		a.outcome, a.result = delivery.Rejected, balance.Refused
		a.err = errors.New("another target answers at its address")
		return false
	case answer.NotRun:
		a.outcome = delivery.Rejected
		a.err = errors.Newf("the target did not run it: status %d", answer.Status)
		return false
	case answer.Status < http.StatusBadRequest && !answer.Signed:
		a.outcome, a.result = delivery.Lost, balance.Bad
		a.err = errors.New("an answer without the target's signature")
		return false
	case answer.Status >= http.StatusBadRequest:
		return a.passFailure(answer)
	case a.call.route.Kind == routing.Stream:
		return a.passStream(ctx, answer)
	}
	return a.passWhole(answer)
}

// passFailure keeps a target's own failure, in case nothing better comes. A
// failure that another target would repeat is passed on at once.
func (a *attempt) passFailure(answer *Answer) bool {
	whole, err := readWhole(answer)
	if err != nil {
		a.lost(err)
		return false
	}
	a.err = errors.Newf("the target answered %d", answer.Status)
	if a.call.delivery.Begun() {
		a.outcome, a.result = delivery.Cut, balance.Bad
		return false
	}
	a.call.failure = whole
	a.outcome = delivery.Failed
	if answer.Status < http.StatusInternalServerError {
		a.result = balance.Good
		a.call.relay()
		return true
	}
	a.result, a.failedItself = balance.Bad, true
	return false
}

// passWhole reads the answer whole, so that one that breaks off can be asked
// for again, and passes it on. Large answers are passed on as they come.
func (a *attempt) passWhole(answer *Answer) bool {
	if answer.Size > bufferMost {
		return a.passLarge(answer)
	}
	whole, err := readWhole(answer)
	if err != nil {
		a.lost(err)
		return false
	}
	a.result = balance.Good
	a.answered(answer)
	if err := whole.send(a.call); err != nil {
		a.err = err
	}
	return true
}

func (a *attempt) passLarge(answer *Answer) bool {
	a.stopWatch()
	a.answered(answer)
	a.call.delivery.Begin()
	if err := a.call.responder.Begin(answer.Status, answer.Header, answer.Size); err != nil {
		a.callerGone(err)
		return false
	}
	to := &outputWriter{call: a.call}
	_, err := io.Copy(to, answer.Body)
	if to.err != nil {
		a.callerGone(to.err)
		return false
	}
	if err != nil {
		a.outcome, a.result, a.loss, a.err = delivery.Cut, balance.Lost, brokeOff, err
		return false
	}
	a.result = balance.Good
	return true
}

// callerGone ends an attempt whose answer could not be passed on.
func (a *attempt) callerGone(err error) {
	a.call.gone = true
	a.outcome, a.err = delivery.Cut, err
}

// answered notes the head of the answer that the caller gets.
func (a *attempt) answered(answer *Answer) {
	a.call.status = answer.Status
	a.call.firstAfter = clock.Since(a.call.request.Arrived)
}

// lost ends an attempt whose answer broke off before any of it was passed on.
func (a *attempt) lost(err error) {
	a.err = err
	a.outcome, a.result, a.loss = delivery.Lost, balance.Lost, brokeOff
	if a.isSpent() || errors.Is(err, context.DeadlineExceeded) {
		a.outcome, a.result, a.loss = delivery.Silent, balance.Bad, wentSilent
	}
}

// release tells the balancer how the attempt ended, and keeps its record.
func (a *attempt) release(ctx context.Context) {
	a.judge(ctx, clock.Now())
	a.endTrial(clock.Now())
	if a.call.callerLeft(ctx) || a.isOwnDelay() {
		a.result = balance.Neutral
	}
	now := clock.Now()
	if !a.confirmed && len(a.call.parts) > 0 {
		a.call.gateway.Balancer.Withdraw(a.life, a.call.parts)
	}
	if a.result == balance.Good {
		a.call.gateway.contacts.note(a.life, now)
		a.call.gateway.Balancer.NoteHold(a.call.service, now.Sub(a.started), a.call.route.TargetLatency)
	}
	a.endTry(false)
	a.observe(now)
	ejected := a.call.gateway.Balancer.Release(a.life, a.result, now)
	if a.result == balance.Refused && a.call.gateway.Directory != nil {
		a.call.gateway.Directory.Refused(a.life)
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

// isOwnDelay says whether the attempt failed while this process itself was late:
// its time limits then say nothing of the target.
func (a *attempt) isOwnDelay() bool {
	return a.result != balance.Good && a.isLate()
}

// isLate says whether this process itself is late.
func (a *attempt) isLate() bool {
	late := a.call.gateway.Options.Late
	return late != nil && late()
}

// reason says why the attempt brought no answer.
func (a *attempt) reason() string {
	if a.err == nil {
		return "no answer"
	}
	return a.err.Error()
}
