//go:build review

package lab

import (
	"maps"
	"net/http"
	"slices"
	"strconv"
)

// headerEra holds the store's era in each of its responses. The era rises by one with each restore.
const headerEra = "Store-Era"

// storeCopy is what the store returns to when it is restored.
type storeCopy struct {
	rows    map[string]row
	version uint64
}

// Copy keeps a copy of all rows and of the version counter, in place of an earlier one. Until the first call the copy is
// that of the empty store.
func (s *Store) Copy() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copied = storeCopy{rows: maps.Clone(s.rows), version: s.version}
}

// Restore returns to the copy: what daemons wrote since is lost, the version counter goes back, and the era rises. What
// operators and members wrote since is written again, with versions that were given out before. Open feed requests fail.
func (s *Store) Restore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.restoreCopy()
	s.rewrite()
}

// RestoreCopy does the first part of Restore. What operators and members wrote since the copy is missing until Rewrite.
func (s *Store) RestoreCopy() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.restoreCopy()
}

// Rewrite does the second part of Restore.
func (s *Store) Rewrite() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rewrite()
}

// Era returns the store's era.
func (s *Store) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// Count returns the number of rows of a table.
func (s *Store) Count(table string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for _, r := range s.rows {
		if r.Table == table && !r.Deleted {
			count++
		}
	}
	return count
}

// restoreCopy returns to the copy and begins an era. The caller must hold s.mu.
func (s *Store) restoreCopy() {
	s.lost = nil
	for _, r := range s.rows {
		if (r.Table == tableOperator || r.Table == tableMembers) && r.Version > s.copied.version {
			s.lost = append(s.lost, r)
		}
	}
	slices.SortFunc(s.lost, func(a, b row) int { return int(a.Version) - int(b.Version) }) //nolint:gosec // small
	s.rows, s.version = maps.Clone(s.copied.rows), s.copied.version
	s.era++
	close(s.restored)
	s.restored = make(chan struct{})
}

// rewrite writes the lost rows of operators and members again, unless they have been written since. The caller must hold
// s.mu.
func (s *Store) rewrite() {
	for _, r := range s.lost {
		if s.rows[r.name()].Version > s.copied.version {
			continue
		}
		s.version++
		r.Version = s.version
		s.set(r)
	}
	s.lost = nil
	s.notifyFeeds()
}

// writeEra writes the era's header of a response. The caller must hold s.mu.
func (s *Store) writeEra(w http.ResponseWriter) {
	w.Header().Set(headerEra, strconv.FormatUint(s.era, 10))
}
