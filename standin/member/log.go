package member

import (
	"encoding/json"

	"citronusher.example/citronusher"
)

// statement is a logged write and its arguments.
type statement struct {
	SQL  string `json:"sql"`
	Args []any  `json:"args,omitempty"`
}

// record is a committed transaction in the replicated log.
type record struct {
	Term       uint64      `json:"term"`
	Statements []statement `json:"run"`
}

// replicaLog is the member's log. The first record has offset 1. The caller must synchronize access.
type replicaLog struct {
	records    []record
	termStarts []citronusher.TermStart
}

// offset returns the offset of the last record; 0 for an empty log.
func (l *replicaLog) offset() uint64 { return uint64(len(l.records)) }

func (l *replicaLog) position() citronusher.Position {
	if len(l.records) == 0 {
		return citronusher.Position{}
	}
	return citronusher.NewPosition(l.records[len(l.records)-1].Term, l.offset())
}

func (l *replicaLog) append(r record) { l.records = append(l.records, r) }

// after returns at most limit records after offset, encoded as JSON.
func (l *replicaLog) after(offset uint64, limit int) [][]byte {
	var encoded [][]byte
	for i := offset; i < l.offset() && len(encoded) < limit; i++ {
		body, err := json.Marshal(l.records[i])
		if err != nil {
			return encoded
		}
		encoded = append(encoded, body)
	}
	return encoded
}

// termAt returns the term of the record at offset according to termStarts.
func termAt(termStarts []citronusher.TermStart, offset uint64) uint64 {
	term := uint64(0)
	for _, start := range termStarts {
		if start.Offset() < offset {
			term = start.Term()
		}
	}
	return term
}

// commonPrefix returns how many records the log shares with that of a primary with the given termStarts, whose last
// record is at offset head.
func (l *replicaLog) commonPrefix(termStarts []citronusher.TermStart, head uint64) uint64 {
	shared := min(l.offset(), head)
	for shared > 0 && l.records[shared-1].Term != termAt(termStarts, shared) {
		shared--
	}
	return shared
}
