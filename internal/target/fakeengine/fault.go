package fakeengine

// Fault describes a failure of one request; the zero value is no failure.
type Fault struct {
	// Refuse fails the request before anything runs.
	Refuse bool `json:"refuse"`
	// Hang accepts the request and never generates a piece.
	Hang bool `json:"hang"`
	// LateSteps is the number of steps to wait before the first piece.
	LateSteps int `json:"late_steps"`
	// CutAfter is the number of this request's pieces after which the stream breaks.
	CutAfter int `json:"cut_after"`
}

// Inject queues faults; each of the next requests takes one.
func (e *Engine) Inject(faults ...Fault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = append(e.faults, faults...)
}

// nextFault removes and returns the next queued fault; e.mu is held.
func (e *Engine) nextFault() Fault {
	if len(e.faults) == 0 {
		return Fault{}
	}
	fault := e.faults[0]
	e.faults = e.faults[1:]
	return fault
}
