package citronusher

import (
	"fmt"
	"strings"
)

// Position is a place in a database group's replicated log: the term of the primary that wrote it and the offset in
// log records. The zero Position precedes every record.
type Position struct {
	term   uint64
	offset uint64
}

// NewPosition returns the position at offset, in log records, written under term.
func NewPosition(term, offset uint64) Position {
	return Position{term: term, offset: offset}
}

// Term returns the term under which the position was observed.
func (p Position) Term() uint64 { return p.term }

// Offset returns the number of log records up to and including this position.
func (p Position) Offset() uint64 { return p.offset }

// IsZero reports whether p precedes every record.
func (p Position) IsZero() bool { return p == Position{} }

// Less orders positions by term, then by offset.
func (p Position) Less(o Position) bool {
	if p.term != o.term {
		return p.term < o.term
	}
	return p.offset < o.offset
}

// Max returns the later of p and o.
func (p Position) Max(o Position) Position {
	if p.Less(o) {
		return o
	}
	return p
}

// String formats the position as term/offset.
func (p Position) String() string { return fmt.Sprintf("%d/%d", p.term, p.offset) }

// TermStart says where a term begins in the log: records past Offset that carry an older term did not survive the
// promotion.
type TermStart struct {
	term  uint64
	start uint64
}

// NewTermStart returns the branch point of term at offset start, in log records.
func NewTermStart(term, start uint64) TermStart { return TermStart{term: term, start: start} }

// Term returns the term that begins at this branch.
func (b TermStart) Term() uint64 { return b.term }

// Offset returns the offset of the last record inherited from older terms.
func (b TermStart) Offset() uint64 { return b.start }

// ParseTermStarts reads branches written as term:start pairs between commas. Its error is ErrInvalid.
func ParseTermStarts(text string) ([]TermStart, error) {
	var branches []TermStart
	for _, pair := range strings.Split(text, ",") {
		if pair == "" {
			continue
		}
		var b TermStart
		if _, err := fmt.Sscanf(pair, "%d:%d", &b.term, &b.start); err != nil {
			return nil, fmt.Errorf("%w: branch %q: %w", ErrInvalid, pair, err)
		}
		branches = append(branches, b)
	}
	return branches, nil
}

// FormatTermStarts writes branches as ParseBranches reads them.
func FormatTermStarts(branches []TermStart) string {
	pairs := make([]string, len(branches))
	for i, b := range branches {
		pairs[i] = fmt.Sprintf("%d:%d", b.term, b.start)
	}
	return strings.Join(pairs, ",")
}
