package home_test

import (
	"strings"
	"testing"

	"citronusher.example/citronusher/pg"
	"citronusher.example/citronusher/profile"
)

// TestVoidMarkerStopsAnEarlierAttempt guards against a marked transaction that commits after a caller was told that its
// request did not run and can no longer commit: it had begun before the void marker was written.
func TestVoidMarkerStopsAnEarlierAttempt(t *testing.T) {
	s := newGroupScript(t, 3)
	run := func(sql string) string { return s.run("late", profile.Never, "request-x", pg.StepQuery, sql) }
	s.line("setup marked INSERT INTO register VALUES (9, 'first')") // creates the marker table
	t.Log(run("BEGIN"))
	// What tryResolveOutcome writes for another attempt of the request, before it reports the request as not run.
	t.Log(s.line("other query INSERT INTO citronusher_marker VALUES ('request-x', 'void', 0)"))
	t.Log(run("INSERT INTO register VALUES (2, 'x')"))
	if got := run("COMMIT"); strings.HasSuffix(got, "ran") {
		t.Errorf("COMMIT of the earlier attempt: %s; it is there: %s", got,
			s.line("other query SELECT value FROM register WHERE key = 2"))
	}
}
