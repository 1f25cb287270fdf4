package citronusher

import (
	"fmt"
	"strings"
)

// Position is a position in a database group's replicated log: the term of the primary that wrote it and the offset in
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

// TermStart is the log offset at which a term begins. Records past Offset that were written under an older term were
// discarded by the promotion.
type TermStart struct {
	term   uint64
	offset uint64
}

// NewTermStart returns the start of term after offset, in log records.
func NewTermStart(term, offset uint64) TermStart { return TermStart{term: term, offset: offset} }

// Term returns the term that begins.
func (s TermStart) Term() uint64 { return s.term }

// Offset returns the offset of the last record inherited from older terms.
func (s TermStart) Offset() uint64 { return s.offset }

// ParseTermStarts parses comma-separated term:offset pairs. Its error wraps ErrInvalid.
func ParseTermStarts(text string) ([]TermStart, error) {
	var starts []TermStart
	for _, pair := range strings.Split(text, ",") {
		if pair == "" {
			continue
		}
		var s TermStart
		if _, err := fmt.Sscanf(pair, "%d:%d", &s.term, &s.offset); err != nil {
			return nil, fmt.Errorf("%w: term start %q: %w", ErrInvalid, pair, err)
		}
		starts = append(starts, s)
	}
	return starts, nil
}

// FormatTermStarts formats starts as ParseTermStarts parses them.
func FormatTermStarts(starts []TermStart) string {
	pairs := make([]string, len(starts))
	for i, s := range starts {
		pairs[i] = fmt.Sprintf("%d:%d", s.term, s.offset)
	}
	return strings.Join(pairs, ",")
}
