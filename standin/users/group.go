package users

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	replicateEvery = 2 * time.Millisecond
	stepDownAfter  = 1 * time.Second // an old primary that reaches the new one follows it after that
	heartbeat      = 200 * time.Millisecond
)

// entry is one commit of a group's log.
type entry struct {
	term, number uint64
	item, data   string
}

func (e entry) position() string { return fmt.Sprintf("%d.%d", e.term, e.number) }

// Options say how the groups behave.
type Options struct {
	// Slots is how many statements a member runs at once, Connections how many connections it takes.
	Slots, Connections int
	// Lag is how late replicas receive a commit, Promotion how late a promotion takes effect, Work how long a statement
	// runs.
	Lag, Promotion, Work time.Duration
}

// Platform is a store with the groups whose members report to it.
type Platform struct {
	*Store
	options Options
	done    chan struct{}
	tasks   sync.WaitGroup

	mu      sync.Mutex
	groups  map[string]*Group
	version uint64
	routes  map[string]map[string]any
}

// New starts a platform without groups.
func New(options Options) *Platform {
	p := &Platform{Store: NewStore(), options: options, done: make(chan struct{}), groups: map[string]*Group{}}
	p.start()
	return p
}

func (p *Platform) start() {
	p.routes = map[string]map[string]any{}
	p.promote = p.promoteMember
	p.tasks.Go(p.beat)
}

// beat writes the members' reports.
func (p *Platform) beat() {
	ticker := time.NewTicker(heartbeat)
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

func (p *Platform) report() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, g := range p.groups {
		g.mu.Lock()
		for _, m := range g.members {
			if m.crashed {
				continue
			}
			state := "ready"
			if m.leaving {
				state = "draining"
			}
			p.Put("servers", m.id, map[string]any{
				"Service": g.name, "Address": m.address, "Zone": "zone", "Capacity": p.options.Slots, "State": state,
				"CurrentRole": m.role, "born": m.born,
			})
		}
		g.mu.Unlock()
	}
}

// Route adds a route of a kind to a group and sends the configuration.
func (p *Platform) Route(host, kind, group string, staleMillis, limitMillis int) {
	p.mu.Lock()
	p.routes[host] = map[string]any{
		"Name": "r-" + host, "Host": host, "RouteType": kind, "Service": group, "TimeoutMs": limitMillis,
		"TargetLatencyMs": 200, "MaxStalenessMs": staleMillis, "Priority": 1,
	}
	p.mu.Unlock()
	p.SendConfig()
}

// Occupy makes others hold so many of each member's connections.
func (p *Platform) Occupy(count int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, g := range p.groups {
		g.mu.Lock()
		g.taken = count
		g.mu.Unlock()
	}
}

// DropRoute removes a route and sends the configuration.
func (p *Platform) DropRoute(host string) {
	p.mu.Lock()
	delete(p.routes, host)
	p.mu.Unlock()
	p.SendConfig()
}

// SendConfig writes the next version of the configuration.
func (p *Platform) SendConfig() {
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
	p.Put("op", "config", map[string]any{
		"Version": p.version, "Routes": routes, "Services": services, "Limits": map[string]any{"TxIdleMs": 700},
	})
}

// Close stops everything.
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

	mu      sync.Mutex
	members []*Member
	taken   int             // connections of each member that others hold
	commits map[string]int  // how often each statement's write was committed, by the caller's id
	late    map[string]bool // those that were committed by a member after another one led a later term
}

// AddGroup starts a group of so many members; the first leads.
func (p *Platform) AddGroup(name string, count int) (*Group, error) {
	g := &Group{platform: p, name: name, commits: map[string]int{}, late: map[string]bool{}}
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

// Member returns the member with the index i.
func (g *Group) Member(i int) *Member { return g.members[i] }

// Primary returns the member that leads the highest term.
func (g *Group) Primary() *Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.primary()
}

func (g *Group) primary() *Member {
	var best *Member
	for _, m := range g.members {
		if m.role == rolePrimary && (best == nil || m.term > best.term) {
			best = m
		}
	}
	return best
}

// Copied reports whether every running replica holds the primary's log.
func (g *Group) Copied() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	leader := g.primary()
	for _, m := range g.members {
		if !m.crashed && !m.dark && !m.deaf && m.end() != leader.end() {
			return false
		}
	}
	return true
}

// Pauses returns how often members were told to stop receiving.
func (g *Group) Pauses() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	count := 0
	for _, m := range g.members {
		count += m.pauses
	}
	return count
}

// Commits returns how often the write of the statement id was committed in the log of the present primary or an
// earlier one.
func (g *Group) Commits(id string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.commits[id]
}

// Superseded reports whether the write of the statement id was committed by a member when another one led a later term.
func (g *Group) Superseded(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.late[id]
}

// Value returns what the present primary holds for an item.
func (g *Group) Value(item string) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.primary().read(item)
}

// replicate passes commits on to the replicas.
func (g *Group) replicate() {
	ticker := time.NewTicker(replicateEvery)
	defer ticker.Stop()
	for {
		select {
		case <-g.platform.done:
			return
		case <-ticker.C:
			g.mu.Lock()
			g.pass(time.Now())
			g.mu.Unlock()
		}
	}
}

// pass gives each replica what the leader of the highest term committed longer ago than the lag.
func (g *Group) pass(now time.Time) {
	leader := g.primary()
	if leader == nil || leader.crashed {
		return
	}
	for _, m := range g.members {
		if m == leader || m.crashed || m.held > m.term || m.deaf {
			continue
		}
		if m.role == rolePrimary && m.term < leader.term {
			if now.Sub(leader.ledSince) < stepDownAfter || m.cut {
				continue
			}
			m.role = roleReplica
		}
		if m.role == roleReplica && !m.cut {
			m.follow(leader, now.Add(-g.platform.options.Lag))
		}
	}
}

// follow brings a replica's log in line with the leader's commits up to a time.
func (m *Member) follow(leader *Member, until time.Time) {
	m.term = leader.term
	if m.held <= m.term {
		m.held = 0
	}
	same := 0
	for same < len(m.log) && same < len(leader.log) && m.log[same] == leader.log[same] {
		same++
	}
	m.log = m.log[:same]
	for same < len(leader.log) && !leader.times[same].After(until) {
		m.log = append(m.log, leader.log[same])
		same++
	}
}

// promoteMember carries a promotion order out.
func (p *Platform) promoteMember(group, id string) int {
	p.mu.Lock()
	g := p.groups[group]
	p.mu.Unlock()
	if g == nil {
		return http.StatusNotFound
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range g.members {
		if m.id != id {
			continue
		}
		if m.crashed {
			return http.StatusConflict
		}
		if m.role != rolePrimary {
			p.tasks.Go(func() { g.lead(m) })
		}
		return http.StatusOK
	}
	return http.StatusNotFound
}

// lead makes a member the primary of the next term after a while.
func (g *Group) lead(m *Member) {
	time.Sleep(g.platform.options.Promotion)
	g.mu.Lock()
	defer g.mu.Unlock()
	highest := uint64(0)
	for _, other := range g.members {
		highest = max(highest, other.term)
		other.held = 0
	}
	m.role, m.term, m.ledSince = rolePrimary, highest+1, time.Now()
	m.times = make([]time.Time, len(m.log))
}

func (g *Group) close() {
	g.mu.Lock()
	members := g.members
	g.mu.Unlock()
	for _, m := range members {
		m.stop()
	}
}
