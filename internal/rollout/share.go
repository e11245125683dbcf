package rollout

import "math/rand/v2"

// trickle is the part of the share, without unit, that routes get whose sample is large
// enough: at a tenth of the requests it is one in forty, which still shows a version that
// turns bad late and leaves three quarters of the share for the move.
const sampledRoutePart = 0.25

// maxSaved is how many sendings of the share a gateway saves up for a route that is
// wanted again: with as many gateways as there are, more of them would be a flood to a
// version that has just begun to look bad.
const maxSaved = 2.0

// shareTolerance is what a whole sending may lack, as tenths don't add up to one exactly.
const shareTolerance = 1e-9

// Share is one gateway's part of the share: what it has sent to the version stays at or
// below the ratio times what it has sent to the service. So the sum over all gateways
// stays below it too, without a message. It is not safe for concurrent use.
type Share struct {
	ratio float64
	// requests are all sendings to the service; exposed are those to the version,
	// together with what is reserved. exposed <= ratio * requests, always.
	requests, exposed int
	// saved are the sendings that may be taken now; at most maxSaved.
	saved float64
	// random is in [0, 1). Gateways must not take their trickle at the same count of
	// requests: with few requests each, none would come to it in the time of an order.
	random func() float64
}

// NewShare returns the part of a gateway that has sent nothing yet. The ratio is in
// requests to the version for each request to the service; outside 0 to 1 it is taken
// as the nearer of the two.
func NewShare(ratio float64) *Share {
	return &Share{ratio: min(max(ratio, 0), 1), random: rand.Float64}
}

// Request counts one sending to the service, to whatever version.
func (s *Share) CountRequest() {
	s.requests++
	s.saved = min(s.saved+s.ratio, maxSaved)
}

// Reserve takes one sending from the share if a request of this route is to go to the
// version now. The request itself isn't counted yet, since it may end up unsent. Routes
// that are not wanted, as their sample is large enough, get a trickle only.
func (s *Share) Reserve(route uint32, wanted bool) bool {
	if s.saved < 1-shareTolerance || float64(s.exposed+1) > s.ratio*float64(s.requests) {
		return false
	}
	if !wanted && s.random() >= sampledRoutePart*s.ratio {
		return false
	}
	s.exposed++
	s.saved--
	return true
}

// Return gives a reserved one back that was not sent.
func (s *Share) Release() {
	if s.exposed > 0 {
		s.exposed--
		s.saved = min(s.saved+1, maxSaved)
	}
}

// Sent are the sendings to the service and those to the version; what is reserved is
// among the latter.
func (s *Share) Totals() (requests, exposed int) {
	return s.requests, s.exposed
}
