package proxy

import (
	"fmt"
	"strings"
	"testing"

	"citronusher.example/citronusher"
)

// newStateSession returns a session of p that only sets and prepares.
func newStateSession(p *Proxy) *session {
	return &session{proxy: p, values: map[string]string{}, prepared: map[string]citronusher.PreparedStatement{}}
}

// TestSessionStateIsBounded guards against callers that use up a daemon's memory with session values and prepared
// statements of up to 1 MiB each: by themselves, or many of them together. What a session replaces or drops counts no more.
func TestSessionStateIsBounded(t *testing.T) {
	const size = 1 << 20
	p := &Proxy{}
	text := strings.Repeat("x", size)
	accepted := 0
	var sessions []*session
	for range 2 * maxStateBytes / maxSessionBytes {
		s := newStateSession(p)
		sessions = append(sessions, s)
		for i := range 10 {
			name := fmt.Sprint("s", i)
			for _, define := range []func(citronusher.Statement) error{s.prepare, s.set} {
				if define(citronusher.Statement{Name: name, Value: text}) == nil {
					accepted += size
				}
			}
		}
		if s.stateBytes > maxSessionBytes {
			t.Fatalf("a session holds %d bytes", s.stateBytes)
		}
	}
	if accepted > maxStateBytes || accepted < maxStateBytes*9/10 {
		t.Errorf("%d bytes were accepted, at most %d are to be", accepted, maxStateBytes)
	}
	first := sessions[0]
	for range 20 {
		if err := first.set(citronusher.Statement{Name: "s0", Value: text}); err != nil {
			t.Fatalf("a value is not replaced: %v", err)
		}
	}
	if err := first.deallocate(citronusher.Statement{Name: "s0"}); err != nil {
		t.Fatal(err)
	}
	if err := first.prepare(citronusher.Statement{Name: "s1", Value: text}); err != nil {
		t.Errorf("dropped statements count: %v", err)
	}
	for _, s := range sessions {
		s.clearState()
	}
	if left := p.stateBytes.Load(); left != 0 {
		t.Errorf("%d bytes are counted without sessions", left)
	}
}
