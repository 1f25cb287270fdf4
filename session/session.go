// Package session keeps the positions of a caller's session: for each database, the log position that later reads must
// include.
//
// The state ends with the caller's connection. A caller that reconnects passes the session's token.
package session

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"citronusher.example/citronusher"
)

// maxDatabases is the maximum number of databases in a token.
const maxDatabases = 32

// Session is one caller's session. It is used by one goroutine at a time.
type Session struct {
	name      string
	complete  bool // positions holds every database that the session has used
	positions map[string]citronusher.Position
}

// New returns a session. An unnamed session begins with its connection, so that its positions are known: there are none. A
// named one may have written through another connection; its positions are unknown until MergeToken.
func New(name string) *Session {
	return &Session{name: name, complete: name == "", positions: map[string]citronusher.Position{}}
}

// Name returns the caller's name for the session; empty when it gave none.
func (s *Session) Name() string { return s.name }

// Position returns the position that reads of database must include, and false while it is unknown.
func (s *Session) Position(database string) (citronusher.Position, bool) {
	position, ok := s.positions[database]
	return position, ok || s.complete
}

// Advance records that the session wrote or read database up to position. It reports whether the token changed; an
// earlier position or zero changes nothing.
func (s *Session) Advance(database string, position citronusher.Position) bool {
	old, ok := s.positions[database]
	if position.IsZero() || (ok && !old.Less(position)) {
		return false
	}
	s.positions[database] = position
	return true
}

// Reset replaces the position of database. It is called after the loss of writes was reported to the caller.
func (s *Session) Reset(database string, position citronusher.Position) {
	s.positions[database] = position
}

// Token encodes the positions as database=term/offset pairs.
func (s *Session) Token() string {
	pairs := make([]string, 0, len(s.positions))
	for _, database := range slices.Sorted(maps.Keys(s.positions)) {
		pairs = append(pairs, database+"="+s.positions[database].String())
	}
	return strings.Join(pairs, ",")
}

// MergeToken merges a token that the caller passes. Its error wraps ErrInvalid; the session is then unchanged.
func (s *Session) MergeToken(token string) error {
	merged := map[string]citronusher.Position{}
	for _, pair := range strings.Split(token, ",") {
		if pair == "" {
			continue
		}
		database, text, found := strings.Cut(pair, "=")
		var term, offset uint64
		if n, err := fmt.Sscanf(text, "%d/%d", &term, &offset); !found || err != nil || n != 2 {
			return fmt.Errorf("%w: session token: %q is not database=term/offset", citronusher.ErrInvalid, pair)
		}
		merged[database] = citronusher.NewPosition(term, offset)
	}
	if len(merged) > maxDatabases {
		return fmt.Errorf("%w: session token: %d databases (allowed: 0 to %d)", citronusher.ErrInvalid, len(merged),
			maxDatabases)
	}
	for database, position := range merged {
		s.Advance(database, position)
	}
	s.complete = true
	return nil
}

// FirstLostTerm returns the first term whose promotion discarded log records up to the session's position. ok is false when
// no record was discarded.
func FirstLostTerm(position citronusher.Position, starts []citronusher.TermStart) (start citronusher.TermStart, ok bool) {
	for _, s := range starts {
		if s.Term() > position.Term() && s.Offset() < position.Offset() {
			return s, true
		}
	}
	return citronusher.TermStart{}, false
}
