package users

import "time"

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
