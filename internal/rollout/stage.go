package rollout

import "time"

// Stage is what gateways may send to the version of a running order.
type Stage int

// The stages.
const (
	// Hold: nothing. It is what a gateway obeys that has no valid grant.
	Hold Stage = iota
	// Canary: a share of the requests.
	Canary
	// Move: all new requests, and nothing to other versions.
	Move
)

// String names the stage for operators.
func (s Stage) String() string {
	switch s {
	case Canary:
		return "canary"
	case Move:
		return "move"
	default:
		return "hold"
	}
}

// End is what has become of an order, ahead of its record.
type End int

// The ends.
const (
	// Open: nothing yet.
	Open End = iota
	// Halted: the version gets nothing any more.
	Halted
	// Done: the store has the completion.
	Done
)

// Report is what a gateway tells the one that decides about a service. Its counts are
// sums over the sender's life and over the order, so that a lost report costs nothing.
type Report struct {
	// Life names one run of the sender: its sums begin anew with it.
	Incarnation uint64
	// Service is the upper half of the hash of its name.
	Service uint32
	// Order is the order's revision.
	Order int64
	// Age is how long the sender has known the order.
	Age time.Duration
	// Stage is the one that the sender obeys.
	Stage Stage
	// Others is how many of its requests are under way at other versions.
	Others int
	// Requests and Exposed count its sendings to the service, and those of them to the
	// order's version.
	Requests, Exposed int
	// Tallies are bounded: the routes and targets with the most news come first.
	Tallies []Tally
}

// Tally counts answers on one route.
type Tally struct {
	// Route is the upper half of the hash of the route's name.
	Route uint32
	// Target is the upper half of the hash of the id of a target of the order's version;
	// zero stands for all targets of other versions together.
	Target uint32
	// Answers are those that say something of the version; Failed and Slow are among them.
	Answers, Failed, Slow int
}

// Grant is the answer to a report. It holds for a bounded time from the moment at which
// the report was sent: a gateway that gets no answers stops by itself, whatever the
// reason.
type Grant struct {
	// Service is named as in Report.
	Service uint32
	Order   int64
	Stage   Stage
	// Age is how long the order has been known by the gateway that has known it longest.
	Age time.Duration
	// For is how long the grant holds from the sending of the report; zero for a notice
	// that was not asked for, of which only End counts.
	For time.Duration
	// End is what has become of the order.
	End End
	// Wanted are the routes whose samples are too small yet, named as in Tally.
	Wanted []uint32
}
