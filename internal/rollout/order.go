package rollout

import "time"

// Order is the operators' request to move the traffic of a service to a version.
type Order struct {
	Service string
	// Version is the version to move the traffic to; not empty.
	Version string
	// Duration is the time from the order to its deadline; positive.
	Duration time.Duration
	// Revision is the order's revision in the store. A later order has a larger one, even if it
	// repeats an earlier order.
	Revision int64
}
