package peer

import (
	"errors"
	"fmt"
	"testing"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/pg"
)

// errGoAway is the HTTP/2 library's error for a stream that a stopping server did not accept.
var errGoAway = errors.New("unavailable: http2: Transport: cannot retry err [http2: Transport received Server's graceful " +
	"shutdown GOAWAY] after Request.Body was written; define Request.GetBody to avoid this error")

// TestUndeliveredRequestDidNotRun guards against reporting an unknown outcome for a request that a stopping home did not
// accept, although it did not run (1 of 11,516 requests in TestPlannedStopCutsNothingOff under load).
func TestUndeliveredRequestDidNotRun(t *testing.T) {
	for _, c := range []struct {
		err  error
		want citronusher.Outcome
	}{
		{errGoAway, citronusher.NotRun},
		{fmt.Errorf("unavailable: %w", &dialError{cause: errors.New("refused")}), citronusher.NotRun},
		{errors.New("unavailable: connection reset by peer"), citronusher.Unknown},
	} {
		w := &remoteConn{peer: &Peer{address: "127.0.0.1:1"}}
		if got := citronusher.AsFailure(w.connectionLost(citronusher.Request{}, c.err)).Outcome(); got != c.want {
			t.Errorf("%v: %s, expected %s", c.err, got, c.want)
		}
		home := citronusher.NewInstance("d1", "127.0.0.1:1", "", citronusher.InstanceLive)
		if got := errors.Is(forwardError(home, c.err), citronusher.ErrNotDelivered); got != (c.want == citronusher.NotRun) {
			t.Errorf("%v: delivered is %v", c.err, !got)
		}
	}
}

// TestLostExchangeInTransaction guards against an exchange that is reported as rolled back, although its Sync has committed
// an implicit transaction that began before a Flush.
func TestLostExchangeInTransaction(t *testing.T) {
	for status, want := range map[byte]citronusher.Outcome{
		pg.StatusIdle: citronusher.Unknown, pg.StatusActive: citronusher.NotRun, pg.StatusFailed: citronusher.NotRun,
	} {
		w := &remoteConn{peer: &Peer{address: "127.0.0.1:1"}}
		w.observe(citronusher.Result{Pinned: true, Status: status})
		err := w.connectionLost(citronusher.Request{}, errors.New("unavailable: connection reset by peer"))
		if got := citronusher.AsFailure(err).Outcome(); got != want {
			t.Errorf("status %c: %s, want %s", status, got, want)
		}
	}
}
