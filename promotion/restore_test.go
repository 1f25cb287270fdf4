package promotion_test

import (
	"testing"
	"time"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/promotion"
)

// TestNewDaemonDoesNotTrustTheListAfterARestore guards against a promotion beside the lease of a daemon whose registration
// was lost: the promoter started after the store had returned from an older copy, and has seen no other era.
func TestNewDaemonDoesNotTrustTheListAfterARestore(t *testing.T) {
	const now = citronusher.Instant(time.Minute)
	era := citronusher.StoreEra{Number: 2, SeenAt: now.Add(-time.Second)}
	if promotion.ListComplete(citronusher.Claim{Era: 2}, era, now) {
		t.Error("the list is taken for complete one second after the second era was seen first")
	}
}
