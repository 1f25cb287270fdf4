// Package session keeps what a caller's session must see again: for each database, the position up to which later
// reads must reach.
//
// It stores nothing beyond the caller's connection; a roaming caller carries the token.
package session

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"citronusher.example/citronusher"
)

// maxDatabases bounds the entries of a token.
const maxDatabases = 32

// Session is one caller's session. It is used by one goroutine at a time.
type Session struct {
	name  string
	known bool
	seen  map[string]citronusher.Position
}

// New returns a session. A session without a name begins with its connection, so that its empty history is complete. A
// named one may have written elsewhere: until a token says up to where, its positions are unknown.
func New(name string) *Session {
	return &Session{name: name, known: name == "", seen: map[string]citronusher.Position{}}
}

// Name returns the caller's name for the session; empty when it gave none.
func (s *Session) Name() string { return s.name }

// Position returns the position that reads of database must reach, and false while it is unknown.
func (s *Session) Position(database string) (citronusher.Position, bool) {
	position, ok := s.seen[database]
	return position, ok || s.known
}

// Advance records that the session wrote or read database up to position. It reports whether the token changed.
func (s *Session) Advance(database string, position citronusher.Position) bool {
	old, ok := s.seen[database]
	if position.IsZero() || (ok && !old.Less(position)) {
		return false
	}
	s.seen[database] = position
	return true
}

// Reset replaces the position of database after its loss was reported to the caller.
func (s *Session) Reset(database string, position citronusher.Position) {
	s.seen[database] = position
}

// Token encodes the positions as database=term/offset pairs.
func (s *Session) Token() string {
	pairs := make([]string, 0, len(s.seen))
	for _, database := range slices.Sorted(maps.Keys(s.seen)) {
		pairs = append(pairs, database+"="+s.seen[database].String())
	}
	return strings.Join(pairs, ",")
}

// MergeToken merges a token that the caller brings along. Its error is ErrInvalid.
func (s *Session) MergeToken(token string) error {
	taken := map[string]citronusher.Position{}
	for _, pair := range strings.Split(token, ",") {
		if pair == "" {
			continue
		}
		database, text, found := strings.Cut(pair, "=")
		var term, offset uint64
		if n, err := fmt.Sscanf(text, "%d/%d", &term, &offset); !found || err != nil || n != 2 {
			return fmt.Errorf("%w: session token: %q is not database=term/offset", citronusher.ErrInvalid, pair)
		}
		taken[database] = citronusher.NewPosition(term, offset)
	}
	if len(taken) > maxDatabases {
		return fmt.Errorf("%w: session token: %d databases (allowed: 0 to %d)", citronusher.ErrInvalid, len(taken),
			maxDatabases)
	}
	for database, position := range taken {
		s.Advance(database, position)
	}
	s.known = true
	return nil
}

// FirstLostTerm returns the branch at which records that the session had seen were dropped by a promotion. ok is false when all
// of them survived.
func FirstLostTerm(seen citronusher.Position, branches []citronusher.TermStart) (branch citronusher.TermStart, ok bool) {
	for _, b := range branches {
		if b.Term() > seen.Term() && b.Offset() < seen.Offset() {
			return b, true
		}
	}
	return citronusher.TermStart{}, false
}
