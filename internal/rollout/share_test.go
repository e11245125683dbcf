package rollout

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestShareIsNeverExceeded checks that requests and reservations stay within the share for any
// sequence of calls.
func TestShareIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ratio := rapid.Float64Range(-0.5, 1.5).Draw(t, "ratio")
		share := NewShare(ratio)
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		share.random = random.Float64
		requests, exposed := 0, 0
		for _, step := range rapid.SliceOf(rapid.IntRange(0, 3)).Draw(t, "steps") {
			switch step {
			case 0, 1:
				share.CountRequest()
				requests++
			case 2:
				if share.Reserve(rapid.Uint32Range(0, 3).Draw(t, "route"), rapid.Bool().Draw(t, "wanted")) {
					exposed++
				}
			case 3:
				share.Release()
				exposed = max(exposed-1, 0)
			}
			gotRequests, gotExposed := share.Totals()
			if gotRequests != requests || gotExposed != exposed {
				t.Fatalf("got %d of %d, want %d of %d", gotExposed, gotRequests, exposed, requests)
			}
			if step == 2 && float64(exposed) > max(ratio, 0)*float64(requests) {
				t.Fatalf("%d of %d requests exceed the ratio %g", exposed, requests, ratio)
			}
		}
	})
}

func TestShareOfRoutes(t *testing.T) {
	const requests = 20_000
	tests := map[string]struct {
		ratio     float64
		wanted    bool
		low, high int
	}{
		"an undersampled route gets the whole share": {0.1, true, requests / 10, requests / 10},
		"a sampled route gets a quarter of it":       {0.1, false, requests/40 - 70, requests/40 + 70},
		"no share":                                   {0, true, 0, 0},
		"no share, sampled route":                    {0, false, 0, 0},
		"a negative share is zero":                   {-1, true, 0, 0},
		"a share above one is one":                   {7, true, requests, requests},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			share := NewShare(test.ratio)
			share.random = rand.New(rand.NewPCG(3, 3)).Float64
			for range requests {
				share.CountRequest()
				share.Reserve(1, test.wanted)
			}
			_, exposed := share.Totals()
			is.True(exposed >= test.low)  // too little
			is.True(exposed <= test.high) // too much
		})
	}
}

// TestShareRelease checks that a released reservation can be taken again, and that no more than
// the reserved ones are released.
func TestShareRelease(t *testing.T) {
	is := is.New(t)
	share := NewShare(0.5)
	share.CountRequest()
	share.CountRequest()
	is.True(share.Reserve(1, true))
	is.True(!share.Reserve(1, true)) // the share is one of two requests
	share.Release()
	is.True(share.Reserve(1, true))
	share.Release()
	share.Release()
	_, exposed := share.Totals()
	is.Equal(exposed, 0)
}

// TestShareRounding checks that only a rounding error is ignored, and no real deficit of a whole
// request.
func TestShareRounding(t *testing.T) {
	is := is.New(t)
	share := NewShare(0.1 - 1e-11)
	for range 10 {
		share.CountRequest()
	}
	is.True(!share.Reserve(1, true))
	share.CountRequest()
	is.True(share.Reserve(1, true))
}

// TestShareLimitsSavings checks that a share that was not used for long isn't all available at
// once.
func TestShareLimitsSavings(t *testing.T) {
	is := is.New(t)
	share := NewShare(0.1)
	for range 10_000 {
		share.CountRequest()
	}
	taken := 0
	for share.Reserve(1, true) {
		taken++
	}
	is.Equal(taken, int(maxSaved))
}

// TestSampledRoutesDifferBetweenGateways checks that gateways sample a sampled route at different
// requests, although they run the same code.
func TestSampledRoutesDifferBetweenGateways(t *testing.T) {
	is := is.New(t)
	first := make(map[int]bool)
	for seed := range uint64(20) {
		share := NewShare(0.1)
		share.random = rand.New(rand.NewPCG(seed, 5)).Float64
		for request := 1; ; request++ {
			share.CountRequest()
			if share.Reserve(1, false) {
				first[request] = true
				break
			}
		}
	}
	is.True(len(first) > 10)
}
