package observe

import (
	"sync"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/capersaddle/capersaddle/internal/gateway"
)

const (
	namespace = "capersaddle_gateway"
	// maxWorkspaces bounds the workspaces with label values of their own. The others share
	// otherLabel.
	maxWorkspaces = 100
	// maxVersions bounds the versions of all services with label values of their own. The others
	// share otherLabel. Each service has one or two versions at a time, and old ones keep their
	// series.
	maxVersions = 100
	otherLabel  = "other"
)

// Values of the label "notice".
const (
	noticeLeaving    = "leaving"
	noticeRest       = "rest"
	noticeUnreadable = "unreadable"
)

// Metrics holds the counters and histograms of a gateway.
type Metrics struct {
	requestSeconds  *prometheus.HistogramVec
	firstSeconds    *prometheus.HistogramVec
	requests        *prometheus.CounterVec
	attempts        *prometheus.CounterVec
	versionAttempts *prometheus.CounterVec
	retries         *prometheus.CounterVec
	retriesDenied   *prometheus.CounterVec
	holderLookups   *prometheus.CounterVec
	resumedStreams  *prometheus.CounterVec
	prompts         *prometheus.CounterVec
	storeCalls      *prometheus.CounterVec
	replicas        *prometheus.CounterVec
	badValues       prometheus.Counter
	targetEnds      prometheus.Counter
	crashes         prometheus.Counter
	healthAsks      *prometheus.CounterVec
	notices         *prometheus.CounterVec
	callersEnded    *prometheus.CounterVec
	configVersion   prometheus.Gauge

	workspaces boundedLabel
	versions   boundedLabel
}

// boundedLabel bounds the number of values of a label that have a series of their own.
type boundedLabel struct {
	limit int
	mu    sync.Mutex
	known map[string]bool
}

// value returns the label value for a name: the name itself if it is among the first ones up to the
// limit, otherwise otherLabel.
func (b *boundedLabel) value(name string) string {
	return b.valueOf(name, name)
}

// valueOf does the same for a name that is unique only as part of a key.
func (b *boundedLabel) valueOf(key, name string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.known[key] {
		return name
	}
	if len(b.known) >= b.limit {
		return otherLabel
	}
	if b.known == nil {
		b.known = make(map[string]bool)
	}
	b.known[key] = true
	return name
}

// NewMetrics registers the metrics of a gateway.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	m := &Metrics{
		requestSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "request_seconds",
			Help:    "Time of requests from arrival to the end of the answer.",
			Buckets: []float64{0.01, 0.03, 0.1, 0.3, 1, 3, 10},
		}, []string{"workspace", "kind"}),
		firstSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "first_seconds",
			Help:    "Time of answered requests from arrival to the head of the answer.",
			Buckets: []float64{0.01, 0.03, 0.1, 0.3, 0.6, 1.2, 5},
		}, []string{"kind"}),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "requests_total",
			Help: "Requests by how they ended.",
		}, []string{"ending"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "attempts_total",
			Help: "Attempts at targets by service and outcome.",
		}, []string{"service", "outcome"}),
		versionAttempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "version_sendings_total",
			Help: "Sendings to targets that state a version, by service, version and result.",
		}, []string{"service", "version", "result"}),
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "retries_total",
			Help: "Attempts that a target received after an earlier one had been received, by service and outcome of the earlier one.",
		}, []string{"service", "after"}),
		retriesDenied: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "retries_denied_total",
			Help: "Requests that ended without a further attempt that they might have had, by service and reason.",
		}, []string{"service", "reason"}),
		holderLookups: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "holder_questions_total",
			Help: "Questions to other gateways for where a prompt is cached, by outcome.",
		}, []string{"outcome"}),
		resumedStreams: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "resumed_streams_total",
			Help: "Requests that resumed a stream, by how the version that began it became known.",
		}, []string{"source"}),
		prompts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "prompts_total",
			Help: "Prompts sent to targets, by how these were expected to come to the shared parts.",
		}, []string{"source"}),
		storeCalls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "store_calls_total",
			Help: "Calls to the platform's store by call and outcome.",
		}, []string{"call", "outcome"}),
		replicas: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "replicas_fetched_total",
			Help: "Fetches of the store's content from other gateways by outcome.",
		}, []string{"outcome"}),
		badValues: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "store_values_unreadable_total",
			Help: "Values of the store that could not be read.",
		}),
		healthAsks: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "health_questions_total",
			Help: "Questions to silent targets about their health, by answer.",
		}, []string{"answer"}),
		targetEnds: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "target_ends_total",
			Help: "Targets that ended without a plan while requests of this gateway were under way there.",
		}),
		crashes: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "crashed_requests_total",
			Help: "Requests that were under way at targets that ended without a plan.",
		}),
		notices: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "target_notices_total",
			Help: "What targets have said of themselves in answers and was not known yet, by service.",
		}, []string{"service", "notice"}),
		callersEnded: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "caller_connections_ended_total",
			Help: "Connections of callers that were ended because of a limit of the process, by reason.",
		}, []string{"reason"}),
		configVersion: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: namespace, Name: "config_version",
			Help: "Version of the configuration in force.",
		}),
		workspaces: boundedLabel{limit: maxWorkspaces},
		versions:   boundedLabel{limit: maxVersions},
	}
	registry.MustRegister(m.requestSeconds, m.firstSeconds, m.requests, m.attempts, m.versionAttempts, m.retries, m.retriesDenied, m.holderLookups, m.resumedStreams, m.prompts, m.storeCalls, m.replicas, m.badValues, m.targetEnds, m.crashes, m.healthAsks, m.notices, m.callersEnded, m.configVersion)
	return m
}

func (m *Metrics) recordRequest(record *gateway.RequestRecord) {
	m.requests.WithLabelValues(record.Ending).Inc()
	m.requestSeconds.WithLabelValues(m.workspaces.value(record.Workspace), record.Kind).Observe(record.Took.Seconds())
	if record.TimeToHead > 0 {
		m.firstSeconds.WithLabelValues(record.Kind).Observe(record.TimeToHead.Seconds())
	}
	if record.HolderLookup != "" {
		m.holderLookups.WithLabelValues(string(record.HolderLookup)).Inc()
	}
	if record.OriginSource != "" {
		m.resumedStreams.WithLabelValues(string(record.OriginSource)).Inc()
	}
	m.recordRetries(record)
	for _, attempt := range record.Attempts {
		m.attempts.WithLabelValues(record.Service, attempt.Outcome).Inc()
		if attempt.Version != "" {
			version := m.versions.valueOf(record.Service+" "+attempt.Version, attempt.Version)
			m.versionAttempts.WithLabelValues(record.Service, version, attempt.Outcome).Inc()
		}
		if attempt.Source != "" {
			m.prompts.WithLabelValues(string(attempt.Source)).Inc()
		}
	}
}

// recordRetries counts what targets received beyond the first attempt, which the retry budget limits.
func (m *Metrics) recordRetries(record *gateway.RequestRecord) {
	earlier := ""
	for _, attempt := range record.Attempts {
		if !attempt.Received() {
			continue
		}
		if earlier != "" {
			m.retries.WithLabelValues(record.Service, earlier).Inc()
		}
		earlier = attempt.Outcome
	}
	if record.RetryDenial != "" && record.Ending != gateway.EndingAnswered {
		m.retriesDenied.WithLabelValues(record.Service, string(record.RetryDenial)).Inc()
	}
}

// Gauges are functions that are called when the metrics are collected.
type Gauges struct {
	// ProofAge is the age in seconds of the proof that the configuration is the newest; -1 for
	// none.
	ProofAge func() float64
	Peers    func() float64
	Sent     func() float64
	Received func() float64
	InFlight func() float64
	// Waiting counts the requests that wait for capacity at their service.
	Waiting func() float64
	// MemoryLimit is the memory that the process may use, in bytes; zero if it is not known.
	MemoryLimit func() float64
	// Lag is the delay with which timers of this process fire, in seconds.
	Lag func() float64
	// Resting counts the targets that accept nothing from this gateway for a while. Leaving counts
	// those that are known to leave only from their responses.
	Resting func() float64
	Leaving func() float64
	// Evacuated counts the data centres to which nothing is sent.
	Evacuated func() float64
	// HeldBack counts the requests that are sent to no target, because targets crashed while they
	// ran them.
	HeldBack func() float64
	// Held is the number of bytes held for callers.
	Held func() float64
	// NewStreamRecords, HandedOverStreamRecords and UnneededStreamRecords count the records of streams
	// that wait to be sent to other gateways: of streams that have just begun, for gateways that have
	// become their keepers, and while one version of a service is known to serve.
	NewStreamRecords, HandedOverStreamRecords, UnneededStreamRecords func() float64
}

// streamRecords returns the gauge of the records of streams that wait for a cause.
func streamRecords(cause string, value func() float64) prometheus.Collector {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: namespace, Name: "stream_records_waiting",
		Help:        "Records of streams that wait to be sent to other gateways.",
		ConstLabels: prometheus.Labels{"cause": cause},
	}, value)
}

// RegisterGauges registers the metrics of a gateway's state.
func RegisterGauges(registry prometheus.Registerer, gauges Gauges) {
	registry.MustRegister(
		streamRecords("new", gauges.NewStreamRecords),
		streamRecords("handed_over", gauges.HandedOverStreamRecords),
		streamRecords("one_version", gauges.UnneededStreamRecords),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: namespace, Name: "proof_age_seconds",
			Help: "Age of the proof that the configuration is the newest; -1 for none.",
		}, gauges.ProofAge),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: namespace, Name: "peers",
			Help: "Other gateways heard lately.",
		}, gauges.Peers),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Namespace: namespace, Name: "peer_bytes_sent_total",
			Help: "Bytes of beats sent to other gateways.",
		}, gauges.Sent),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Namespace: namespace, Name: "peer_bytes_received_total",
			Help: "Bytes of beats received from other gateways.",
		}, gauges.Received),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: namespace, Name: "in_flight",
			Help: "This gateway's requests at targets.",
		}, gauges.InFlight),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: namespace, Name: "resting_targets",
			Help: "Targets that want nothing from this gateway for a while.",
		}, gauges.Resting),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: namespace, Name: "leaving_targets",
			Help: "Targets that have said in an answer that they leave, and whose entries don't.",
		}, gauges.Leaving),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: namespace, Name: "waiting",
			Help: "Requests that wait for room at their service.",
		}, gauges.Waiting),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: namespace, Name: "memory_limit_bytes",
			Help: "Memory that the process may use; 0 if it is not known.",
		}, gauges.MemoryLimit),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: namespace, Name: "lag_seconds",
			Help: "How late this process's own timers fire.",
		}, gauges.Lag),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: namespace, Name: "evacuated_data_centers",
			Help: "Data centres whose targets get nothing, as the operators want it.",
		}, gauges.Evacuated),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: namespace, Name: "held_back_requests",
			Help: "Requests that are sent to no target, since targets ended under them.",
		}, gauges.HeldBack),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: namespace, Name: "held_bytes",
			Help: "Bytes held for callers, of answers that they have not read and of their requests.",
		}, gauges.Held),
	)
}
