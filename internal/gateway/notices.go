package gateway

import (
	"github.com/cockroachdb/errors"

	"github.com/capersaddle/capersaddle/internal/balance"
)

// errWithdrawn is why an attempt sent nothing.
var errWithdrawn = errors.New("the target wants nothing new any more")

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
	news := a.call.gateway.Balancer.Heed(a.life, notice)
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
