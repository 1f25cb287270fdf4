package users

// SetFrozen sets whether the member is frozen: it accepts connections and keeps what is sent to it, but performs nothing,
// does not replicate and reports nothing. When it goes on, it performs what it has kept: in the order of each connection,
// and in any order between connections.
func (m *Member) SetFrozen(frozen bool) {
	m.withLock(func() {
		m.thaw()
		if frozen && !m.crashed {
			m.frozen = make(chan struct{})
		}
	})
}

// thaw makes a frozen member go on. The caller must hold the group's mutex.
func (m *Member) thaw() {
	if m.frozen != nil {
		close(m.frozen)
		m.frozen = nil
	}
}

// awaitThaw waits until the member is not frozen, or the platform is closed.
func (m *Member) awaitThaw() {
	m.lockRunning()
	m.group.mu.Unlock()
}

// lockRunning locks the group's mutex at a moment at which the member is not frozen, or the platform is closed.
func (m *Member) lockRunning() {
	for {
		m.group.mu.Lock()
		frozen := m.frozen
		if frozen == nil {
			return
		}
		m.group.mu.Unlock()
		select {
		case <-frozen:
		case <-m.group.platform.done:
			m.group.mu.Lock()
			return
		}
	}
}
