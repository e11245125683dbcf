package observe_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/capersaddle/capersaddle/internal/gateway"
	"github.com/capersaddle/capersaddle/internal/observe"
	"github.com/capersaddle/capersaddle/internal/rollout"
)

var _ rollout.Watcher = (*observe.Observer)(nil)

func TestRolloutSteps(t *testing.T) {
	step := rollout.Step{Service: "s", Version: "v2", Order: 9, Age: 1500 * time.Millisecond, Requests: 400, Exposed: 31}
	with := func(change func(*rollout.Step)) rollout.Step {
		changed := step
		change(&changed)
		return changed
	}
	cases := map[string]struct {
		step rollout.Step
		want string
	}{
		"ordered": {
			with(func(s *rollout.Step) { s.Kind = rollout.StepOrdered }),
			`"level":"info","msg":"rollout_ordered","service":"s","version":"v2","order":9,"age_ms":1500,"requests":400,"exposed":31`,
		},
		"stage": {
			with(func(s *rollout.Step) { s.Kind, s.Stage, s.Reason = rollout.StepStage, rollout.Canary, "all are heard" }),
			`"level":"info","msg":"rollout_stage","service":"s","version":"v2","order":9,"stage":"canary","age_ms":1500,"requests":400,"exposed":31,"reason":"all are heard"`,
		},
		"halted": {
			with(func(s *rollout.Step) { s.Kind, s.Reason = rollout.StepHalted, "12 of 20 failed" }),
			`"level":"warn","msg":"rollout_halted","service":"s","version":"v2","order":9,"stage":"hold","age_ms":1500,"requests":400,"exposed":31,"reason":"12 of 20 failed"`,
		},
		"recorded": {
			with(func(s *rollout.Step) {
				s.Kind, s.Stage, s.State = rollout.StepRecorded, rollout.Move, rollout.Completed
			}),
			`"level":"info","msg":"rollout_recorded","service":"s","version":"v2","order":9,"age_ms":1500,"requests":400,"exposed":31,"state":"completed"`,
		},
		"not recorded": {
			with(func(s *rollout.Step) {
				s.Kind, s.State, s.Err = rollout.StepCommitFailed, rollout.RolledBack, errors.New("away")
			}),
			`"level":"warn","msg":"rollout_commit_failed","service":"s","version":"v2","order":9,"age_ms":1500,"requests":400,"exposed":31,"state":"rolled_back","error":"away"`,
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var out strings.Builder
			newObserver(&out).RolloutStep(tc.step)
			is.New(t).Equal(fieldsOf(t, out.String()), fieldsOf(t, "{"+tc.want+"}"))
		})
	}
}

// fieldsOf returns the fields of a line, without the time.
func fieldsOf(t *testing.T, line string) map[string]any {
	t.Helper()
	var fields map[string]any
	if err := json.Unmarshal([]byte(line), &fields); err != nil {
		t.Fatalf("%v: %s", err, line)
	}
	delete(fields, "time")
	return fields
}

// seriesOf returns the values of a metric by its label values, which are in the order of the label
// names.
func seriesOf(t *testing.T, registry *prometheus.Registry, name string) map[string]float64 {
	t.Helper()
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	series := make(map[string]float64)
	for _, family := range families {
		if family.GetName() != name {
			continue
		}
		for _, metric := range family.GetMetric() {
			var values []string
			for _, label := range metric.GetLabel() {
				values = append(values, label.GetValue())
			}
			series[strings.Join(values, " ")] = metric.GetGauge().GetValue() + metric.GetCounter().GetValue()
		}
	}
	return series
}

// TestRolloutGauges checks that each service has only the series of its last order.
func TestRolloutGauges(t *testing.T) {
	is := is.New(t)
	registry := prometheus.NewRegistry()
	var known []rollout.Status
	observe.RegisterRollouts(registry, func() []rollout.Status { return known })
	is.Equal(len(seriesOf(t, registry, "capersaddle_gateway_rollout_state")), 0)
	known = []rollout.Status{
		{Service: "s", Version: "v2", State: rollout.Running, Stage: "canary", Requests: 400, Exposed: 10},
		{Service: "t", Version: "v7", State: rollout.RolledBack, Stage: "hold"},
		{Service: "w", Version: "v9", State: rollout.Running, Stage: "hold"},
		{Service: "u"},
	}
	is.Equal(seriesOf(t, registry, "capersaddle_gateway_rollout_state"), map[string]float64{"s v2": 0, "t v7": 2, "w v9": 0})
	is.Equal(seriesOf(t, registry, "capersaddle_gateway_rollout_stage"), map[string]float64{"s v2": 1, "w v9": 0})
	is.Equal(seriesOf(t, registry, "capersaddle_gateway_rollout_exposed_share"), map[string]float64{"s v2": 0.025, "w v9": 0})
	is.Equal(seriesOf(t, registry, "capersaddle_gateway_rollout_requests"), map[string]float64{"s v2": 400, "w v9": 0})
	known = []rollout.Status{{Service: "s", Version: "v3", State: rollout.Completed, Stage: "move", Requests: 1, Exposed: 1}}
	is.Equal(seriesOf(t, registry, "capersaddle_gateway_rollout_state"), map[string]float64{"s v3": 1})
	is.Equal(len(seriesOf(t, registry, "capersaddle_gateway_rollout_stage")), 0) // the rollout has ended
	known = []rollout.Status{{Service: "s", Version: "v3", State: rollout.Running, Stage: "move", Requests: 1, Exposed: 1}}
	is.Equal(seriesOf(t, registry, "capersaddle_gateway_rollout_stage"), map[string]float64{"s v3": 2})
}

// TestVersionSeriesAreLimited checks that versions beyond the limit share one series.
func TestVersionSeriesAreLimited(t *testing.T) {
	is := is.New(t)
	registry := prometheus.NewRegistry()
	observer := observe.New(log.New(discardWriter{}), observe.NewMetrics(registry))
	send := func(version, outcome string) {
		request := record(gateway.EndingAnswered)
		request.Attempts = []gateway.AttemptRecord{{Version: version, Outcome: outcome}}
		observer.Request(request)
	}
	send("", "answered")
	send("v1", "answered")
	send("v1", "answered")
	send("v2", "failed")
	const name = "capersaddle_gateway_version_sendings_total"
	is.Equal(seriesOf(t, registry, name), map[string]float64{"answered huvo11a v1": 2, "failed huvo11a v2": 1})
	for i := range 1000 {
		send(fmt.Sprint("v", i), "answered")
	}
	series := seriesOf(t, registry, name)
	is.Equal(len(series), 102) // 100 versions, one of them with two results, and the rest
	is.Equal(series["answered huvo11a other"], 900.0)
	is.Equal(series["answered huvo11a v1"], 3.0)
}
