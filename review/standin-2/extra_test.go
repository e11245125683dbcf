//go:build review2

package standin2

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	// slowWork is how long the slowest requests take: the sheets' longest is 110 ms.
	slowWork = 100 * time.Millisecond
	// usualRequests come before slowRequests, which fill the slots of both servers, and payments after them.
	usualRequests = 420
	usualClients  = 4
	slowRequests  = 12
	slowPath      = "/pay/slow-"
	rounds        = 2
	payments      = 12
	paymentPause  = time.Millisecond
	// extraShare is the largest part of its answers that a server in trouble may send twice, and extraTime how
	// long the trouble lasts.
	extraShare = 0.03
	extraTime  = 5 * time.Second
)

// pool are plain servers that work on as many requests as they have slots and send others away. The one that is in
// trouble sends some of its answers to questions about its health once more, in the place where the next answer on
// the connection should be.
type pool struct {
	mu   sync.Mutex
	busy map[*server]int
	// troubled is nil before the trouble, and until is its end.
	troubled *server
	until    time.Time
	// answers and extras count the answers of the troubled server, and those that it sends twice.
	answers map[*server]int
	extras  int
}

// mayRepeat counts an answer to a question and reports whether the server sends it twice.
func (p *pool) mayRepeat(s *server) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s != p.troubled || time.Now().After(p.until) || float64(p.extras+1) > extraShare*float64(p.answers[s]) {
		return false
	}
	p.extras++
	return true
}

// begin begins the trouble of a server.
func (p *pool) begin(s *server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.troubled, p.until = s, time.Now().Add(extraTime)
	s.rig.note("server %s sends some answers twice from now on; it has given %d answers so far", s.id, p.answers[s])
}

func (p *pool) enter(s *server) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.busy[s] >= s.slots {
		return false
	}
	p.busy[s]++
	return true
}

func (p *pool) leave(s *server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.busy[s]--
}

func (p *pool) handle(s *server, c *serverConn, a *arrival) {
	p.mu.Lock()
	p.answers[s]++
	p.mu.Unlock()
	if c.owed != "" {
		s.rig.note("server %s, connection %d: its answer to the health question comes once more, before that to %s", s.id, c.number, a.id)
		_, _ = c.Write([]byte(c.owed))
		c.owed = ""
	}
	if a.isQuestion() {
		text := s.answerText("", 200, "X-Instance-Id: "+s.id+"\r\n", "")
		if !p.enter(s) {
			text = s.answerText("", 503, "X-Instance-Id: "+s.id+"\r\nX-Not-Executed: 1\r\n", "")
		} else {
			p.leave(s)
		}
		s.rig.note("server %s, connection %d: a health question, answered %.12s", s.id, c.number, text[9:])
		_, _ = c.Write([]byte(text))
		if p.mayRepeat(s) {
			c.owed = text
		}
		return
	}
	if !p.enter(s) {
		c.answer(s, a, 503, "X-Not-Executed: 1\r\n", "")
		return
	}
	defer p.leave(s)
	s.run(a)
	if strings.HasPrefix(a.target, slowPath) {
		time.Sleep(slowWork)
		c.answer(s, a, 200, s.stamp()+"Connection: close\r\n", "slow")
		return
	}
	time.Sleep(usualWork)
	c.answer(s, a, 200, s.stamp(), "paid")
}

// payment is a payment of a client, which tries again only after a promise that the last attempt has not run.
type payment struct {
	name     string
	attempts []string
	statuses []int
}

// pay sends the payment until it is answered with success or without a promise.
func (p *payment) pay(g *gateway) {
	const tries = 3
	for try := 1; try <= tries; try++ {
		id := fmt.Sprintf("%s.%d", p.name, try)
		got := call(g, "POST", "/pay/"+p.name, id, "", "amount=1", time.Second)
		p.attempts, p.statuses = append(p.attempts, id), append(p.statuses, got.status)
		g.rig.note("client: %s -> %v", id, got)
		if !isPromise(got.status) {
			return
		}
		time.Sleep(max(min(got.retryAfter(), time.Second/3), 20*time.Millisecond))
	}
}

// isPromise reports whether a status promises that the request has not run and never will.
func isPromise(status int) bool {
	return status == 408 || status == 421 || status == 429 || status == 503
}

// extra has the servers answer questions about their health once more, where the answer to a payment should be.
func extra(r *rig, trouble bool) (string, error) {
	p := &pool{busy: make(map[*server]int), answers: make(map[*server]int)}
	if err := r.setUp(configOf(3), 2, 1, p.handle); err != nil {
		return "", err
	}
	gate := r.gateways[0]
	var wait sync.WaitGroup
	for i := range usualClients {
		wait.Go(func() {
			for n := range usualRequests / usualClients {
				call(gate, "GET", "/get/usual", fmt.Sprintf("usual-%d-%d", i, n), "", "", time.Second)
			}
		})
	}
	wait.Wait()
	if trouble {
		p.begin(r.servers[0])
	}
	time.Sleep(300 * time.Millisecond)
	var all []*payment
	for round := range rounds {
		for i := range slowRequests {
			wait.Go(func() {
				call(gate, "POST", fmt.Sprintf("%s%d", slowPath, round), fmt.Sprintf("slow-%d-%d", round, i), "", "", time.Second)
			})
		}
		wait.Wait()
		for i := range payments {
			one := &payment{name: fmt.Sprintf("pay-%d-%d", round, i)}
			all = append(all, one)
			wait.Go(func() { one.pay(gate) })
			time.Sleep(paymentPause)
		}
		wait.Wait()
		time.Sleep(300 * time.Millisecond)
	}
	r.note("server i-0 has sent %d of its %d answers twice", p.extras, p.answers[r.servers[0]])
	refused, twice, double := 0, 0, 0
	for _, one := range all {
		runs := 0
		for i, id := range one.attempts {
			ran := len(r.runsOf(id))
			runs += ran
			if ran > 1 {
				twice++
			}
			if ran > 0 && isPromise(one.statuses[i]) {
				refused++
			}
		}
		if runs > 1 {
			double++
			r.note("%s has run %d times: attempts %v, answered %v", one.name, runs, one.attempts, one.statuses)
		}
	}
	if refused+twice > 0 {
		return fmt.Sprintf("REFUSED: %d requests that got 429 or 503 have run; TWICE: %d ran at two servers; %d of %d payments ran more than once", refused, twice, double, len(all)), nil
	}
	return "", nil
}
