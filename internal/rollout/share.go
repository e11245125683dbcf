package rollout

import "math/rand/v2"

// sampledRoutePart is the part of the share, as a ratio, that routes get whose sample is large
// enough. At a share of a tenth of the requests that is one request in forty, which still shows a
// version that turns bad late and leaves three quarters of the share for the move.
const sampledRoutePart = 0.25

// maxSaved is how many requests a gateway may save up for a route that is undersampled again.
// With the usual number of gateways, more would flood a version that has just begun to look bad.
const maxSaved = 2.0

// shareTolerance is the rounding error allowed in a whole request, as tenths don't add up to
// exactly one.
const shareTolerance = 1e-9

// Share is one gateway's part of the share: its requests to the version stay at or below the
// ratio times its requests to the service. The total over all gateways therefore stays below it
// too, without any messages. It is not safe for concurrent use.
type Share struct {
	ratio float64
	// requests counts all requests to the service. exposed counts those to the version, including
	// reservations. exposed <= ratio * requests always holds.
	requests, exposed int
	// saved is the number of requests that may be taken now, at most maxSaved.
	saved float64
	// random returns a number in [0, 1). Gateways must not sample a sampled route at the same
	// count of requests: with few requests each, none would reach it within the time of an order.
	random func() float64
}

// NewShare returns the share of a gateway that has sent nothing yet. The ratio is the number of
// requests to the version per request to the service, clamped to [0, 1].
func NewShare(ratio float64) *Share {
	return &Share{ratio: min(max(ratio, 0), 1), random: rand.Float64}
}

// CountRequest counts one request to the service, whatever its version.
func (s *Share) CountRequest() {
	s.requests++
	s.saved = min(s.saved+s.ratio, maxSaved)
}

// Reserve takes one request from the share and reports whether a request of this route goes to
// the version now. The request itself isn't counted yet, since it may end up unsent. Routes that
// are not wanted, as their sample is large enough, get a small part only.
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

// Release returns a reservation that was not used.
func (s *Share) Release() {
	if s.exposed > 0 {
		s.exposed--
		s.saved = min(s.saved+1, maxSaved)
	}
}

// Totals returns the numbers of requests to the service and to the version. The latter includes
// reservations.
func (s *Share) Totals() (requests, exposed int) {
	return s.requests, s.exposed
}
