package fakeengine

// Fault is what goes wrong with one call; the zero value is no fault.
type Fault struct {
	// Refuse answers with an error before anything runs.
	Refuse bool `json:"refuse"`
	// Hang takes the call and never gives a piece.
	Hang bool `json:"hang"`
	// LateSteps waits so many steps before the first piece.
	LateSteps int `json:"late_steps"`
	// CutAfter breaks the stream after so many pieces of this call.
	CutAfter int `json:"cut_after"`
}

// Inject queues faults; each of the next calls takes one.
func (e *Engine) Inject(faults ...Fault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = append(e.faults, faults...)
}

// nextFault takes the next queued fault; e.mu is held.
func (e *Engine) nextFault() Fault {
	if len(e.faults) == 0 {
		return Fault{}
	}
	fault := e.faults[0]
	e.faults = e.faults[1:]
	return fault
}
