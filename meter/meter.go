// Package meter names every metric. docs/METRICS.md lists them with their units.
package meter

import (
	"encoding/json"
	"net/http"

	"github.com/rcrowley/go-metrics"

	"citronusher.example/citronusher"
)

const sampleSize = 1028 // observations kept by a histogram

// Meter holds a daemon's metrics.
type Meter struct {
	registry metrics.Registry
	refused  map[citronusher.Reason]metrics.Counter
	retried  map[citronusher.Reason]metrics.Counter
	unknown  map[citronusher.Reason]metrics.Counter

	callers      metrics.Counter
	statements   metrics.Counter
	forwarded    metrics.Counter
	allowedReads metrics.Counter
	replicaReads metrics.Counter
	primaryRuns  metrics.Counter
	rounds       metrics.Counter
	confirmed    metrics.Counter
	promotions   metrics.Counter
	probes       metrics.Counter
	notices      metrics.Counter
	fetches      metrics.Counter
	polls        metrics.Counter
	version      metrics.Gauge
	dropped      metrics.Gauge
	queued       metrics.Gauge
	connections  metrics.Gauge
	rights       metrics.Gauge
	term         metrics.Gauge
	memberTime   metrics.Histogram
	connectTime  metrics.Histogram
	confirmTime  metrics.Histogram
	hopTime      metrics.Histogram
	profiles     map[string]metrics.Histogram
	latency      metrics.Histogram
	queueWait    metrics.Histogram
}

// New returns a meter with every metric registered.
func New() *Meter {
	r := metrics.NewRegistry()
	m := &Meter{
		registry: r,
		refused:  map[citronusher.Reason]metrics.Counter{},
		retried:  map[citronusher.Reason]metrics.Counter{},
		unknown:  map[citronusher.Reason]metrics.Counter{},

		callers:      metrics.NewRegisteredCounter("callers.open", r),
		statements:   metrics.NewRegisteredCounter("requests.all", r),
		forwarded:    metrics.NewRegisteredCounter("requests.forwarded", r),
		allowedReads: metrics.NewRegisteredCounter("requests.allowed", r),
		replicaReads: metrics.NewRegisteredCounter("requests.replica", r),
		primaryRuns:  metrics.NewRegisteredCounter("requests.primary", r),
		rounds:       metrics.NewRegisteredCounter("confirm.rounds", r),
		confirmed:    metrics.NewRegisteredCounter("confirm.requests", r),
		promotions:   metrics.NewRegisteredCounter("term.promotions", r),
		probes:       metrics.NewRegisteredCounter("term.probes", r),
		notices:      metrics.NewRegisteredCounter("spread.notices", r),
		fetches:      metrics.NewRegisteredCounter("spread.fetches", r),
		polls:        metrics.NewRegisteredCounter("platform.polls", r),
		version:      metrics.NewRegisteredGauge("config.version", r),
		dropped:      metrics.NewRegisteredGauge("log.dropped", r),
		queued:       metrics.NewRegisteredGauge("queue.waiting", r),
		connections:  metrics.NewRegisteredGauge("targets.connections", r),
		rights:       metrics.NewRegisteredGauge("targets.rights", r),
		term:         metrics.NewRegisteredGauge("targets.term", r),
		memberTime:   metrics.NewRegisteredHistogram("stage.member", r, metrics.NewUniformSample(sampleSize)),
		connectTime:  metrics.NewRegisteredHistogram("stage.connect", r, metrics.NewUniformSample(sampleSize)),
		confirmTime:  metrics.NewRegisteredHistogram("stage.confirm", r, metrics.NewUniformSample(sampleSize)),
		hopTime:      metrics.NewRegisteredHistogram("stage.hop", r, metrics.NewUniformSample(sampleSize)),
		profiles:     map[string]metrics.Histogram{},
		latency:      metrics.NewRegisteredHistogram("requests.latency", r, metrics.NewUniformSample(sampleSize)),
		queueWait:    metrics.NewRegisteredHistogram("requests.wait", r, metrics.NewUniformSample(sampleSize)),
	}
	for _, profile := range ConsistencyNames() {
		m.profiles[profile] = metrics.NewRegisteredHistogram("latency."+profile, r, metrics.NewUniformSample(sampleSize))
	}
	for _, reason := range citronusher.Reasons() {
		m.refused[reason] = metrics.NewRegisteredCounter("refused."+string(reason), r)
		m.retried[reason] = metrics.NewRegisteredCounter("retried."+string(reason), r)
		m.unknown[reason] = metrics.NewRegisteredCounter("unknown."+string(reason), r)
	}
	return m
}

// CountFailure counts a failure that a caller saw.
func (m *Meter) CountFailure(f *citronusher.Failure) {
	counters := m.refused
	if f.Outcome() == citronusher.Unknown {
		counters = m.unknown
	}
	if c, ok := counters[f.Reason()]; ok {
		c.Inc(1)
	}
}

// CountRetry counts a retry.
func (m *Meter) CountRetry(reason citronusher.Reason) {
	if c, ok := m.retried[reason]; ok {
		c.Inc(1)
	}
}

// Callers counts the open connections of callers.
func (m *Meter) Callers() metrics.Counter { return m.callers }

// Requests counts the exchanges that callers sent.
func (m *Meter) Requests() metrics.Counter { return m.statements }

// Forwarded counts the exchanges that another daemon served.
func (m *Meter) Forwarded() metrics.Counter { return m.forwarded }

// ReplicaEligible counts the exchanges that their profile lets replicas serve, transactions that may write left out.
func (m *Meter) ReplicaEligible() metrics.Counter { return m.allowedReads }

// ReplicaRequests counts the exchanges that a replica served.
func (m *Meter) ReplicaRequests() metrics.Counter { return m.replicaReads }

// PrimaryRequests counts the exchanges that a primary served.
func (m *Meter) PrimaryRequests() metrics.Counter { return m.primaryRuns }

// ConfirmationRounds counts the confirmation rounds.
func (m *Meter) ConfirmationRounds() metrics.Counter { return m.rounds }

// ConfirmedRequests counts the exchanges that rounds confirmed.
func (m *Meter) ConfirmedRequests() metrics.Counter { return m.confirmed }

// Promotions counts the promotions that this daemon carried out.
func (m *Meter) Promotions() metrics.Counter { return m.promotions }

// Probes counts the probes of members.
func (m *Meter) Probes() metrics.Counter { return m.probes }

// Notices counts the notices sent to peers.
func (m *Meter) Notices() metrics.Counter { return m.notices }

// Fetches counts the documents fetched from peers.
func (m *Meter) Fetches() metrics.Counter { return m.fetches }

// Polls counts the reads of the platform.
func (m *Meter) Polls() metrics.Counter { return m.polls }

// Version is the configuration version in force.
func (m *Meter) Version() metrics.Gauge { return m.version }

// Latency is the time of an exchange at the entry, in microseconds.
func (m *Meter) Latency() metrics.Histogram { return m.latency }

// QueueWait is the time that an exchange waited for its admission, in microseconds.
func (m *Meter) QueueWait() metrics.Histogram { return m.queueWait }

// ConsistencyNames returns the names by which latencies of the line protocol are told apart: the consistencies of routes.
func ConsistencyNames() []string { return []string{"fresh", "session", "bounded"} }

// ConsistencyLatency is the time of a statement of a route, in microseconds.
func (m *Meter) ConsistencyLatency(consistency citronusher.Consistency) metrics.Histogram {
	names := map[citronusher.Consistency]string{
		citronusher.ConsistencyPrimary: "fresh", citronusher.ConsistencySession: "session",
		citronusher.ConsistencyBounded: "bounded",
	}
	return m.profiles[names[consistency]]
}

// Dropped is the number of log lines that were dropped.
func (m *Meter) Dropped() metrics.Gauge { return m.dropped }

// Queued is the number of requests that wait for a member.
func (m *Meter) Queued() metrics.Gauge { return m.queued }

// Connections is the number of open connections to members.
func (m *Meter) Connections() metrics.Gauge { return m.connections }

// Leases is the number of groups whose primary the daemon may use.
func (m *Meter) Leases() metrics.Gauge { return m.rights }

// Term is the highest term of a primary that the daemon knows.
func (m *Meter) Term() metrics.Gauge { return m.term }

// MemberTime is the time that a member took for a statement, in microseconds.
func (m *Meter) MemberTime() metrics.Histogram { return m.memberTime }

// ConnectTime is the time to open a connection to a member, in microseconds.
func (m *Meter) ConnectTime() metrics.Histogram { return m.connectTime }

// ForwardTime is the time that another daemon took to serve a statement, in microseconds.
func (m *Meter) ForwardTime() metrics.Histogram { return m.hopTime }

// ConfirmTime is the time that a write waited for its confirmation, in microseconds.
func (m *Meter) ConfirmTime() metrics.Histogram { return m.confirmTime }

// Names returns the names of all metrics.
func (m *Meter) Names() []string {
	var names []string
	m.registry.Each(func(name string, _ any) { names = append(names, name) })
	return names
}

// ServeText writes all metrics as text: a name and a value on each line.
func (m *Meter) ServeText(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain")
	metrics.WriteOnce(m.registry, w)
}

// ServeHTTP writes all metrics in JSON.
func (m *Meter) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(m.registry)
}
