package member

import (
	"encoding/json"

	"citronusher.example/citronusher"
)

// statement is one logged write with its arguments.
type statement struct {
	SQL  string `json:"sql"`
	Args []any  `json:"args,omitempty"`
}

// record is one committed transaction in the replicated log.
type record struct {
	Term       uint64      `json:"term"`
	Statements []statement `json:"run"`
}

// replicaLog is the member's log. Offsets count records and begin at 1. Its user locks.
type replicaLog struct {
	records  []record
	branches []citronusher.TermStart
}

func (l *replicaLog) offset() uint64 { return uint64(len(l.records)) }

func (l *replicaLog) position() citronusher.Position {
	if len(l.records) == 0 {
		return citronusher.Position{}
	}
	return citronusher.NewPosition(l.records[len(l.records)-1].Term, l.offset())
}

func (l *replicaLog) append(r record) { l.records = append(l.records, r) }

// after returns at most limit encoded records past offset.
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

// termAt returns the term of the record at offset according to branches.
func termAt(branches []citronusher.TermStart, offset uint64) uint64 {
	term := uint64(0)
	for _, branch := range branches {
		if branch.Offset() < offset {
			term = branch.Term()
		}
	}
	return term
}

// commonPrefix returns how many records the log shares with a primary that has branches and head.
func (l *replicaLog) commonPrefix(branches []citronusher.TermStart, head uint64) uint64 {
	shared := min(l.offset(), head)
	for shared > 0 && l.records[shared-1].Term != termAt(branches, shared) {
		shared--
	}
	return shared
}
