package member

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// faults are the faults that a test sets over HTTP.
type faults struct {
	mu          sync.Mutex
	changed     chan struct{}   // closed and replaced at each change
	cutPeers    map[string]bool // peers whose traffic is blocked: application names, or "group" or "all"
	lag         time.Duration   // replication lag
	slow        time.Duration   // added to the duration of each statement
	lostAnswers int             // number of next commits whose answers are lost
	statements  int             // statements received from callers, without group functions
}

func newFaults() *faults {
	return &faults{changed: make(chan struct{}), cutPeers: map[string]bool{}}
}

// waitConnected waits until traffic with peer is not cut and returns true, or false once done is closed.
func (s *faults) waitConnected(peer string, done <-chan struct{}) bool {
	for {
		s.mu.Lock()
		blocked := s.cutPeers[peer] || s.cutPeers["all"] || (s.cutPeers["group"] && strings.HasPrefix(peer, groupPrefix))
		changed := s.changed
		s.mu.Unlock()
		if !blocked {
			return true
		}
		select {
		case <-changed:
		case <-done:
			return false
		}
	}
}

// delays returns the replication lag and the additional duration of a statement.
func (s *faults) delays() (lag, slow time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lag, s.slow
}

// countStatement counts a statement of a caller.
func (s *faults) countStatement() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.statements++
}

// loseAnswer reports whether to lose the answer to the current commit, and counts the loss.
func (s *faults) loseAnswer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lostAnswers == 0 {
		return false
	}
	s.lostAnswers--
	return true
}

// ServeHTTP sets the faults given as query parameters: cut (comma-separated peer names, group or all), lag and slow
// (milliseconds), mute (number of next commits whose answers are lost). It writes the number of callers' statements so far.
func (s *faults) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	query := r.URL.Query()
	if query.Has("cut") {
		s.cutPeers = map[string]bool{}
		for _, name := range strings.Split(query.Get("cut"), ",") {
			s.cutPeers[name] = name != ""
		}
	}
	for name, field := range map[string]*time.Duration{"lag": &s.lag, "slow": &s.slow} {
		if query.Has(name) {
			milliseconds, err := strconv.Atoi(query.Get(name))
			if err != nil {
				http.Error(w, err.Error(), http.StatusBadRequest)
				return
			}
			*field = time.Duration(milliseconds) * time.Millisecond
		}
	}
	if query.Has("mute") {
		s.lostAnswers, _ = strconv.Atoi(query.Get("mute"))
	}
	close(s.changed)
	s.changed = make(chan struct{})
	fmt.Fprintf(w, "statements=%d\n", s.statements)
}
