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
	queuedAt  time.Time
	state  waiterState
	// place is set with waiterAdmitted, and refusal with waiterRefused.
	place    *Place
	refusal  *fault.Error
	decided chan struct{}
	element  *list.Element
	queue     *workspaceQueue
}

// lane is one workspace's queue within a class.
type workspaceQueue struct {
	workspace string
	waiters   *list.List
	// credit is what the workspace may still take in this round.
	credit int
	// element is the lane's place in the round; nil when it is empty.
	element *list.Element
}

// class shares places among workspaces by deficit round robin.
type fairQueue struct {
	byWorkspace map[string]*workspaceQueue
	rotation *list.List
	count int
}

func newFairQueue() *fairQueue {
	return &fairQueue{byWorkspace: make(map[string]*workspaceQueue), rotation: list.New()}
}

func (c *fairQueue) push(w *waiter) {
	l, ok := c.byWorkspace[w.ticket.Workspace]
	if !ok {
		l = &workspaceQueue{workspace: w.ticket.Workspace, waiters: list.New()}
		l.element = c.rotation.PushBack(l)
		c.byWorkspace[l.workspace] = l
	}
	w.queue = l
	w.element = l.waiters.PushBack(w)
	c.count++
}

// next is the waiter whose turn it is; nil when none waits.
func (c *fairQueue) front() *waiter {
	front := c.rotation.Front()
	if front == nil {
		return nil
	}
	l := front.Value.(*workspaceQueue)
	first := l.waiters.Front().Value.(*waiter)
	if l.credit == 0 {
		l.credit = max(first.ticket.Share, 1)
	}
	return first
}

// take removes the waiter whose turn it is.
func (c *fairQueue) pop() *waiter {
	w := c.front()
	if w == nil {
		return nil
	}
	l := w.queue
	l.credit--
	c.remove(w)
	if l.credit == 0 && l.waiters.Len() > 0 {
		c.rotation.MoveToBack(l.element)
	}
	return w
}

func (c *fairQueue) remove(w *waiter) {
	l := w.queue
	l.waiters.Remove(w.element)
	c.count--
	if l.waiters.Len() == 0 {
		c.rotation.Remove(l.element)
		delete(c.byWorkspace, l.workspace)
	}
}

// oldest is the waiter that has waited longest at the head of any lane.
func (c *fairQueue) oldest() *waiter {
	var oldest *waiter
	for element := c.rotation.Front(); element != nil; element = element.Next() {
		w := element.Value.(*workspaceQueue).waiters.Front().Value.(*waiter)
		if oldest == nil || w.queuedAt.Before(oldest.queuedAt) {
			oldest = w
		}
	}
	return oldest
}

// queues are the two classes.
type queues struct {
	patience   time.Duration
	urgent     *fairQueue
	deferrable *fairQueue
	bytes      int64
}

func newQueues(patience time.Duration) *queues {
	return &queues{patience: patience, urgent: newFairQueue(), deferrable: newFairQueue()}
}

func (q *queues) len() int {
	return q.urgent.count + q.deferrable.count
}

func (q *queues) queueFor(ticket Ticket) *fairQueue {
	if ticket.Deferrable {
		return q.deferrable
	}
	return q.urgent
}

func (q *queues) push(ticket Ticket) *waiter {
	w := &waiter{ticket: ticket, queuedAt: time.Now(), decided: make(chan struct{})}
	q.queueFor(ticket).push(w)
	q.bytes += ticket.Bytes
	return w
}

// pop takes the next waiter: urgent first, but a deferrable one that has run
// out of patience goes before, so that it never starves.
func (q *queues) pop() *waiter {
	w := q.overdueDeferrable()
	if w != nil {
		q.deferrable.remove(w)
	} else if w = q.urgent.pop(); w == nil {
		w = q.deferrable.pop()
	}
	if w != nil {
		q.bytes -= w.ticket.Bytes
	}
	return w
}

func (q *queues) overdueDeferrable() *waiter {
	if q.deferrable.count == 0 {
		return nil
	}
	w := q.deferrable.oldest()
	if time.Since(w.queuedAt) < q.patience {
		return nil
	}
	return w
}

func (q *queues) remove(w *waiter) {
	if w.state != waiterQueued {
		return
	}
	q.queueFor(w.ticket).remove(w)
	q.bytes -= w.ticket.Bytes
}

// ahead counts who would be served before a request that queues now: in its
// class at most as many rounds as its own lane is long, and all urgent ones
// before a deferrable one.
func (q *queues) ahead(ticket Ticket) int {
	count := q.queueFor(ticket).countAhead(ticket, 0)
	if ticket.Deferrable {
		count += q.urgent.count
	}
	return count
}

// ahead counts who is served before a waiter that has just been queued.
func (c *fairQueue) aheadOf(w *waiter) int {
	return c.countAhead(w.ticket, 1)
}

// before counts who is served before a request of a workspace behind which no
// other waits; queued is how many places of its lane are its own.
func (c *fairQueue) countAhead(ticket Ticket, ownPlaces int) int {
	own := -ownPlaces
	if l, ok := c.byWorkspace[ticket.Workspace]; ok {
		own += l.waiters.Len()
	}
	own = max(own, 0)
	share := max(ticket.Share, 1)
	rounds := own/share + 1
	count := own
	for name, l := range c.byWorkspace {
		if name == ticket.Workspace {
			continue
		}
		weight := max(l.waiters.Front().Value.(*waiter).ticket.Share, 1)
		count += min(l.waiters.Len(), rounds*weight)
	}
	return count
}
