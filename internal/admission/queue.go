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

// waiter is one queued request. The lock of the gate or limiter that owns it guards it.
type waiter struct {
	ticket   Ticket
	queuedAt time.Time
	state    waiterState
	// place is set in state waiterAdmitted, and refusal in state waiterRefused.
	place   *Place
	refusal *fault.Error
	decided chan struct{}
	element *list.Element
	queue   *workspaceQueue
}

// workspaceQueue is the queue of one workspace within a fairQueue.
type workspaceQueue struct {
	workspace string
	waiters   *list.List
	// credit is how many requests the workspace may still have admitted in this round.
	credit int
	// element is the queue's position in the rotation; nil when the queue is empty.
	element *list.Element
}

// fairQueue shares places among workspaces by deficit round robin.
type fairQueue struct {
	byWorkspace map[string]*workspaceQueue
	rotation    *list.List
	count       int
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

// front returns the waiter to serve next, or nil if there is none.
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

// pop removes and returns the waiter to serve next.
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

// oldest returns the longest waiting of the first waiters of all workspaces.
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

// queues holds the urgent and the deferrable requests.
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

// pop removes and returns the next waiter. Urgent ones go first, except that a deferrable one that
// has waited for the patience time goes before them, so that it is never starved.
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

// overdueDeferrable returns the oldest deferrable waiter if it has waited for the patience time.
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

// ahead returns how many waiters would be served before a request that is queued now: those of its
// class, for at most as many rounds as its workspace's own queue is long, and before a deferrable
// request all urgent ones.
func (q *queues) ahead(ticket Ticket) int {
	count := q.queueFor(ticket).countAhead(ticket, 0)
	if ticket.Deferrable {
		count += q.urgent.count
	}
	return count
}

// aheadOf returns how many waiters are served before one that has just been queued.
func (c *fairQueue) aheadOf(w *waiter) int {
	return c.countAhead(w.ticket, 1)
}

// countAhead returns how many waiters are served before the last request of a workspace. ownPlaces
// is how many places of the workspace's queue belong to that request itself.
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
