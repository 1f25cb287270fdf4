package targets

import (
	"errors"
	"testing"
	"time"

	"citronusher.example/citronusher"
)

// TestNothingIsSentWithoutALease guards against a statement that reaches a primary after its lease was released or expired.
func TestNothingIsSentWithoutALease(t *testing.T) {
	for name, end := range map[string]func(*fakeGroup, *Group){
		"released": func(_ *fakeGroup, g *Group) { g.releaseLease(1) },
		"expired":  func(f *fakeGroup, _ *Group) { f.advance(time.Minute) },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFakeGroup(t)
			g := f.open()
			f.advance(time.Millisecond)
			g.discover()
			sent := 0
			f.members["a"].run = func() citronusher.Answer { sent++; return citronusher.Answer{} }
			conn := acquire(t, g)
			end(f, g)
			if _, err := conn.Run(citronusher.Never, 0, citronusher.Command{}); !errors.Is(err, ErrNotSent) || sent != 0 {
				t.Errorf("%d commands were sent: %v", sent, err)
			}
			conn.Release()
		})
	}
}
