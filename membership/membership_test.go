package membership_test

import (
	"testing"
	"time"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/membership"
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func live(v *membership.View, at time.Time) string {
	names := ""
	for _, instance := range v.Live(at) {
		names += instance.Name() + " "
	}
	return names
}

// TestView checks that an announcement wins over the lagging list and over older announcements, and that a suspected
// instance is not live until its suspicion ends. Otherwise a daemon would send work to an instance that is stopping.
func TestView(t *testing.T) {
	listed := []citronusher.Instance{
		citronusher.NewInstance("d2", "", "oita", citronusher.InstanceLive),
		citronusher.NewInstance("d1", "", "oita", citronusher.InstanceLive),
	}
	v := membership.NewView()
	v.SetListed(listed)
	expect := func(step, want string, at time.Time) {
		t.Helper()
		if got := live(v, at); got != want {
			t.Errorf("%s: live %q, want %q", step, got, want)
		}
	}
	expect("listed", "d1 d2 ", now)
	if !v.Apply(membership.NewAnnouncement("d2", citronusher.InstanceLeaving, 5)) {
		t.Error("a new announcement was ignored")
	}
	expect("leaving", "d1 ", now)
	v.SetListed(listed)
	expect("leaving, the list lags", "d1 ", now)
	if v.Apply(membership.NewAnnouncement("d2", citronusher.InstanceLive, 4)) {
		t.Error("an older announcement was applied")
	}
	v.Apply(membership.NewAnnouncement("d2", citronusher.InstanceLive, 6))
	expect("back", "d1 d2 ", now)
	v.Suspect("d1", now.Add(time.Second))
	expect("suspected", "d2 ", now)
	expect("suspicion over", "d1 d2 ", now.Add(time.Second))
	v.SetListed(listed[:1])
	expect("gone", "d2 ", now.Add(time.Second))
}
