package users

import (
	"fmt"
	"slices"
	"sort"
	"time"
)

// Run is one statement that a member ran with success.
type Run struct {
	// Member ran it at At as a member of Term. Position is the end of its log after the run, Rows what it returned.
	Member, Position, Rows string
	Term                   uint64
	At                     time.Time
	log                    []entry
}

// Commit is one commit of a member.
type Commit struct {
	// ID is the id of the statement; Member committed it at At as Number of its log, under Term.
	ID, Member   string
	Term, Number uint64
	At           time.Time
}

// Promotion is one promotion that took effect.
type Promotion struct {
	// Member became the primary of Term at At. The platform handled the request at RequestedAt.
	Member          string
	Term            uint64
	RequestedAt, At time.Time
}

// record gives out the signature of a run and keeps the run. The caller must hold the group's mutex.
func (m *Member) record(rows string) string {
	g := m.group
	g.signatures++
	signature := fmt.Sprintf("%s.%d.%s.%d", m.id, m.term, m.lastPosition(), g.signatures)
	if g.platform.options.Record {
		g.runs[signature] = Run{
			Member: m.id, Position: m.lastPosition(), Rows: rows, Term: m.term, At: time.Now(), log: slices.Clip(m.log),
		}
	}
	return signature
}

// Run returns the run of a signature. It reports false when no member gave out the signature, or runs are not recorded.
func (g *Group) Run(signature string) (Run, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r, ok := g.runs[signature]
	return r, ok
}

// Commit returns the newest commit of a statement id.
func (g *Group) Commit(id string) Commit {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.commits[id]
}

// Promotions returns the promotions that took effect, in order.
func (g *Group) Promotions() []Promotion {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.promotions)
}

// History is a primary's log at one moment.
type History struct {
	log    []entry
	places map[string]int
}

// History returns the current primary's log. What members have committed and it lacks, promotions have rolled back or will.
func (g *Group) History() History {
	g.mu.Lock()
	defer g.mu.Unlock()
	h := History{places: map[string]int{}}
	if primary := g.primary(); primary != nil {
		h.log = slices.Clip(primary.log)
	}
	for i, e := range h.log {
		h.places[e.id] = i + 1
	}
	return h
}

// Place returns the length of the shortest log that holds the commit of a statement id; 0 when the history lacks it.
func (h History) Place(id string) int { return h.places[id] }

// At returns the id of the commit at a place.
func (h History) At(place int) string { return h.log[place-1].id }

// Reached returns how much of the history the log held on which a statement ran.
func (h History) Reached(r Run) int { return sharedLength(h.log, r.log) }

// sharedLength returns for how many entries two logs of a group are equal. A position stands for everything before it.
func sharedLength(a, b []entry) int {
	return sort.Search(min(len(a), len(b)), func(i int) bool { return a[i] != b[i] })
}
