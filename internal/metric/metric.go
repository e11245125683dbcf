// Package metric holds the Prometheus metrics of a router. Histograms are kept by
// workspace and class; the number of workspaces with series of their own is bounded.
package metric

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

const (
	// maxWorkspaces limits the values of the workspace label on one router: the first
	// workspaces that send requests get series of their own, all others share the value other.
	// Each router sees only a small part of 5,000 workspaces.
	maxWorkspaces = 200
	// otherWorkspace is the label value of all other workspaces.
	otherWorkspace = "other"
	namespace      = "capersaddle"
)

// Router holds the metrics of one router.
type Router struct {
	requests   *prometheus.HistogramVec
	firstPiece *prometheus.HistogramVec
	failures   *prometheus.CounterVec
	retries    *prometheus.CounterVec
	pieces     prometheus.Counter

	mu      sync.Mutex
	labeled map[string]bool
}

// NewRouter registers the metrics of a router.
func NewRouter(registry prometheus.Registerer) *Router {
	m := &Router{
		requests: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace,
			Name:      "request_seconds",
			Help:      "Time of requests from arrival to the end of the answer.",
			Buckets:   []float64{0.005, 0.025, 0.1, 0.25, 0.5, 1, 2.5, 10, 30, 120},
		}, []string{"workspace", "class"}),
		firstPiece: prometheus.NewHistogramVec(prometheus.HistogramOpts{
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
		labeled: make(map[string]bool),
	}
	registry.MustRegister(m.requests, m.firstPiece, m.failures, m.retries, m.pieces)
	return m
}

// workspaceLabel returns a workspace's label value, within the limit of their number.
func (m *Router) workspaceLabel(workspace string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.labeled[workspace] {
		return workspace
	}
	if len(m.labeled) >= maxWorkspaces {
		return otherWorkspace
	}
	m.labeled[workspace] = true
	return workspace
}

// Request records the end of a request.
func (m *Router) Request(workspace, class, kind string, total time.Duration) {
	m.requests.WithLabelValues(m.workspaceLabel(workspace), class).Observe(total.Seconds())
	if kind != "" {
		m.failures.WithLabelValues(kind).Inc()
	}
}

// First records the time to a chat's first piece.
func (m *Router) First(workspace, class string, wait time.Duration) {
	m.firstPiece.WithLabelValues(m.workspaceLabel(workspace), class).Observe(wait.Seconds())
}

// Retry counts a retry.
func (m *Router) Retry(reason string) {
	m.retries.WithLabelValues(reason).Inc()
}

// Pieces counts pieces passed to callers.
func (m *Router) Pieces(count int) {
	m.pieces.Add(float64(count))
}

// Gauge registers a gauge whose value is read on each scrape.
func Gauge(registry prometheus.Registerer, name, help string, read func() float64) {
	registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: namespace,
		Name:      name,
		Help:      help,
	}, read))
}
