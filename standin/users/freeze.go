package users

import "slices"

// SetFrozen sets whether the member is frozen: it accepts connections and keeps what is sent to it, but performs nothing,
// does not replicate and reports nothing. When it goes on, it performs what it has kept: in the order of each connection,
// and in any order between connections.
func (m *Member) SetFrozen(frozen bool) {
	m.withLock(func() {
		m.thaw()
		m.frozen = frozen && !m.crashed
	})
}

// ThawInOrder makes a frozen member go on, which performs what it has kept in the order in which that came, and before
// anything that comes later.
func (m *Member) ThawInOrder() {
	m.withLock(func() {
		m.ordered = len(m.kept) > 0
		m.thaw()
	})
}

// thaw makes a frozen member go on. The caller must hold the group's mutex.
func (m *Member) thaw() {
	if m.frozen {
		m.frozen = false
		m.wake()
	}
}

// wake wakes those that wait for the member to go on: all of them, or only the first if they go in order. The caller must
// hold the group's mutex.
func (m *Member) wake() {
	for _, turn := range m.kept {
		select {
		case turn <- struct{}{}:
		default: // it is awake already
		}
		if m.ordered {
			return
		}
	}
}

// awaitThaw waits until the member is not frozen, or the platform is closed.
func (m *Member) awaitThaw() {
	m.lockRunning()
	m.group.mu.Unlock()
}

// lockRunning locks the group's mutex at a moment at which the member is not frozen, or the platform is closed, and at which
// it is the caller's turn if the member performs what it has kept in order.
func (m *Member) lockRunning() {
	m.group.mu.Lock()
	if !m.frozen && (len(m.kept) == 0 || !m.ordered) {
		return
	}
	turn := make(chan struct{}, 1)
	m.kept = append(m.kept, turn)
	for {
		m.group.mu.Unlock()
		select {
		case <-turn:
			m.group.mu.Lock()
		case <-m.group.platform.done:
			m.group.mu.Lock()
			return
		}
		if !m.frozen {
			m.leaveQueue(turn)
			return
		}
	}
}

// leaveQueue removes one of those that waited for the member to go on. The caller must hold the group's mutex.
func (m *Member) leaveQueue(turn chan struct{}) {
	i := slices.Index(m.kept, turn)
	m.kept = slices.Delete(m.kept, i, i+1)
	if len(m.kept) == 0 {
		m.ordered = false
		return
	}
	m.wake()
}
