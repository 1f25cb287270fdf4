// Package membership decides which instances take part. It merges the platform's list, which lags, the instances'
// announcements and this daemon's suspicions into one view.
//
// It does no I/O. The views of two daemons may differ for a while; only the use of connections depends on them.
package membership

import (
	"slices"
	"strings"
	"time"

	"citronusher.example/citronusher"
)

// Announcement is the state that an instance reports about itself.
type Announcement struct {
	name  string
	state citronusher.InstanceState
	epoch uint64
}

// NewAnnouncement returns the announcement that name is in state. epoch increases with each start of the instance and with
// each of its announcements.
func NewAnnouncement(name string, state citronusher.InstanceState, epoch uint64) Announcement {
	return Announcement{name: name, state: state, epoch: epoch}
}

// Name returns the instance's name.
func (a Announcement) Name() string { return a.name }

// State returns the announced state.
func (a Announcement) State() citronusher.InstanceState { return a.state }

// Epoch returns the number that orders the announcements of one instance.
func (a Announcement) Epoch() uint64 { return a.epoch }

// View is the merged state of the instances. It is used by one goroutine at a time.
type View struct {
	listed        []citronusher.Instance
	announcements map[string]Announcement
	suspected     map[string]time.Time // the suspicion's deadline
}

// NewView returns an empty view.
func NewView() *View {
	return &View{announcements: map[string]Announcement{}, suspected: map[string]time.Time{}}
}

// SetListed replaces the platform's list. Announcements of instances that are no longer listed are removed.
func (v *View) SetListed(instances []citronusher.Instance) {
	v.listed = slices.SortedFunc(slices.Values(instances), func(a, b citronusher.Instance) int {
		return strings.Compare(a.Name(), b.Name())
	})
	for name := range v.announcements {
		if _, ok := v.Instance(name); !ok {
			delete(v.announcements, name)
		}
	}
}

// Apply records an announcement. It reports false when a newer or equal epoch was recorded before.
func (v *View) Apply(a Announcement) bool {
	old, ok := v.announcements[a.name]
	if ok && old.epoch >= a.epoch {
		return false
	}
	v.announcements[a.name] = a
	return true
}

// Suspect excludes an instance that does not respond from the live instances until the deadline.
func (v *View) Suspect(name string, deadline time.Time) { v.suspected[name] = deadline }

// ClearSuspicion ends the suspicion of an instance that responded.
func (v *View) ClearSuspicion(name string) { delete(v.suspected, name) }

// Suspected reports whether an instance is suspected at now.
func (v *View) Suspected(name string, now time.Time) bool { return now.Before(v.suspected[name]) }

// Instance returns the listed instance called name.
func (v *View) Instance(name string) (citronusher.Instance, bool) {
	for _, instance := range v.listed {
		if instance.Name() == name {
			return instance, true
		}
	}
	return citronusher.Instance{}, false
}

// Listed returns every listed instance, sorted by name.
func (v *View) Listed() []citronusher.Instance { return v.listed }

// Live returns the instances that accept new work at now, sorted by name.
func (v *View) Live(now time.Time) []citronusher.Instance {
	var live []citronusher.Instance
	for _, instance := range v.listed {
		if v.state(instance) == citronusher.InstanceLive && !v.Suspected(instance.Name(), now) {
			live = append(live, instance)
		}
	}
	return live
}

// state returns an instance's announced state, which is newer than the lagging list, or else its listed state.
func (v *View) state(instance citronusher.Instance) citronusher.InstanceState {
	if announcement, ok := v.announcements[instance.Name()]; ok {
		return announcement.state
	}
	return instance.State()
}
