package observe_test

import (
	"io"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/capersaddle/capersaddle/internal/gateway"
	"github.com/capersaddle/capersaddle/internal/observe"
)

// countsBy returns the values of a counter by the values of one of its labels.
func countsBy(is *is.I, registry *prometheus.Registry, name, label string) map[string]float64 {
	families, err := registry.Gather()
	is.NoErr(err)
	counts := make(map[string]float64)
	for _, family := range families {
		if family.GetName() != name {
			continue
		}
		for _, metric := range family.GetMetric() {
			for _, pair := range metric.GetLabel() {
				if pair.GetName() == label {
					counts[pair.GetValue()] += metric.GetCounter().GetValue()
				}
			}
		}
	}
	return counts
}

// TestRetriesAreCounted checks that the retries counted are those that targets received, by what
// they followed, and that denied ones are counted by reason.
func TestRetriesAreCounted(t *testing.T) {
	cases := map[string]struct {
		outcomes []string
		denial   gateway.RetryDenial
		ending   string
		retries  map[string]float64
		denied   map[string]float64
	}{
		"one attempt":             {[]string{"answered"}, "", "answered", map[string]float64{}, map[string]float64{}},
		"two received":            {[]string{"lost", "answered"}, "", "answered", map[string]float64{"lost": 1}, map[string]float64{}},
		"misdirected twice":       {[]string{"misdirected", "misdirected", "answered"}, "", "answered", map[string]float64{"misdirected": 2}, map[string]float64{}},
		"nothing received before": {[]string{"unsent", "unsent", "answered"}, "", "answered", map[string]float64{}, map[string]float64{}},
		"unsent in between":       {[]string{"rejected", "unsent", "answered"}, "", "answered", map[string]float64{"rejected": 1}, map[string]float64{}},
		"no budget":               {[]string{"rejected"}, gateway.DeniedBudget, "overloaded", map[string]float64{}, map[string]float64{"budget": 1}},
		"answered all the same":   {[]string{"answered"}, gateway.DeniedBudget, "answered", map[string]float64{}, map[string]float64{}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			registry := prometheus.NewRegistry()
			observer := observe.New(log.New(io.Discard), observe.NewMetrics(registry))
			request := record(tc.ending)
			request.Attempts = nil
			for _, outcome := range tc.outcomes {
				request.Attempts = append(request.Attempts, gateway.AttemptRecord{Outcome: outcome})
			}
			request.RetryDenial = tc.denial
			observer.Request(request)
			is.Equal(countsBy(is, registry, "capersaddle_gateway_retries_total", "after"), tc.retries)
			is.Equal(countsBy(is, registry, "capersaddle_gateway_retries_denied_total", "reason"), tc.denied)
		})
	}
}
