// Package metric counts what a router does. Histograms are kept for each
// workspace and class; their number is bounded, see mostWorkspaces.
package metric

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

const (
	// mostWorkspaces bounds the label values of workspaces on one router: the
	// first so many that send requests get their own series, the rest share
	// the value other. Each router sees only a sliver of 5,000 workspaces.
	mostWorkspaces = 200
	// otherWorkspace is the shared value.
	otherWorkspace = "other"
	namespace      = "capersaddle"
)

// Router is the metrics of one router.
type Router struct {
	requests *prometheus.HistogramVec
	first    *prometheus.HistogramVec
	failures *prometheus.CounterVec
	retries  *prometheus.CounterVec
	pieces   prometheus.Counter

	mu    sync.Mutex
	known map[string]bool
}

// NewRouter registers a router's metrics.
func NewRouter(registry prometheus.Registerer) *Router {
	m := &Router{
		requests: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace,
			Name:      "request_seconds",
			Help:      "Time of requests from arrival to the end of the answer.",
			Buckets:   []float64{0.005, 0.025, 0.1, 0.25, 0.5, 1, 2.5, 10, 30, 120},
		}, []string{"workspace", "class"}),
		first: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace,
			Name:      "first_piece_seconds",
			Help:      "Time from a chat's arrival to its first piece.",
			Buckets:   []float64{0.005, 0.02, 0.05, 0.1, 0.2, 0.39, 0.8, 2, 10},
		}, []string{"workspace", "class"}),
		failures: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace,
			Name:      "failures_total",
			Help:      "Requests that ended with an error, by kind.",
		}, []string{"kind"}),
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace,
			Name:      "retries_total",
			Help:      "Further attempts, by the kind of what came before.",
		}, []string{"reason"}),
		pieces: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace,
			Name:      "pieces_total",
			Help:      "Pieces of chat answers passed to callers.",
		}),
		known: make(map[string]bool),
	}
	registry.MustRegister(m.requests, m.first, m.failures, m.retries, m.pieces)
	return m
}

// label bounds the values of the workspace label.
func (m *Router) label(workspace string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.known[workspace] {
		return workspace
	}
	if len(m.known) >= mostWorkspaces {
		return otherWorkspace
	}
	m.known[workspace] = true
	return workspace
}

// Request notes a request's end.
func (m *Router) Request(workspace, class, kind string, total time.Duration) {
	m.requests.WithLabelValues(m.label(workspace), class).Observe(total.Seconds())
	if kind != "" {
		m.failures.WithLabelValues(kind).Inc()
	}
}

// First notes the time to a chat's first piece.
func (m *Router) First(workspace, class string, wait time.Duration) {
	m.first.WithLabelValues(m.label(workspace), class).Observe(wait.Seconds())
}

// Retry notes a further attempt.
func (m *Router) Retry(reason string) {
	m.retries.WithLabelValues(reason).Inc()
}

// Pieces notes pieces passed on.
func (m *Router) Pieces(count int) {
	m.pieces.Add(float64(count))
}

// Gauge registers a value that is read when asked for.
func Gauge(registry prometheus.Registerer, name, help string, read func() float64) {
	registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: namespace,
		Name:      name,
		Help:      help,
	}, read))
}
