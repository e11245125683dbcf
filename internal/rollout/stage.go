package rollout

import "time"

// Stage is what gateways may send to the version of a running order.
type Stage int

// The stages.
const (
	// Hold: no requests. It applies to a gateway without a valid grant.
	Hold Stage = iota
	// Canary: a share of the requests.
	Canary
	// Move: all new requests, and none to other versions.
	Move
)

// String returns the stage's name for operators.
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

// End is how an order has ended, before its record is available.
type End int

// The ends.
const (
	// Open: it has not ended.
	Open End = iota
	// Halted: the version gets no more requests.
	Halted
	// Done: the store has the completion.
	Done
)

// Report is what a gateway sends to the one that decides about a service. Its counts are totals
// over the sender's incarnation and the order, so that a lost report does no harm.
type Report struct {
	// Incarnation identifies one run of the sender; its totals restart with each run.
	Incarnation uint64
	// Service is the upper half of the hash of the service's name.
	Service uint32
	// Order is the order's revision.
	Order int64
	// Age is how long the sender has known the order.
	Age time.Duration
	// Stage is the one that the sender applies.
	Stage Stage
	// Others is the number of its requests in flight at other versions.
	Others int
	// Requests and Exposed count the sender's requests to the service, and those among them to
	// the order's version.
	Requests, Exposed int
	// Tallies are limited in number: the routes and targets with the most new answers come first.
	Tallies []Tally
}

// Tally counts answers on one route.
type Tally struct {
	// Route is the upper half of the hash of the route's name.
	Route uint32
	// Target is the upper half of the hash of the ID of a target of the order's version. Zero
	// stands for all targets of other versions together.
	Target uint32
	// Answers counts those that are evidence about the version; Failed and Slow are included.
	Answers, Failed, Slow int
}

// Grant is the answer to a report. It is valid for a limited time from the sending of the report:
// a gateway that gets no answers stops by itself, whatever the cause.
type Grant struct {
	// Service is the upper half of the hash of the service's name, as in Report.
	Service uint32
	Order   int64
	Stage   Stage
	// Age is how long the order has been known to the gateway that has known it longest.
	Age time.Duration
	// For is how long the grant is valid from the sending of the report. It is zero for an
	// unsolicited notice, of which only End counts.
	For time.Duration
	// End is how the order has ended, if it has.
	End End
	// Wanted are the routes whose samples are still too small, hashed as in Tally.
	Wanted []uint32
}
