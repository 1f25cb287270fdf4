package users

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

const (
	replicateInterval = 2 * time.Millisecond
	stepDownDelay     = 1 * time.Second // for which a superseded primary reaches the new one before it follows it
	reportInterval    = 200 * time.Millisecond
)

// entry is one write in a group's log; the writes of a commit share its number.
type entry struct {
	term, number   uint64
	item, data, id string // id is that of the statement that committed the write
}

func (e entry) position() string { return fmt.Sprintf("%d.%d", e.term, e.number) }

// Options configure the members of all groups.
type Options struct {
	// Slots is the number of statements that a member runs at once, Connections the number of connections it accepts.
	Slots, Connections int
	// Lag is the replication lag, Promotion the delay before a promotion takes effect, StatementDuration the duration of a
	// statement.
	Lag, Promotion, StatementDuration time.Duration
	// Record keeps every run of a statement, for Group.Run.
	Record bool
}

// Platform is a store together with the database groups whose members write their reports to it.
type Platform struct {
	*Store
	options Options
	done    chan struct{}
	tasks   sync.WaitGroup

	mu       sync.Mutex
	groups   map[string]*Group
	version  uint64
	sequence int // of the members' reports
	routes   map[string]map[string]any
}

// New starts a platform that has no groups.
func New(options Options) *Platform {
	p := &Platform{Store: NewStore(), options: options, done: make(chan struct{}), groups: map[string]*Group{}}
	p.start()
	return p
}

func (p *Platform) start() {
	p.routes = map[string]map[string]any{}
	p.promote = p.promoteMember
	p.tasks.Go(p.reportLoop)
}

// reportLoop writes the members' reports to the store at an interval.
func (p *Platform) reportLoop() {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-p.done:
			return
		case <-ticker.C:
			p.report()
		}
	}
}

// report writes the report of every member that has not crashed.
func (p *Platform) report() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sequence++
	for _, g := range p.groups {
		g.mu.Lock()
		for _, m := range g.members {
			if m.crashed || m.frozen {
				continue
			}
			state := "ready"
			if m.draining {
				state = "draining"
			}
			p.Put(tableMembers, m.id, map[string]any{
				"Service": g.name, "Address": m.address, "Zone": "zone", "Version": "v1", "Capacity": p.options.Slots,
				"State": state, "WarmupLeftMs": 0, "Sequence": p.sequence, "CurrentRole": m.role, "born": m.born,
			})
		}
		g.mu.Unlock()
	}
}

// Route adds a route with a consistency to a group and publishes the configuration. The limits are in milliseconds.
func (p *Platform) Route(host, consistency, group string, maxStalenessMillis, timeoutMillis int) {
	p.mu.Lock()
	p.routes[host] = map[string]any{
		"Name": "r-" + host, "Host": host, "RouteType": consistency, "Service": group, "TimeoutMs": timeoutMillis,
		"TargetLatencyMs": 200, "MaxStalenessMs": maxStalenessMillis, "Priority": 1,
	}
	p.mu.Unlock()
	p.PublishConfig()
}

// UseConnections sets how many of each member's connections are in use by other clients.
func (p *Platform) UseConnections(count int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, g := range p.groups {
		g.mu.Lock()
		g.externalConnections = count
		g.mu.Unlock()
	}
}

// DropRoute removes a route and publishes the configuration.
func (p *Platform) DropRoute(host string) {
	p.mu.Lock()
	delete(p.routes, host)
	p.mu.Unlock()
	p.PublishConfig()
}

// PublishConfig publishes the next version of the configuration.
func (p *Platform) PublishConfig() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.version += 3
	routes := []map[string]any{}
	for _, r := range p.routes {
		routes = append(routes, r)
	}
	services := []map[string]any{}
	for name := range p.groups {
		services = append(services, map[string]any{"Name": name, "MaxConnections": p.options.Connections})
	}
	p.Put(tableOperator, "config", map[string]any{
		"Version": p.version, "Routes": routes, "Services": services, "Limits": map[string]any{"TxIdleMs": 700},
	})
}

// Close stops the groups, the background tasks and the store.
func (p *Platform) Close() {
	close(p.done)
	p.mu.Lock()
	groups := p.groups
	p.mu.Unlock()
	for _, g := range groups {
		g.close()
	}
	p.tasks.Wait()
	p.Store.Close()
}

// Group is one database group.
type Group struct {
	platform *Platform
	name     string

	mu                  sync.Mutex
	members             []*Member
	externalConnections int               // connections of each member that other clients use
	commitCounts        map[string]int    // number of commits per statement id
	superseded          map[string]bool   // ids of statements that a member committed while another was primary of a later term
	commits             map[string]Commit // by statement id, the newest one
	promotions          []Promotion
	pending             int            // promotions that have not taken effect yet
	runs                map[string]Run // by signature
	signatures          uint64         // given out so far
}

// AddGroup starts a group of count members; the first is the primary.
func (p *Platform) AddGroup(name string, count int) (*Group, error) {
	g := &Group{platform: p, name: name, commitCounts: map[string]int{}, superseded: map[string]bool{}}
	g.commits, g.runs = map[string]Commit{}, map[string]Run{}
	for i := range count {
		m, err := newMember(g, fmt.Sprintf("i-%s-%d", name, i+1))
		if err != nil {
			return nil, err
		}
		g.members = append(g.members, m)
	}
	g.members[0].role = rolePrimary
	p.mu.Lock()
	p.groups[name] = g
	p.mu.Unlock()
	p.tasks.Go(g.replicate)
	p.report()
	return g, nil
}

// Member returns the member at index i, counted from 0.
func (g *Group) Member(i int) *Member { return g.members[i] }

// Primary returns the primary of the highest term, or nil.
func (g *Group) Primary() *Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.primary()
}

// primary returns the primary of the highest term, or nil. The caller must hold g.mu.
func (g *Group) primary() *Member {
	var primary *Member
	for _, m := range g.members {
		if m.role == rolePrimary && (primary == nil || m.term > primary.term) {
			primary = m
		}
	}
	return primary
}

// Replicated reports whether the members that are not crashed, unresponsive or set to receive nothing have reached the
// primary's last position.
func (g *Group) Replicated() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	primary := g.primary()
	for _, m := range g.members {
		if !m.crashed && !m.unresponsive && !m.notReceiving && m.lastPosition() != primary.lastPosition() {
			return false
		}
	}
	return true
}

// Pauses returns the number of PAUSE commands that members received.
func (g *Group) Pauses() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	count := 0
	for _, m := range g.members {
		count += m.pauses
	}
	return count
}

// Commits returns how often members committed the write of the statement id, in the log of the current or an earlier
// primary.
func (g *Group) Commits(id string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.commitCounts[id]
}

// Superseded reports whether a member committed the write of the statement id while another was primary of a later term.
func (g *Group) Superseded(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.superseded[id]
}

// Value returns the current primary's value of an item.
func (g *Group) Value(item string) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.primary().read(item)
}

// Holds reports whether the primary's log has a commit that wrote data to an item, also if a later one has replaced it.
func (g *Group) Holds(item, data string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.ContainsFunc(g.primary().log, func(e entry) bool { return e.item == item && e.data == data })
}

// replicate runs replicateOnce at an interval until the platform is closed.
func (g *Group) replicate() {
	ticker := time.NewTicker(replicateInterval)
	defer ticker.Stop()
	for {
		select {
		case <-g.platform.done:
			return
		case <-ticker.C:
			g.mu.Lock()
			g.replicateOnce(time.Now())
			g.mu.Unlock()
		}
	}
}

// replicateOnce sends each replica the commits of the current primary that are older than the lag.
// The caller must hold g.mu.
func (g *Group) replicateOnce(now time.Time) {
	primary := g.primary()
	if primary == nil || primary.crashed || primary.frozen {
		return
	}
	for _, m := range g.members {
		if m == primary || m.term > primary.term || !m.reaches(primary, now) || m.pausedTerm > m.term || m.notReceiving {
			continue
		}
		if m.role == rolePrimary && m.term < primary.term {
			if now.Sub(m.reachesSince) < stepDownDelay {
				continue
			}
			m.role = roleReplica
		}
		if m.role == roleReplica {
			m.replicateFrom(primary, now.Add(-g.platform.options.Lag))
		}
	}
}

// reaches reports whether a member can reach the primary, and keeps since when.
func (m *Member) reaches(primary *Member, now time.Time) bool {
	if m.crashed || m.frozen || m.partitioned || primary.partitioned {
		m.reachesSince = time.Time{}
		return false
	}
	if m.reachesSince.IsZero() || m.reachesSince.Before(primary.primarySince) {
		m.reachesSince = now
	}
	return true
}

// replicateFrom replaces a replica's log from the first difference on by the primary's commits up to a time.
func (m *Member) replicateFrom(primary *Member, until time.Time) {
	m.term = primary.term
	if m.pausedTerm <= m.term {
		m.pausedTerm = 0
	}
	shared := sharedLength(m.log, primary.log)
	m.log = m.log[:shared:shared] // runs that were recorded keep the log that they saw
	for shared < len(primary.log) && !primary.times[shared].After(until) {
		m.log = append(m.log, primary.log[shared])
		shared++
	}
}

// close stops the group's members.
func (g *Group) close() {
	g.mu.Lock()
	members := g.members
	g.mu.Unlock()
	for _, m := range members {
		m.stop()
	}
}
