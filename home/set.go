// Package home serves the databases that this daemon is a home of: it probes their members, promotes them, holds the
// connections, admits and runs requests, and confirms commits.
//
// The packages term, route, admission and session decide. This package provides the connections, timers and goroutines
// for their decisions.
package home

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/admission"
	"citronusher.example/citronusher/events"
	"citronusher.example/citronusher/meter"
	"citronusher.example/citronusher/pg"
	"citronusher.example/citronusher/profile"
	"citronusher.example/citronusher/term"
)

// NotHome is the rank of a daemon that is not a home of a database but receives requests for it, because the daemons'
// membership views differ.
const NotHome = -1

// reserveDivisor defines the reserve: 1/reserveDivisor of a member's connections is not assigned to its homes. While
// membership views differ, additional daemons act as homes, and each needs at least one connection for its probes.
const reserveDivisor = 8

const closeDelay = 10 * time.Second // how long an unused database stays open at a daemon that is not its home

// Policy configures the load policy. Parts of it can be switched off to measure a baseline.
type Policy struct {
	// Replicas allows replicas to serve reads.
	Replicas bool
	// Queue enables request classes, fair queueing and early rejection.
	Queue bool
	// Homes is false when every daemon is a home of every database.
	Homes bool
	// Limiter returns the adaptive concurrency limit of one target with an initial value and bounds, in requests.
	Limiter func(start, low, high int) admission.Limiter
	// PromotionTimeouts are the timeouts of the failover decision.
	PromotionTimeouts term.Timeouts
	// NoConfirm acknowledges commits without confirmation. It is used by tests that show the faults that confirmation
	// prevents.
	NoConfirm bool
}

// Config holds the settings and dependencies of a Set.
type Config struct {
	// Self is the instance's name.
	Self string
	// Login opens connections to targets.
	Login pg.Login
	// Clock returns the current time.
	Clock citronusher.Clock
	// Logger is where events are logged.
	Logger *slog.Logger
	// Meter holds the metrics.
	Meter *meter.Meter
	// Policy is the load policy.
	Policy Policy
	// OnPromoted is called after this daemon has promoted a member to the primary of term.
	OnPromoted func(database string, term uint64, primary string)
}

// Set holds the open databases of one daemon. It implements citronusher.Connector.
type Set struct {
	config Config
	probes atomic.Value // float64: the probes per second for the databases that this daemon is a home of

	mu        sync.Mutex
	document  profile.Document
	ranks     map[string]int
	instances int
	databases map[string]*database
	closed    bool
}

// New returns a set without databases.
func New(config Config) *Set {
	s := &Set{config: config, document: profile.New(), ranks: map[string]int{}, databases: map[string]*database{}}
	s.probes.Store(0.0)
	return s
}

// Apply makes document the active one and reconfigures the open databases.
func (s *Set) Apply(document profile.Document) {
	s.mu.Lock()
	s.document = document
	open := make([]*database, 0, len(s.databases))
	for _, d := range s.databases {
		open = append(open, d)
	}
	s.mu.Unlock()
	for _, d := range open {
		if config, ok := document.Database(d.name); ok {
			d.configure(config)
		}
	}
}

// SetRanks sets the databases that the daemon is a home of, with its rank in the order of their homes, 0 being the first.
// instances is the number of live daemons. It opens these databases, and closes others once they are unused.
func (s *Set) SetRanks(ranks map[string]int, instances int) {
	s.mu.Lock()
	s.ranks = ranks
	s.instances = instances
	rate := 0.0
	for name, rank := range ranks {
		if config, ok := s.document.Database(name); ok {
			rate += probeRate(rank, len(config.Members()))
		}
	}
	s.probes.Store(rate)
	var retired []*database
	for name, d := range s.databases {
		rank, ok := ranks[name]
		if !ok {
			rank = NotHome
		}
		_, configured := s.document.Database(name)
		if rank == NotHome && (!configured || d.unused(s.config.Clock.Now().Add(-closeDelay))) {
			delete(s.databases, name)
			retired = append(retired, d)
			continue
		}
		d.setRank(rank)
	}
	s.mu.Unlock()
	for name := range ranks {
		_, _ = s.database(name)
	}
	for _, d := range retired {
		_ = d.Close()
		events.Log(s.config.Logger, events.HomeClosed, "database", d.name)
	}
}

// database returns the open database called name, opening it if it is configured.
func (s *Set) database(name string) (*database, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil, citronusher.NewNotRun(citronusher.ReasonLeaving, "the daemon is stopping")
	}
	if d, ok := s.databases[name]; ok {
		return d, nil
	}
	config, ok := s.document.Database(name)
	if !ok {
		return nil, citronusher.NewNotRun(citronusher.ReasonDatabase, "database %q is not configured", name)
	}
	rank, ok := s.ranks[name]
	if !ok {
		rank = NotHome
	}
	d := newDatabase(s, config, rank)
	s.databases[name] = d
	events.Log(s.config.Logger, events.HomeOpened, "database", name, "rank", rank)
	return d, nil
}

// profile returns the profile called name. Its error is a *citronusher.Failure.
func (s *Set) profile(name string) (profile.Profile, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.document.Profile(name)
	if !ok {
		return profile.Profile{}, citronusher.NewNotRun(citronusher.ReasonProfile, "profile %q is not configured", name)
	}
	return p, nil
}

// maxConnections returns the maximum number of connections to each member of d at this daemon, including the control
// connection.
func (s *Set) maxConnections(d profile.Database) int {
	holders := d.Homes()
	if !s.config.Policy.Homes {
		holders = max(1, s.instances)
	}
	reserve := max(1, d.Connections()/reserveDivisor)
	return max(2, (d.Connections()-reserve)/holders)
}

// Open returns a new connection to database. Its error is a *citronusher.Failure with the outcome not run.
func (s *Set) Open(_ context.Context, database string) (citronusher.DatabaseConn, error) {
	d, err := s.database(database)
	if err != nil {
		return nil, err
	}
	return &work{database: d}, nil
}

// WakeProbes probes the members of a database immediately, after a peer announced a new term.
func (s *Set) WakeProbes(name string) {
	s.mu.Lock()
	d := s.databases[name]
	s.mu.Unlock()
	if d != nil {
		d.wakeProbes()
	}
}

// Report is the status of one open database, as shown to operators.
type Report struct {
	Database string         `json:"database"`
	Rank     int            `json:"rank"`
	Primary  string         `json:"primary"`
	Term     uint64         `json:"term"`
	Closed   bool           `json:"closed"`
	Members  []MemberReport `json:"members"`
}

// MemberReport is the status of one member, as shown to operators.
type MemberReport struct {
	Name        string `json:"name"`
	Address     string `json:"address"`
	Role        string `json:"role"`
	Term        uint64 `json:"term"`
	Position    string `json:"position"`
	Age         string `json:"age"`
	Reachable   bool   `json:"reachable"`
	Leaving     bool   `json:"leaving"`
	Running     int    `json:"running"`
	Waiting     int    `json:"waiting"`
	Limit       int    `json:"limit"`
	Connections int    `json:"connections"`
}

// Report returns the status of the open databases.
func (s *Set) Report() []Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	reports := make([]Report, 0, len(s.databases))
	for _, d := range s.databases {
		reports = append(reports, d.report())
	}
	return reports
}

// Explain describes in sentences which members could serve a request on database with the profile called name now.
func (s *Set) Explain(database, name string) ([]string, error) {
	p, err := s.profile(name)
	if err != nil {
		return nil, err
	}
	d, err := s.database(database)
	if err != nil {
		return nil, err
	}
	return d.explain(p), nil
}

// Close closes all databases and waits until they are closed.
func (s *Set) Close() error {
	s.mu.Lock()
	s.closed = true
	open := s.databases
	s.databases = map[string]*database{}
	s.mu.Unlock()
	for name, d := range open {
		if err := d.Close(); err != nil {
			return fmt.Errorf("close %s: %w", name, err)
		}
	}
	return nil
}
