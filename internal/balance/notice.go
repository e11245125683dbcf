package balance

import "time"

// Notice is what a target announces about itself in the heads of its answers, apart from its
// load.
type Notice struct {
	// Leaving reports whether the target is shutting down and wants no new requests from any
	// gateway.
	Leaving bool
	// RetryAfter is the backoff that the target requests from the gateway that it rejected
	// (Retry-After); zero if it requests none.
	RetryAfter time.Duration
	// Unreadable is the invalid text in place of a backoff; empty if the backoff is valid or
	// absent.
	Unreadable string
}

// Join combines the notices of two answers of the same target.
func (n Notice) Join(other Notice) Notice {
	if n.Unreadable == "" {
		n.Unreadable = other.Unreadable
	}
	n.Leaving = n.Leaving || other.Leaving
	n.RetryAfter = max(n.RetryAfter, other.RetryAfter)
	return n
}
