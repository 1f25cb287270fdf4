package member

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// switches are the faults that a test turns on over HTTP.
type switches struct {
	mu         sync.Mutex
	open       chan struct{} // closed while nothing is cut, replaced at each change
	cut        map[string]bool
	lag        time.Duration
	slow       time.Duration
	mute       int // answers to commits still to be lost
	statements int // statements of callers that ran
}

func newSwitches() *switches {
	return &switches{open: make(chan struct{}), cut: map[string]bool{}}
}

// pass waits while traffic with peer is cut, or until done is closed.
func (s *switches) pass(peer string, done <-chan struct{}) bool {
	for {
		s.mu.Lock()
		blocked := s.cut[peer] || s.cut["all"] || (s.cut["group"] && strings.HasPrefix(peer, groupPrefix))
		changed := s.open
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

func (s *switches) delays() (lag, slow time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lag, s.slow
}

// count counts a caller's statement.
func (s *switches) count() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.statements++
}

// loseAnswer reports whether the answer to this commit is to be lost.
func (s *switches) loseAnswer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mute == 0 {
		return false
	}
	s.mute--
	return true
}

// ServeHTTP sets the switches: cut (comma-separated peer names, group or all), lag and slow (milliseconds), mute
// (number of commits whose answer is lost). It reports the number of callers' statements so far.
func (s *switches) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	query := r.URL.Query()
	if query.Has("cut") {
		s.cut = map[string]bool{}
		for _, name := range strings.Split(query.Get("cut"), ",") {
			s.cut[name] = name != ""
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
		s.mute, _ = strconv.Atoi(query.Get("mute"))
	}
	close(s.open)
	s.open = make(chan struct{})
	fmt.Fprintf(w, "statements=%d\n", s.statements)
}
