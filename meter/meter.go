// Package meter names every metric. docs/METRICS.md lists them with their units.
package meter

import (
	"encoding/json"
	"net/http"

	"github.com/rcrowley/go-metrics"

	"citronusher.example/citronusher"
)

const sampleSize = 1028 // observations that a histogram keeps

// Meter holds a daemon's metrics.
type Meter struct {
	registry metrics.Registry
	refused  map[citronusher.Reason]metrics.Counter
	retried  map[citronusher.Reason]metrics.Counter
	unknown  map[citronusher.Reason]metrics.Counter

	callers              metrics.Counter
	requests             metrics.Counter
	forwarded            metrics.Counter
	replicaEligible      metrics.Counter
	replicaRequests      metrics.Counter
	primaryRequests      metrics.Counter
	confirmationRounds   metrics.Counter
	confirmedRequests    metrics.Counter
	promotions           metrics.Counter
	probes               metrics.Counter
	notices              metrics.Counter
	fetches              metrics.Counter
	polls                metrics.Counter
	version              metrics.Gauge
	dropped              metrics.Gauge
	queued               metrics.Gauge
	connections          metrics.Gauge
	leases               metrics.Gauge
	term                 metrics.Gauge
	memberTime           metrics.Histogram
	connectTime          metrics.Histogram
	confirmTime          metrics.Histogram
	forwardTime          metrics.Histogram
	latencyByConsistency map[string]metrics.Histogram
	latency              metrics.Histogram
	queueWait            metrics.Histogram
}

// New returns a meter with every metric registered.
func New() *Meter {
	r := metrics.NewRegistry()
	m := &Meter{
		registry: r,
		refused:  map[citronusher.Reason]metrics.Counter{},
		retried:  map[citronusher.Reason]metrics.Counter{},
		unknown:  map[citronusher.Reason]metrics.Counter{},

		callers:              metrics.NewRegisteredCounter("callers.open", r),
		requests:             metrics.NewRegisteredCounter("requests.all", r),
		forwarded:            metrics.NewRegisteredCounter("requests.forwarded", r),
		replicaEligible:      metrics.NewRegisteredCounter("requests.allowed", r),
		replicaRequests:      metrics.NewRegisteredCounter("requests.replica", r),
		primaryRequests:      metrics.NewRegisteredCounter("requests.primary", r),
		confirmationRounds:   metrics.NewRegisteredCounter("confirm.rounds", r),
		confirmedRequests:    metrics.NewRegisteredCounter("confirm.requests", r),
		promotions:           metrics.NewRegisteredCounter("term.promotions", r),
		probes:               metrics.NewRegisteredCounter("term.probes", r),
		notices:              metrics.NewRegisteredCounter("spread.notices", r),
		fetches:              metrics.NewRegisteredCounter("spread.fetches", r),
		polls:                metrics.NewRegisteredCounter("platform.polls", r),
		version:              metrics.NewRegisteredGauge("config.version", r),
		dropped:              metrics.NewRegisteredGauge("log.dropped", r),
		queued:               metrics.NewRegisteredGauge("queue.waiting", r),
		connections:          metrics.NewRegisteredGauge("targets.connections", r),
		leases:               metrics.NewRegisteredGauge("targets.rights", r),
		term:                 metrics.NewRegisteredGauge("targets.term", r),
		memberTime:           metrics.NewRegisteredHistogram("stage.member", r, metrics.NewUniformSample(sampleSize)),
		connectTime:          metrics.NewRegisteredHistogram("stage.connect", r, metrics.NewUniformSample(sampleSize)),
		confirmTime:          metrics.NewRegisteredHistogram("stage.confirm", r, metrics.NewUniformSample(sampleSize)),
		forwardTime:          metrics.NewRegisteredHistogram("stage.hop", r, metrics.NewUniformSample(sampleSize)),
		latencyByConsistency: map[string]metrics.Histogram{},
		latency:              metrics.NewRegisteredHistogram("requests.latency", r, metrics.NewUniformSample(sampleSize)),
		queueWait:            metrics.NewRegisteredHistogram("requests.wait", r, metrics.NewUniformSample(sampleSize)),
	}
	for _, name := range ConsistencyNames() {
		m.latencyByConsistency[name] = metrics.NewRegisteredHistogram("latency."+name, r, metrics.NewUniformSample(sampleSize))
	}
	for _, reason := range citronusher.Reasons() {
		m.refused[reason] = metrics.NewRegisteredCounter("refused."+string(reason), r)
		m.retried[reason] = metrics.NewRegisteredCounter("retried."+string(reason), r)
		m.unknown[reason] = metrics.NewRegisteredCounter("unknown."+string(reason), r)
	}
	return m
}

// CountFailure counts a failure that was reported to a caller, by its reason.
func (m *Meter) CountFailure(f *citronusher.Failure) {
	counters := m.refused
	if f.Outcome() == citronusher.Unknown {
		counters = m.unknown
	}
	if c, ok := counters[f.Reason()]; ok {
		c.Inc(1)
	}
}

// CountRetry counts a retry by its reason.
func (m *Meter) CountRetry(reason citronusher.Reason) {
	if c, ok := m.retried[reason]; ok {
		c.Inc(1)
	}
}

// Callers counts the open connections of callers.
func (m *Meter) Callers() metrics.Counter { return m.callers }

// Requests counts the exchanges that callers sent.
func (m *Meter) Requests() metrics.Counter { return m.requests }

// Forwarded counts the exchanges that another daemon served.
func (m *Meter) Forwarded() metrics.Counter { return m.forwarded }

// ReplicaEligible counts the exchanges that replicas may serve under their profile. Transactions that may write are not
// counted.
func (m *Meter) ReplicaEligible() metrics.Counter { return m.replicaEligible }

// ReplicaRequests counts the exchanges that a replica served.
func (m *Meter) ReplicaRequests() metrics.Counter { return m.replicaRequests }

// PrimaryRequests counts the exchanges that a primary served.
func (m *Meter) PrimaryRequests() metrics.Counter { return m.primaryRequests }

// ConfirmationRounds counts the confirmation rounds.
func (m *Meter) ConfirmationRounds() metrics.Counter { return m.confirmationRounds }

// ConfirmedRequests counts the exchanges that confirmation rounds confirmed.
func (m *Meter) ConfirmedRequests() metrics.Counter { return m.confirmedRequests }

// Promotions counts the promotions that this daemon completed.
func (m *Meter) Promotions() metrics.Counter { return m.promotions }

// Probes counts the probes of members.
func (m *Meter) Probes() metrics.Counter { return m.probes }

// Notices counts the announcements sent to peers.
func (m *Meter) Notices() metrics.Counter { return m.notices }

// Fetches counts the documents fetched from peers.
func (m *Meter) Fetches() metrics.Counter { return m.fetches }

// Polls counts the reads of the platform.
func (m *Meter) Polls() metrics.Counter { return m.polls }

// Version is the active configuration version.
func (m *Meter) Version() metrics.Gauge { return m.version }

// Latency is the time of an exchange at the entry, in microseconds.
func (m *Meter) Latency() metrics.Histogram { return m.latency }

// QueueWait is the time that an exchange waited for admission, in microseconds.
func (m *Meter) QueueWait() metrics.Histogram { return m.queueWait }

// ConsistencyNames returns the suffixes of the line protocol's latency metrics, one for each consistency of a route.
func ConsistencyNames() []string { return []string{"fresh", "session", "bounded"} }

// ConsistencyLatency is the time of a statement of a route with the consistency, in microseconds.
func (m *Meter) ConsistencyLatency(consistency citronusher.Consistency) metrics.Histogram {
	names := map[citronusher.Consistency]string{
		citronusher.ConsistencyPrimary: "fresh", citronusher.ConsistencySession: "session",
		citronusher.ConsistencyBounded: "bounded",
	}
	return m.latencyByConsistency[names[consistency]]
}

// Dropped is the number of log lines that were dropped.
func (m *Meter) Dropped() metrics.Gauge { return m.dropped }

// Queued is the number of requests that wait for a member connection.
func (m *Meter) Queued() metrics.Gauge { return m.queued }

// Connections is the number of open connections to members.
func (m *Meter) Connections() metrics.Gauge { return m.connections }

// Leases is the number of groups for which the daemon holds a lease on the primary.
func (m *Meter) Leases() metrics.Gauge { return m.leases }

// Term is the highest term of a primary that the daemon has observed.
func (m *Meter) Term() metrics.Gauge { return m.term }

// MemberTime is the time that a member took for a statement, in microseconds.
func (m *Meter) MemberTime() metrics.Histogram { return m.memberTime }

// ConnectTime is the time to open a connection to a member, in microseconds.
func (m *Meter) ConnectTime() metrics.Histogram { return m.connectTime }

// ForwardTime is the time that another daemon took to serve a statement, in microseconds.
func (m *Meter) ForwardTime() metrics.Histogram { return m.forwardTime }

// ConfirmTime is the time that a write waited for its confirmation round, in microseconds.
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
