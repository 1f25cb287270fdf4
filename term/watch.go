// Package term decides about terms: when a primary counts as lost, who promotes and which member, and whether a commit
// was made under a term that is still in force.
//
// It asks and orders nothing itself: it takes the members' answers and the time, and returns typed actions.
package term

import (
	"slices"
	"time"

	"citronusher.example/citronusher"
)

// Timeouts are the spans from which the watch makes its deadlines.
type Timeouts struct {
	// Unresponsive is how long the primary may leave probes unanswered.
	Unresponsive time.Duration
	// Refused is the same when the primary's machine refuses connections.
	Refused time.Duration
	// ReplicationActive replaces Silence while replicas still hear from the primary.
	ReplicationActive time.Duration
	// RankDelay separates the homes: the home of rank r waits r times longer.
	RankDelay time.Duration
	// FollowInterval separates two orders to follow to one member.
	FollowInterval time.Duration
	// LeavingGrace is how long homes may finish their work on a leaving primary before another member is promoted.
	LeavingGrace time.Duration
}

// DefaultTimeouts keep a promotion under six seconds also when the two first homes are dead.
func DefaultTimeouts() Timeouts {
	return Timeouts{
		Unresponsive: 1 * time.Second, Refused: 400 * time.Millisecond, ReplicationActive: 2500 * time.Millisecond,
		RankDelay: 700 * time.Millisecond, FollowInterval: 500 * time.Millisecond,
		LeavingGrace: 2 * time.Second,
	}
}

const minFailures = 2 // failed probes before the primary can count as lost

// Action is what the home should do now. Its zero value means nothing.
type Action struct {
	// Promote is the term to claim; 0 for none.
	Promote uint64
	// Planned is set when Promote replaces a primary that still works: its log is complete before the promotion.
	Planned bool
	// Follow lists the members that must be ordered to follow Primary under Term.
	Follow []string
	// Primary is the current primary, for Follow and a planned promotion.
	Primary string
	// Term is the current term, for Follow and a planned promotion.
	Term uint64
}

type observation struct {
	state     citronusher.MemberState
	known     bool
	okAt      time.Time
	failures  int
	refused   bool
	busyAt    time.Time // when the member last refused a connection for want of free ones
	orderedAt time.Time
	leavingAt time.Time // when the home learnt that the member leaves; zero when it does not
}

func (o *observation) reachable() bool { return o.known && o.failures == 0 }

// Monitor follows the members of one group for one home. It is used by one goroutine at a time.
type Monitor struct {
	limits    Timeouts
	members   map[string]*observation
	order     []string
	startedAt time.Time
	deferTo   time.Time
	rank      int
}

// NewMonitor returns a watch that has seen nothing. Silence counts from startedAt.
func NewMonitor(members []string, limits Timeouts, startedAt time.Time) *Monitor {
	w := &Monitor{limits: limits, members: map[string]*observation{}, order: members, startedAt: startedAt}
	for _, name := range members {
		w.members[name] = &observation{okAt: startedAt}
	}
	return w
}

// SetMembers changes the group's members at now. What is known of members that stay is kept; those in replaced moved to
// another address and are unknown again.
func (w *Monitor) SetMembers(members, replaced []string, now time.Time) {
	kept := map[string]*observation{}
	for _, name := range members {
		kept[name] = w.members[name]
		if kept[name] == nil || slices.Contains(replaced, name) {
			kept[name] = &observation{okAt: now}
		}
	}
	w.members, w.order = kept, members
}

// SetRank sets the home's place in the order of the database's homes, which counts from 0.
func (w *Monitor) SetRank(rank int) { w.rank = rank }

// Observe records a member's answer. An answer to an older question than the last one is ignored.
func (w *Monitor) Observe(name string, state citronusher.MemberState, now time.Time) {
	o := w.members[name]
	if o == nil || (o.known && state.RequestedAt().Before(o.state.RequestedAt())) {
		return
	}
	o.state, o.known, o.okAt, o.failures, o.refused = state, true, now, 0, false
}

// ObserveFailure records an unanswered probe. refused is true when the member's machine refused the connection.
func (w *Monitor) ObserveFailure(name string, refused bool) {
	if o := w.members[name]; o != nil {
		o.failures++
		o.refused = refused
	}
}

// ObserveBusy records that a member has no free connection for a probe: it is alive, but its state stays unknown.
func (w *Monitor) ObserveBusy(name string, now time.Time) {
	if o := w.members[name]; o != nil {
		o.busyAt, o.okAt, o.failures, o.refused = now, now, 0, false
	}
}

// DeferPromotion holds back the next promotion until at, after a failed one.
func (w *Monitor) DeferPromotion(at time.Time) { w.deferTo = at }

// SetLeaving records whether a member takes no new work.
func (w *Monitor) SetLeaving(name string, leaving bool, now time.Time) {
	o := w.members[name]
	switch {
	case o == nil:
	case !leaving:
		o.leavingAt = time.Time{}
	case o.leavingAt.IsZero():
		o.leavingAt = now
	}
}

// Leaving reports whether a member takes no new work.
func (w *Monitor) Leaving(name string) bool {
	o := w.members[name]
	return o != nil && !o.leavingAt.IsZero()
}

// State returns a member's last answer and whether the member answered its last probe.
func (w *Monitor) State(name string) (state citronusher.MemberState, reachable bool) {
	o := w.members[name]
	if o == nil {
		return citronusher.MemberState{}, false
	}
	return o.state, o.reachable()
}

// Primary returns the primary of the newest term seen. ok is false while none is known, and when a majority has
// accepted a newer term than the primary's.
func (w *Monitor) Primary() (name string, term uint64, ok bool) {
	for _, candidate := range w.order {
		o := w.members[candidate]
		if o.known && o.state.Role() == citronusher.RolePrimary && o.state.Term() > term {
			name, term = candidate, o.state.Term()
		}
	}
	if name == "" || w.countAbove(term) >= Majority(len(w.order)) {
		return "", 0, false
	}
	return name, term, true
}

func (w *Monitor) countAbove(term uint64) int {
	count := 0
	for _, o := range w.members {
		if o.known && o.state.Term() > term {
			count++
		}
	}
	return count
}

// Majority returns how many of count members are more than half.
func Majority(count int) int { return count/2 + 1 }

// Decide returns what to do at now.
func (w *Monitor) Decide(now time.Time) Action {
	primary, term, ok := w.Primary()
	if ok && w.mustMove(primary, now) {
		return Action{Promote: w.newest() + 1, Planned: true, Primary: primary, Term: term}
	}
	if ok && !w.lost(primary, now) {
		return Action{Follow: w.strays(primary, term, now), Primary: primary, Term: term}
	}
	if !ok && (now.Before(w.startedAt.Add(w.limits.Unresponsive+w.stagger())) || w.hidden(now)) {
		return Action{}
	}
	if now.Before(w.deferTo) || w.countReachable() < Majority(len(w.order)) {
		return Action{}
	}
	return Action{Promote: w.newest() + 1}
}

// hidden reports whether there may be a primary that this home has not seen: a member that is too busy to tell its
// role, or one that replicas heard from, for as long as Patience lets them be right.
func (w *Monitor) hidden(now time.Time) bool {
	recent := now.Add(-w.limits.Unresponsive)
	for _, o := range w.members {
		if !o.known && o.busyAt.After(recent) {
			return true
		}
	}
	return w.heardByReplica("", now) && now.Before(w.startedAt.Add(w.limits.ReplicationActive+w.stagger()))
}

func (w *Monitor) stagger() time.Duration { return time.Duration(w.rank) * w.limits.RankDelay }

// mustMove reports whether a working primary leaves and another member can take its place.
func (w *Monitor) mustMove(primary string, now time.Time) bool {
	o := w.members[primary]
	if o.leavingAt.IsZero() || !o.reachable() || now.Before(w.deferTo) ||
		now.Before(o.leavingAt.Add(w.limits.LeavingGrace+w.stagger())) {
		return false
	}
	for name, other := range w.members {
		if name != primary && other.reachable() && other.leavingAt.IsZero() {
			return true
		}
	}
	return false
}

// lost reports whether the primary's silence has lasted long enough for this home to act.
func (w *Monitor) lost(primary string, now time.Time) bool {
	o := w.members[primary]
	if o.failures < minFailures {
		return false
	}
	span := w.limits.Unresponsive
	switch {
	case w.heardByReplica(primary, now):
		span = w.limits.ReplicationActive
	case o.refused:
		span = w.limits.Refused
	}
	return !now.Before(o.okAt.Add(span + w.stagger()))
}

// heardByReplica reports whether a reachable replica heard from the primary within the silence limit.
func (w *Monitor) heardByReplica(primary string, now time.Time) bool {
	for name, o := range w.members {
		replica := name != primary && o.state.Role() == citronusher.RoleReplica
		if replica && o.reachable() && o.state.ReceivedAt().After(now.Add(-w.limits.Unresponsive)) {
			return true
		}
	}
	return false
}

// strays returns the members that do not follow the primary, and notes that they are ordered to.
func (w *Monitor) strays(primary string, term uint64, now time.Time) []string {
	var strays []string
	if !w.members[primary].reachable() {
		return nil
	}
	for _, name := range w.order {
		o := w.members[name]
		if name == primary || !o.reachable() || now.Before(o.orderedAt.Add(w.limits.FollowInterval)) {
			continue
		}
		silent := o.state.ReceivedAt().Before(o.state.RequestedAt().Add(-w.limits.Unresponsive))
		if o.state.Term() < term || (o.state.Term() == term && silent) {
			o.orderedAt = now
			strays = append(strays, name)
		}
	}
	return strays
}

func (w *Monitor) countReachable() int {
	count := 0
	for _, o := range w.members {
		if o.reachable() {
			count++
		}
	}
	return count
}

func (w *Monitor) newest() uint64 {
	newest := uint64(0)
	for _, o := range w.members {
		newest = max(newest, o.state.Term())
	}
	return newest
}

// TermStarts returns the term starts known to the primary of the newest term.
func (w *Monitor) TermStarts() []citronusher.TermStart {
	name, _, ok := w.Primary()
	if !ok {
		return nil
	}
	return w.members[name].state.TermStarts()
}
