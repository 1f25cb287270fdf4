package users

import (
	"net/http"
	"time"
)

// PromotionPlan is what becomes of one promotion request.
type PromotionPlan struct {
	// Held is how long the request lies at the platform before it is handled, also if its caller has gone by then.
	Held time.Duration
	// Delay is the time from then to its effect; 0 is the usual one.
	Delay time.Duration
	// Status is the HTTP status with which the request is refused; 0 carries it out.
	Status int
	// Lost is set if the answer is lost.
	Lost bool
	// Cut is set if the connection is closed before the request is handled.
	Cut bool
}

// PlanPromotions sets the function that returns the plan of each promotion request from now on; nil restores the usual one.
func (s *Store) PlanPromotions(plan func() PromotionPlan) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.planPromotion = plan
}

// nextPromotion returns the plan of the next promotion request. The caller must hold s.mu.
func (s *Store) nextPromotion() PromotionPlan {
	if s.planPromotion == nil {
		return PromotionPlan{}
	}
	return s.planPromotion()
}

// promoteMember handles a promotion request and returns its HTTP status. The promotion takes effect after a delay; 0 is the
// usual one.
func (p *Platform) promoteMember(group, id string, delay time.Duration) int {
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
			g.pending++
			p.tasks.Go(func() { g.promote(m, delay) })
		}
		return http.StatusOK
	}
	return http.StatusNotFound
}

// PendingPromotions returns how many promotions were requested that have not taken effect yet.
func (p *Platform) PendingPromotions() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	count := 0
	for _, g := range p.groups {
		g.mu.Lock()
		count += g.pending
		g.mu.Unlock()
	}
	return count
}

// promote makes a member the primary of the next term after a delay, and not before the member runs.
func (g *Group) promote(m *Member, delay time.Duration) {
	requestedAt := time.Now()
	if delay == 0 {
		delay = g.platform.options.Promotion
	}
	time.Sleep(delay)
	m.lockRunning()
	defer g.mu.Unlock()
	g.pending--
	if m.role == rolePrimary {
		return
	}
	highest := uint64(0)
	for _, other := range g.members {
		highest = max(highest, other.term)
		other.pausedTerm = 0
	}
	m.role, m.term, m.primarySince = rolePrimary, highest+1, time.Now()
	m.times = make([]time.Time, len(m.log))
	g.promotions = append(g.promotions, Promotion{Member: m.id, Term: m.term, RequestedAt: requestedAt, At: m.primarySince})
}
