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

func (f *fairQueue) push(w *waiter) {
	q, ok := f.byWorkspace[w.ticket.Workspace]
	if !ok {
		q = &workspaceQueue{workspace: w.ticket.Workspace, waiters: list.New()}
		q.element = f.rotation.PushBack(q)
		f.byWorkspace[q.workspace] = q
	}
	w.queue = q
	w.element = q.waiters.PushBack(w)
	f.count++
}

// front returns the waiter to serve next, or nil if there is none.
func (f *fairQueue) front() *waiter {
	front := f.rotation.Front()
	if front == nil {
		return nil
	}
	q := front.Value.(*workspaceQueue)
	first := q.waiters.Front().Value.(*waiter)
	if q.credit == 0 {
		q.credit = max(first.ticket.Share, 1)
	}
	return first
}

// pop removes and returns the waiter to serve next.
func (f *fairQueue) pop() *waiter {
	w := f.front()
	if w == nil {
		return nil
	}
	q := w.queue
	q.credit--
	f.remove(w)
	if q.credit == 0 && q.waiters.Len() > 0 {
		f.rotation.MoveToBack(q.element)
	}
	return w
}

func (f *fairQueue) remove(w *waiter) {
	q := w.queue
	q.waiters.Remove(w.element)
	f.count--
	if q.waiters.Len() == 0 {
		f.rotation.Remove(q.element)
		delete(f.byWorkspace, q.workspace)
	}
}

// oldest returns the longest waiting of the first waiters of all workspaces.
func (f *fairQueue) oldest() *waiter {
	var oldest *waiter
	for element := f.rotation.Front(); element != nil; element = element.Next() {
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

// ahead returns how many waiters would be served before a request that is queued now. In its own
// fairQueue these are at most those of as many rounds as its workspace's queue is long. Before a
// deferrable request all urgent ones are served as well.
func (q *queues) ahead(ticket Ticket) int {
	count := q.queueFor(ticket).countAhead(ticket, 0)
	if ticket.Deferrable {
		count += q.urgent.count
	}
	return count
}

// aheadOf returns how many waiters are served before one that has just been queued.
func (f *fairQueue) aheadOf(w *waiter) int {
	return f.countAhead(w.ticket, 1)
}

// countAhead returns how many waiters are served before the last request of a workspace. ownPlaces
// is how many places of the workspace's queue belong to that request itself.
func (f *fairQueue) countAhead(ticket Ticket, ownPlaces int) int {
	own := -ownPlaces
	if q, ok := f.byWorkspace[ticket.Workspace]; ok {
		own += q.waiters.Len()
	}
	own = max(own, 0)
	share := max(ticket.Share, 1)
	rounds := own/share + 1
	count := own
	for name, q := range f.byWorkspace {
		if name == ticket.Workspace {
			continue
		}
		weight := max(q.waiters.Front().Value.(*waiter).ticket.Share, 1)
		count += min(q.waiters.Len(), rounds*weight)
	}
	return count
}
