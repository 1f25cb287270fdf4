//go:build review

package lab

import (
	"fmt"
	"slices"
	"time"
)

// Successor ends a draining member as planned. Its log goes to a new member at its address, which is a replica.
func (g *Group) Successor(old *Member, id string) error {
	address := old.address
	old.stop()
	g.mu.Lock()
	defer g.mu.Unlock()
	m := &Member{
		group: g, id: id, role: roleReplica, term: old.term, log: slices.Clone(old.log), conns: old.conns,
		times: make([]time.Time, len(old.log)), slots: old.slots, born: time.Now().UnixMilli(), address: address,
	}
	if err := m.listen(address); err != nil {
		return fmt.Errorf("successor of %s: %w", old.id, err)
	}
	g.members[slices.Index(g.members, old)] = m
	g.platform.remove(old.id)
	return nil
}

// remove removes a member's row.
func (s *Store) remove(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.set(row{Table: tableMembers, Key: id, Version: s.version, Deleted: true})
	s.notifyFeeds()
}

// Role returns a member's role and term.
func (m *Member) Role() (string, uint64) {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	return m.role, m.term
}

// Holds reports whether the log of the present primary holds a write of data to item.
func (g *Group) Holds(item, data string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.ContainsFunc(g.primary().log, func(e entry) bool { return e.item == item && e.data == data })
}

// HasRow reports whether the store has a row.
func (s *Store) HasRow(table, part, key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.rows[row{Table: table, Part: part, Key: key}.name()]
	return ok && !r.Deleted
}

// Crashed reports whether the member is down.
func (m *Member) Crashed() bool {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	return m.crashed
}
