package term

import (
	"slices"
	"time"

	"citronusher.example/citronusher"
)

type observation struct {
	state             citronusher.MemberState
	known             bool
	lastResponseAt    time.Time
	failures          int
	refused           bool
	busyAt            time.Time // when the member last rejected a connection because it had no free one
	followRequestedAt time.Time
	leavingAt         time.Time // when the home was notified that the member is leaving; zero when it is not
	aheadAt           time.Time // when the member was first seen at a newer term than the primary's; zero when it is not
}

func (o *observation) reachable() bool { return o.known && o.failures == 0 }

// SetMembers changes the group's members at now. The observations of remaining members are kept, but for those in replaced,
// whose address changed.
func (m *Monitor) SetMembers(members, replaced []string, now time.Time) {
	kept := map[string]*observation{}
	for _, name := range members {
		kept[name] = m.members[name]
		if kept[name] == nil || slices.Contains(replaced, name) {
			kept[name] = &observation{lastResponseAt: now}
		}
	}
	m.members, m.order = kept, members
}

// Observe records a member's response. A response to an older request than the last one's is ignored.
func (m *Monitor) Observe(name string, state citronusher.MemberState, now time.Time) {
	o := m.members[name]
	if o == nil || (o.known && state.RequestedAt().Before(o.state.RequestedAt())) {
		return
	}
	o.state, o.known, o.lastResponseAt, o.failures, o.refused = state, true, now, 0, false
}

// ObserveFailure records an unanswered probe. refused is true when the member's machine refused the connection.
func (m *Monitor) ObserveFailure(name string, refused bool) {
	if o := m.members[name]; o != nil {
		o.failures++
		o.refused = refused
	}
}

// ObserveBusy records that a member has no free connection for a probe: it is running, but its state is not observed.
func (m *Monitor) ObserveBusy(name string, now time.Time) {
	if o := m.members[name]; o != nil {
		o.busyAt, o.lastResponseAt, o.failures, o.refused = now, now, 0, false
	}
}

// SetLeaving records whether a member accepts no new work.
func (m *Monitor) SetLeaving(name string, leaving bool, now time.Time) {
	o := m.members[name]
	switch {
	case o == nil:
	case !leaving:
		o.leavingAt = time.Time{}
	case o.leavingAt.IsZero():
		o.leavingAt = now
	}
}

// Leaving reports whether a member accepts no new work.
func (m *Monitor) Leaving(name string) bool {
	o := m.members[name]
	return o != nil && !o.leavingAt.IsZero()
}

// State returns a member's last response and whether the member responded to its last probe.
func (m *Monitor) State(name string) (state citronusher.MemberState, reachable bool) {
	o := m.members[name]
	if o == nil {
		return citronusher.MemberState{}, false
	}
	return o.state, o.reachable()
}
