package admission

import (
	"container/list"
	"time"

	"github.com/capersaddle/capersaddle/internal/fault"
)

type waiterState int

const (
	waiterQueued waiterState = iota
	waiterAdmitted
	waiterRefused
)

// waiter is one queued request; the gate's lock guards it.
type waiter struct {
	ticket Ticket
	since  time.Time
	state  waiterState
	// place is set with waiterAdmitted, and refusal with waiterRefused.
	place    *Place
	refusal  *fault.Error
	admitted chan struct{}
	element  *list.Element
	lane     *lane
}

// lane is one workspace's queue within a class.
type lane struct {
	workspace string
	waiters   *list.List
	// credit is what the workspace may still take in this round.
	credit int
	// element is the lane's place in the round; nil when it is empty.
	element *list.Element
}

// class shares places among workspaces by deficit round robin.
type class struct {
	lanes map[string]*lane
	round *list.List
	count int
}

func newClass() *class {
	return &class{lanes: make(map[string]*lane), round: list.New()}
}

func (c *class) push(w *waiter) {
	l, ok := c.lanes[w.ticket.Workspace]
	if !ok {
		l = &lane{workspace: w.ticket.Workspace, waiters: list.New()}
		l.element = c.round.PushBack(l)
		c.lanes[l.workspace] = l
	}
	w.lane = l
	w.element = l.waiters.PushBack(w)
	c.count++
}

// next is the waiter whose turn it is; nil when none waits.
func (c *class) next() *waiter {
	front := c.round.Front()
	if front == nil {
		return nil
	}
	l := front.Value.(*lane)
	first := l.waiters.Front().Value.(*waiter)
	if l.credit == 0 {
		l.credit = max(first.ticket.Share, 1)
	}
	return first
}

// take removes the waiter whose turn it is.
func (c *class) take() *waiter {
	w := c.next()
	if w == nil {
		return nil
	}
	l := w.lane
	l.credit--
	c.remove(w)
	if l.credit == 0 && l.waiters.Len() > 0 {
		c.round.MoveToBack(l.element)
	}
	return w
}

func (c *class) remove(w *waiter) {
	l := w.lane
	l.waiters.Remove(w.element)
	c.count--
	if l.waiters.Len() == 0 {
		c.round.Remove(l.element)
		delete(c.lanes, l.workspace)
	}
}

// oldest is the waiter that has waited longest at the head of any lane.
func (c *class) oldest() *waiter {
	var oldest *waiter
	for element := c.round.Front(); element != nil; element = element.Next() {
		w := element.Value.(*lane).waiters.Front().Value.(*waiter)
		if oldest == nil || w.since.Before(oldest.since) {
			oldest = w
		}
	}
	return oldest
}

// queues are the two classes.
type queues struct {
	patience   time.Duration
	urgent     *class
	deferrable *class
	bytes      int64
}

func newQueues(patience time.Duration) *queues {
	return &queues{patience: patience, urgent: newClass(), deferrable: newClass()}
}

func (q *queues) len() int {
	return q.urgent.count + q.deferrable.count
}

func (q *queues) classOf(ticket Ticket) *class {
	if ticket.Deferrable {
		return q.deferrable
	}
	return q.urgent
}

func (q *queues) push(ticket Ticket) *waiter {
	w := &waiter{ticket: ticket, since: time.Now(), admitted: make(chan struct{})}
	q.classOf(ticket).push(w)
	q.bytes += ticket.Bytes
	return w
}

// pop takes the next waiter: urgent first, but a deferrable one that has run
// out of patience goes before, so that it never starves.
func (q *queues) pop() *waiter {
	w := q.impatient()
	if w != nil {
		q.deferrable.remove(w)
	} else if w = q.urgent.take(); w == nil {
		w = q.deferrable.take()
	}
	if w != nil {
		q.bytes -= w.ticket.Bytes
	}
	return w
}

func (q *queues) impatient() *waiter {
	if q.deferrable.count == 0 {
		return nil
	}
	w := q.deferrable.oldest()
	if time.Since(w.since) < q.patience {
		return nil
	}
	return w
}

func (q *queues) remove(w *waiter) {
	if w.state != waiterQueued {
		return
	}
	q.classOf(w.ticket).remove(w)
	q.bytes -= w.ticket.Bytes
}

// ahead counts who would be served before a request that queues now: in its
// class at most as many rounds as its own lane is long, and all urgent ones
// before a deferrable one.
func (q *queues) ahead(ticket Ticket) int {
	count := q.classOf(ticket).before(ticket, 0)
	if ticket.Deferrable {
		count += q.urgent.count
	}
	return count
}

// ahead counts who is served before a waiter that has just been queued.
func (c *class) ahead(w *waiter) int {
	return c.before(w.ticket, 1)
}

// before counts who is served before a request of a workspace behind which no
// other waits; queued is how many places of its lane are its own.
func (c *class) before(ticket Ticket, queued int) int {
	own := -queued
	if l, ok := c.lanes[ticket.Workspace]; ok {
		own += l.waiters.Len()
	}
	own = max(own, 0)
	share := max(ticket.Share, 1)
	rounds := own/share + 1
	count := own
	for name, l := range c.lanes {
		if name == ticket.Workspace {
			continue
		}
		weight := max(l.waiters.Front().Value.(*waiter).ticket.Share, 1)
		count += min(l.waiters.Len(), rounds*weight)
	}
	return count
}
