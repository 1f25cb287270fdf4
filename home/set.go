// Package home runs the databases that this daemon is a home of: it probes their members, promotes, keeps the
// connections, admits requests, runs them and confirms commits.
//
// The decisions are those of packages term, route, admission, session and pool's user; this package gives them their
// sockets, timers and goroutines.
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

// NotHome is the rank of a daemon that is no home of a database but is asked to serve it, because views differ.
const NotHome = -1

// reservePart is the part of a member's connections, one in so many, that no home counts on: while views differ
// there are more homes, and each needs at least a connection for its probes.
const reservePart = 8

const closeAfter = 10 * time.Second // how long a database stays open after its last use when this is no home

// Policy switches parts of the load policy off, as baselines for measurements.
type Policy struct {
	// Replicas lets replicas serve reads.
	Replicas bool
	// Queue turns on work classes, fairness and early refusal.
	Queue bool
	// Homes is off when every daemon is a home of every database.
	Homes bool
	// Limiter makes the adaptive limit of one target from its starting point and its bounds.
	Limiter func(start, low, high int) admission.Limiter
	// Limits are the spans of the failover decision.
	Limits term.Timeouts
	// NoConfirm acknowledges commits without a confirmation. It exists for proofs that show what confirmation prevents.
	NoConfirm bool
}

// Config holds what a set needs from its daemon.
type Config struct {
	// Self is the instance's name.
	Self string
	// Login signs in to targets.
	Login pg.Login
	// Clock gives the time.
	Clock citronusher.Clock
	// Logger receives the events.
	Logger *slog.Logger
	// Meter counts.
	Meter *meter.Meter
	// Policy is the load policy.
	Policy Policy
	// Promoted is called after this daemon promoted a member.
	Promoted func(database string, term uint64, primary string)
}

// Set holds the open databases of one daemon. It implements citronusher.Connector.
type Set struct {
	config Config
	probes atomic.Value // float64: the probes a second that the homed databases ask for

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

// Apply puts a document in force.
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

// SetRanks tells of which databases the daemon is a home, and at which place in their order. instances is the number of
// live daemons. Databases that are no longer its own close once they are unused.
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
		if rank == NotHome && (!configured || d.unused(s.config.Clock.Now().Add(-closeAfter))) {
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

func (s *Set) profile(name string) (profile.Profile, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.document.Profile(name)
	if !ok {
		return profile.Profile{}, citronusher.NewNotRun(citronusher.ReasonProfile, "profile %q is not configured", name)
	}
	return p, nil
}

// share returns how many connections to each member of d this daemon may hold, control included.
func (s *Set) share(d profile.Database) int {
	holders := d.Homes()
	if !s.config.Policy.Homes {
		holders = max(1, s.instances)
	}
	reserve := max(1, d.Connections()/reservePart)
	return max(2, (d.Connections()-reserve)/holders)
}

// Open returns a new work on database.
func (s *Set) Open(_ context.Context, database string) (citronusher.DatabaseConn, error) {
	d, err := s.database(database)
	if err != nil {
		return nil, err
	}
	return &work{database: d}, nil
}

// Kick makes the database probe its members now, after a peer told of a new term.
func (s *Set) Kick(name string) {
	s.mu.Lock()
	d := s.databases[name]
	s.mu.Unlock()
	if d != nil {
		d.kick()
	}
}

// Report is what an operator sees of one open database.
type Report struct {
	Database string         `json:"database"`
	Rank     int            `json:"rank"`
	Primary  string         `json:"primary"`
	Term     uint64         `json:"term"`
	Closed   bool           `json:"closed"`
	Members  []MemberReport `json:"members"`
}

// MemberReport is what an operator sees of one member.
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

// Report describes the open databases.
func (s *Set) Report() []Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	reports := make([]Report, 0, len(s.databases))
	for _, d := range s.databases {
		reports = append(reports, d.report())
	}
	return reports
}

// Explain tells in sentences where a request on database with the profile would go now.
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

// Close closes every database and waits for them.
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
