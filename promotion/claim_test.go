package promotion_test

import (
	"testing"
	"time"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/promotion"
)

// TestClaimsExclude checks that another daemon can replace a claim only after its end, and that a promotion is requested
// before that. Otherwise two daemons could promote different members.
func TestClaimsExclude(t *testing.T) {
	const now = citronusher.Instant(7)
	era := citronusher.StoreEra{Number: 1, SeenAt: 3}
	claimable := func(claim citronusher.Claim, self string) bool {
		return promotion.ClaimableAt(claim, era, self, now) <= now
	}
	claim := promotion.NextClaim(citronusher.Claim{StoreMillis: 1000}, era, "d1", promotion.Primary{Term: 1})
	claim.StoreMillis = 1000
	if claimable(claim, "d2") {
		t.Error("d2 may replace a claim that d1 just made")
	}
	if !claimable(claim, "d1") {
		t.Error("d1 may not renew its own claim")
	}
	claim.StoreMillis = 1000 + promotion.ClaimTTL.Milliseconds()
	if !claimable(claim, "d2") {
		t.Error("d2 may not replace a claim that has ended")
	}
	pausedAt := citronusher.Instant(0).Add(500 * time.Millisecond)
	if promotion.EarliestRequestAt(pausedAt, false) > promotion.RequestDeadline(0) {
		t.Error("the leases of daemons that do not respond expire after the request deadline")
	}
	if last := promotion.RequestDeadline(0); last >= promotion.ClaimDeadline(0) {
		t.Errorf("a promotion may be requested until %v, when the claim has ended", last)
	}
}

// TestLostClaimsExclude guards against two daemons that promote at once because the store lost the claim of one of them: in
// a new era a claim is written only when each claim of the earlier era has ended.
func TestLostClaimsExclude(t *testing.T) {
	const now = citronusher.Instant(time.Minute)
	lastClaim := citronusher.Claim{Holder: "d1", Era: 1, EndMillis: 1, StoreMillis: 2}
	seen := citronusher.StoreEra{Number: 2, SeenAt: now.Add(-time.Second)}
	for name, read := range map[string]citronusher.Claim{
		"no claim": {StoreMillis: 2}, "a claim that has ended": lastClaim, "own": {Holder: "d2", Era: 1, StoreMillis: 2},
	} {
		if at := promotion.ClaimableAt(read, seen, "d2", now); at != seen.SeenAt.Add(promotion.ClaimTTL) {
			t.Errorf("%s: claimable %s after the era was seen, want %s", name, at.Sub(seen.SeenAt), promotion.ClaimTTL)
		}
	}
	later := seen.SeenAt.Add(promotion.ClaimTTL)
	if promotion.ClaimableAt(lastClaim, seen, "d2", later) != later {
		t.Error("d2 may not claim the group when every lost claim has ended")
	}
	inEra := promotion.NextClaim(lastClaim, seen, "d1", promotion.Primary{Term: 1})
	inEra.StoreMillis = inEra.EndMillis
	if promotion.ClaimableAt(inEra, seen, "d2", now) != now {
		t.Error("d2 may not replace a claim of this era that has ended")
	}
	if promotion.RequestDeadline(0) > citronusher.Instant(promotion.ClaimTTL) {
		t.Error("a promotion may be requested after its claim has ended")
	}
}

// TestLostRegistrationsHoldLeases guards against a promotion that takes effect before the lease of a daemon whose
// registration the store has lost, so that nobody asked it to release that lease.
func TestLostRegistrationsHoldLeases(t *testing.T) {
	const now = citronusher.Instant(time.Minute)
	recent, old := now.Add(-time.Second), now.Add(-30*time.Second)
	for name, c := range map[string]struct {
		claim uint64
		era   citronusher.StoreEra
		want  bool
	}{
		"no restore":                   {1, citronusher.StoreEra{Number: 1, SeenAt: recent}, true},
		"restored while the claim ran": {1, citronusher.StoreEra{Number: 2, SeenAt: old}, false},
		"restored a moment ago":        {2, citronusher.StoreEra{Number: 2, SeenAt: recent}, false},
		"restored long ago":            {2, citronusher.StoreEra{Number: 2, SeenAt: old}, true},
	} {
		if got := promotion.ListComplete(citronusher.Claim{Era: c.claim}, c.era, now); got != c.want {
			t.Errorf("%s: complete %t, want %t", name, got, c.want)
		}
	}
}

// TestOnlyAFreeClaimProvesALease guards against a lease on a primary whose successor may have been promoted: a claim on its
// term, one that the store may have lost, and one that ended only now prove nothing.
func TestOnlyAFreeClaimProvesALease(t *testing.T) {
	const term = 4
	era := citronusher.StoreEra{Number: 2}
	claim := func(era, term uint64, endMillis, storeMillis int64) citronusher.Claim {
		return citronusher.Claim{
			Era: era, Term: term, Phase: citronusher.ClaimHeld, EndMillis: endMillis, StoreMillis: storeMillis,
		}
	}
	free := func(term uint64) citronusher.Claim {
		return citronusher.Claim{Era: 2, Term: term, Phase: citronusher.ClaimFree, EndMillis: 9000, StoreMillis: 8000}
	}
	for name, c := range map[string]struct {
		read             citronusher.Claim
		unclaimed, ended bool
	}{
		"claim on the term":         {claim(2, term, 9000, 8000), false, false},
		"claim on the term, ending": {claim(2, term, 9000, 9999), false, false},
		"claim on the term, ended":  {claim(2, term, 9000, 10000), false, true},
		"claim on the predecessor":  {claim(2, term-1, 9000, 8000), true, false},
		"claim that was freed":      {free(term), true, false},
		"freed, on the predecessor": {free(term - 1), true, false},
		"freed, on a successor":     {free(term + 1), false, false},
		"none in this era":          {claim(0, 0, 0, 8000), false, true},
		"of an earlier era":         {claim(1, term-1, 1, 8000), false, true},
	} {
		if got := promotion.Unclaimed(c.read, era, term); got != c.unclaimed {
			t.Errorf("%s: unclaimed %t, want %t", name, got, c.unclaimed)
		}
		if got := promotion.Ended(c.read); got != c.ended {
			t.Errorf("%s: ended %t, want %t", name, got, c.ended)
		}
	}
}

// TestClaimTermNeverGoesBack guards against a lease on a primary that was replaced: a daemon that knows no member
// claims the group over the claim under which a promotion was requested.
func TestClaimTermNeverGoesBack(t *testing.T) {
	const term = 4
	era := citronusher.StoreEra{Number: 2}
	read := promotion.NextClaim(citronusher.Claim{Era: 2}, era, "d1", promotion.Primary{Term: term})
	next := promotion.NextClaim(read, era, "d2", promotion.Primary{})
	if next.Term != term || promotion.Unclaimed(next, era, term) {
		t.Errorf("the claim on term %d was replaced by one on term %d", term, next.Term)
	}
}

// TestRepeatedRequestOutlastsClaims guards against a planned promotion that does not wait because a later claim has replaced
// the one under which a request was repeated, and against one that waits forever, or for another member.
func TestRepeatedRequestOutlastsClaims(t *testing.T) {
	era := citronusher.StoreEra{Number: 1}
	old, next := promotion.Primary{Term: 1, ID: "a"}, promotion.Primary{Term: 2, ID: "b"}
	claim := func(read citronusher.Claim, at int64, primary promotion.Primary) citronusher.Claim {
		read.StoreMillis = at
		return promotion.NextClaim(read, era, "d1", primary)
	}
	b := citronusher.Candidate{ID: "b"}
	once := promotion.RequestedClaim(claim(citronusher.Claim{Era: 1}, 1000, old), b, 0)
	if wait := promotion.PlannedWait(once, next); wait != 0 {
		t.Errorf("the wait after one request is %s", wait)
	}
	twice := promotion.RequestedClaim(claim(once, 60_000, old), b, time.Second)
	if want := (citronusher.RepeatedRequest{ID: "b", Millis: 61_000}); twice.Repeated != want {
		t.Fatalf("repeated request %+v, want %+v", twice.Repeated, want)
	}
	held := claim(twice, 62_000, next)
	for name, row := range map[string]citronusher.Claim{
		"requested": twice, "held": held, "freed": promotion.FreedClaim(held), "recorded": promotion.FreeClaim(held, era, "d1", 2),
	} {
		for at, want := range map[int64]time.Duration{
			60_000: 5 * time.Second, 62_000: 4 * time.Second, 66_000: 0, 99_000: 0,
		} {
			row.StoreMillis = at
			if wait := promotion.PlannedWait(row, next); wait != want {
				t.Errorf("%s, read at %d: wait %s, want %s", name, at, wait, want)
			}
		}
		row.StoreMillis = 62_000
		if wait := promotion.PlannedWait(row, promotion.Primary{Term: 3, ID: "c"}); wait != 0 {
			t.Errorf("%s: the wait for another member is %s", name, wait)
		}
	}
	again := promotion.RequestedClaim(claim(held, 70_000, promotion.Primary{Term: 3, ID: "c"}), b, 0)
	if again.Repeated.Millis != 70_000 {
		t.Errorf("a request after a repeated one for the same member: %+v", again.Repeated)
	}
}
