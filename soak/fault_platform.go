package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"citronusher.example/citronusher/standin/users"
)

// promotionPlanTimes is how many times as long as other faults those last that wait for promotions.
const promotionPlanTimes = 4

const maxHeldTime = 2 * time.Second // for which a slow platform does not handle a promotion request

// injectPlatformFault injects a fault into the store, the configuration or the promotion call.
func (r *run) injectPlatformFault(f Fault) {
	switch f.Kind {
	case KindStore:
		r.failStore(http.StatusServiceUnavailable, f.Duration)
	case KindThrottle:
		r.failStore(http.StatusTooManyRequests, f.Duration)
	case KindFeedSilent:
		during(f, r.platform.StallFeeds)
	case KindRestore:
		r.platform.Copy()
		time.Sleep(f.Duration)
		r.platform.Fail(http.StatusServiceUnavailable)
		time.Sleep(restoreTime)
		r.platform.Restore()
		r.platform.Fail(0)
	case KindLostPromotion:
		during(f, r.platform.LosePromotionAnswers)
	case KindLate:
		r.planPromotions(f, latePlan)
	case KindHeld:
		r.planPromotions(f, heldPlan)
	case KindDeny:
		r.planPromotions(f, deniedPlan)
	case KindRoute:
		r.platform.Route(fmt.Sprintf("added-%d", f.At.Milliseconds()), "primary", groupName(0), 0, r.size.timeoutMs)
	}
}

func (r *run) failStore(status int, duration time.Duration) {
	r.platform.Fail(status)
	time.Sleep(duration)
	r.platform.Fail(0)
}

// planPromotions draws what becomes of each promotion request during a fault.
func (r *run) planPromotions(f Fault, draw func(*rand.Rand) users.PromotionPlan) {
	random := rand.New(rand.NewPCG(uint64(f.At), uint64(f.Duration))) //nolint:gosec // repeatable by the fault
	r.platform.PlanPromotions(func() users.PromotionPlan { return draw(random) })
	time.Sleep(promotionPlanTimes * f.Duration)
	r.platform.PlanPromotions(nil)
}

// heldPlan carries a request out some time after its arrival.
func heldPlan(random *rand.Rand) users.PromotionPlan {
	return users.PromotionPlan{Held: time.Duration(random.Int64N(int64(maxHeldTime)))}
}

// latePlan carries a request out after a random time, for which it lies at the platform or which its effect takes.
func latePlan(random *rand.Rand) users.PromotionPlan {
	delays := []time.Duration{50 * time.Millisecond, 300 * time.Millisecond, time.Second, 3500 * time.Millisecond}
	held := []time.Duration{0, 0, 500 * time.Millisecond, 2 * time.Second}
	return users.PromotionPlan{Delay: delays[random.IntN(len(delays))], Held: held[random.IntN(len(held))]}
}

// deniedPlan refuses a request, cuts its connection, or carries it out without an answer.
func deniedPlan(random *rand.Rand) users.PromotionPlan {
	plans := []users.PromotionPlan{
		{Status: http.StatusConflict},
		{Status: http.StatusTooManyRequests},
		{Status: http.StatusServiceUnavailable},
		{Cut: true},
		{Lost: true},
	}
	return plans[random.IntN(len(plans))]
}
