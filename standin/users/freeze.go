package users

// SetFrozen sets whether the member is frozen: it accepts connections and keeps what is sent to it, but performs nothing,
// does not replicate and reports nothing. When it goes on, it first performs what it has kept, in the order in which that
// came.
func (m *Member) SetFrozen(frozen bool) {
	m.withLock(func() {
		m.thaw()
		m.frozen = frozen && !m.crashed
	})
}

// thaw makes a frozen member go on. The caller must hold the group's mutex.
func (m *Member) thaw() {
	if m.frozen {
		m.frozen = false
		m.wakeFirst()
	}
}

// wakeFirst wakes the one that has waited longest for the member to go on. The caller must hold the group's mutex.
func (m *Member) wakeFirst() {
	if len(m.kept) == 0 {
		return
	}
	select {
	case m.kept[0] <- struct{}{}:
	default: // it is awake already
	}
}

// awaitThaw waits until the member is not frozen, or the platform is closed.
func (m *Member) awaitThaw() {
	m.lockRunning()
	m.group.mu.Unlock()
}

// lockRunning locks the group's mutex at a moment at which the member is not frozen, or the platform is closed. Those that
// wait for the member to go on get the mutex before others, in the order in which they came.
func (m *Member) lockRunning() {
	m.group.mu.Lock()
	if !m.frozen && len(m.kept) == 0 {
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
			m.kept = m.kept[1:]
			m.wakeFirst()
			return
		}
	}
}
