package balance

import "time"

// Notice is what a target says of itself in the heads of its answers, beside its load.
type Notice struct {
	// Leaving says that it will end, and wants nothing new from anyone.
	Leaving bool
	// Rest is for how long it wants nothing from the gateway that it has turned away; zero
	// is not said.
	Rest time.Duration
	// Unreadable is what it says in place of such a time; empty if it is one, or nothing.
	Unreadable string
}

// Join is what two answers of the same target say together.
func (n Notice) Join(other Notice) Notice {
	if n.Unreadable == "" {
		n.Unreadable = other.Unreadable
	}
	n.Leaving = n.Leaving || other.Leaving
	n.Rest = max(n.Rest, other.Rest)
	return n
}
