package observe

import (
	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/capersaddle/capersaddle/internal/rollout"
)

// rolloutEvents maps the steps of rollouts to events of the log.
var rolloutEvents = map[rollout.StepKind]string{
	rollout.StepOrdered:      EventRolloutOrdered,
	rollout.StepStage:        EventRolloutStage,
	rollout.StepHalted:       EventRolloutHalted,
	rollout.StepRecorded:     EventRolloutRecorded,
	rollout.StepCommitFailed: EventRolloutCommitFailed,
}

// RolloutStep logs a step of a rollout with the figures on which it was decided.
func (o *Observer) RolloutStep(step rollout.Step) {
	fields := []any{"service", step.Service, "version", step.Version, "order", step.Order, "age_ms", wholeMillis(step.Age), "requests", step.Requests, "exposed", step.Exposed}
	if step.Kind == rollout.StepStage || step.Kind == rollout.StepHalted {
		fields = append(fields, "stage", step.Stage.String())
	}
	if step.State != "" {
		fields = append(fields, "state", string(step.State))
	}
	if step.Reason != "" {
		fields = append(fields, "reason", step.Reason)
	}
	if step.Err != nil {
		fields = append(fields, "error", step.Err.Error())
	}
	level := log.InfoLevel
	if step.Kind == rollout.StepHalted || step.Kind == rollout.StepCommitFailed {
		level = log.WarnLevel
	}
	o.log.Log(level, rolloutEvents[step.Kind], fields...)
}

// rolloutStates and rolloutStages are the values of the gauges of a rollout.
var (
	rolloutStates = map[rollout.State]float64{rollout.Running: 0, rollout.Completed: 1, rollout.RolledBack: 2}
	rolloutStages = map[string]float64{rollout.Hold.String(): 0, rollout.Canary.String(): 1, rollout.Move.String(): 2}
)

// rolloutMetrics reads the rollouts when the metrics are collected. Each service has one series,
// for the version of its last order, so that past versions leave no series behind.
type rolloutMetrics struct {
	list                       func() []rollout.Status
	state, stage, share, count *prometheus.Desc
}

// RegisterRollouts registers the metrics of the rollouts that a gateway knows.
func RegisterRollouts(registry prometheus.Registerer, list func() []rollout.Status) {
	describe := func(name, help string) *prometheus.Desc {
		return prometheus.NewDesc(prometheus.BuildFQName(namespace, "rollout", name), help, []string{"service", "version"}, nil)
	}
	registry.MustRegister(&rolloutMetrics{
		list:  list,
		state: describe("state", "State of the last order: 0 running, 1 completed, 2 rolled back."),
		stage: describe("stage", "What this gateway may send to the version: 0 nothing, 1 a share, 2 all."),
		share: describe("exposed_share", "Share of the service's requests since the order that went to the version."),
		count: describe("requests", "Requests to the service since the order, of all gateways where this one decides."),
	})
}

// Describe implements prometheus.Collector.
func (m *rolloutMetrics) Describe(descriptions chan<- *prometheus.Desc) {
	for _, description := range []*prometheus.Desc{m.state, m.stage, m.share, m.count} {
		descriptions <- description
	}
}

// Collect implements prometheus.Collector. It sends the state of every last order, and the other
// metrics for running ones only.
func (m *rolloutMetrics) Collect(metrics chan<- prometheus.Metric) {
	for _, status := range m.list() {
		if status.Version == "" {
			continue // a service without an order
		}
		gauge := func(description *prometheus.Desc, value float64) {
			metrics <- prometheus.MustNewConstMetric(description, prometheus.GaugeValue, value, status.Service, status.Version)
		}
		gauge(m.state, rolloutStates[status.State])
		if status.State != rollout.Running {
			continue
		}
		share := 0.0
		if status.Requests > 0 {
			share = float64(status.Exposed) / float64(status.Requests)
		}
		gauge(m.stage, rolloutStages[status.Stage])
		gauge(m.share, share)
		gauge(m.count, float64(status.Requests))
	}
}
