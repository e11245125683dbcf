package gateway

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/capersaddle/capersaddle/internal/balance"
	"github.com/capersaddle/capersaddle/internal/clock"
)

// errWithdrawn is why an attempt sent nothing.
var errWithdrawn = errors.New("the target wants nothing new")

// NoticeRecord tells what a target said of itself in an answer that was not known yet.
type NoticeRecord struct {
	Target  string
	Address string
	Service string
	// Life names the life of the target that it holds for.
	Life string
	// Request is the id of the request that was answered.
	Request string
	Notice  balance.Notice
	News    balance.News
}

// heed takes what the target says of itself. It holds from now on for whatever this gateway
// has to send, be the answer whole or not, waited for or not.
func (a *attempt) heed(notice balance.Notice) {
	a.notice = notice
	if notice == (balance.Notice{}) {
		return
	}
	news := a.call.gateway.Balancer.Heed(a.life, notice, clock.Check())
	if news == (balance.News{}) {
		return
	}
	a.call.gateway.Events.Notice(&NoticeRecord{
		Target:  a.pick.Target.ID,
		Address: a.pick.Target.Address,
		Service: a.call.service,
		Life:    a.life,
		Request: a.call.request.ID,
		Notice:  notice,
		News:    news,
	})
}

// endTry says how the first request after a rest has ended: others may follow the head of its
// answer, however long that goes on.
func (a *attempt) endTry(answered bool) {
	if !a.pick.Try || a.tried {
		return
	}
	a.tried = true
	a.call.gateway.Balancer.EndTry(a.life, answered, clock.Now())
}

// comeBack is when the caller of a request that did not run is to come back: when a target that
// rests is back, if nobody else is open, else when the service has room.
func (c *call) comeBack() time.Duration {
	now := clock.Now()
	if back, ok := c.gateway.Balancer.BackIn(c.query(), now); ok {
		return back
	}
	if c.gateway.Limiters == nil {
		return retrySoon
	}
	return c.gateway.Limiters.Of(c.service).RetryAfter(c.deadline.Sub(now), now)
}

// comeBackToTarget is the same where no target was open at all.
func (c *call) comeBackToTarget() time.Duration {
	if back, ok := c.gateway.Balancer.BackIn(c.query(), clock.Now()); ok {
		return back
	}
	return retrySoon
}
