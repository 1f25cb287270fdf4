package peer

import (
	"errors"
	"fmt"
	"testing"

	"citronusher.example/citronusher"
)

// errGoAway is what the HTTP/2 library reports for a stream that a stopping server did not take.
var errGoAway = errors.New("unavailable: http2: Transport: cannot retry err [http2: Transport received Server's graceful " +
	"shutdown GOAWAY] after Request.Body was written; define Request.GetBody to avoid this error")

// TestUntakenDidNotRun shows what is known of a request whose stream broke: one that a stopping home never took did not
// run. (Found by TestPlannedStopCutsNothingOff beside load: 1 of 11,516 requests was told that nobody knows.)
func TestUntakenDidNotRun(t *testing.T) {
	for _, c := range []struct {
		err  error
		want citronusher.Outcome
	}{
		{errGoAway, citronusher.NotRun},
		{fmt.Errorf("unavailable: %w", &dialError{cause: errors.New("refused")}), citronusher.NotRun},
		{errors.New("unavailable: connection reset by peer"), citronusher.Unknown},
	} {
		w := &remoteWork{peer: &Peer{address: "127.0.0.1:1"}}
		if got := citronusher.AsFailure(w.broken(citronusher.Request{}, c.err)).Outcome(); got != c.want {
			t.Errorf("%v: %s, expected %s", c.err, got, c.want)
		}
		home := citronusher.NewInstance("d1", "127.0.0.1:1", "", citronusher.InstanceLive)
		if got := errors.Is(carryError(home, c.err), citronusher.ErrNotDelivered); got != (c.want == citronusher.NotRun) {
			t.Errorf("%v: reached is %v", c.err, !got)
		}
	}
}
