// Package membership decides which instances take part: it merges the platform's lagging list, the instances' own notices
// and local suspicion into one view.
//
// It asks no one. Views of two daemons may differ for a while; nothing but the use of connections depends on them.
package membership

import (
	"slices"
	"strings"
	"time"

	"citronusher.example/citronusher"
)

// Announcement is an instance's own word about itself.
type Announcement struct {
	name  string
	state citronusher.InstanceState
	epoch uint64
}

// NewAnnouncement returns the notice that name is in state. epoch grows with each start of the instance and with each
// notice.
func NewAnnouncement(name string, state citronusher.InstanceState, epoch uint64) Announcement {
	return Announcement{name: name, state: state, epoch: epoch}
}

// Name returns the instance's name.
func (n Announcement) Name() string { return n.name }

// State returns the announced state.
func (n Announcement) State() citronusher.InstanceState { return n.state }

// Epoch returns the notice's number, comparable among notices of one instance.
func (n Announcement) Epoch() uint64 { return n.epoch }

// View merges what is known of the instances. It is used by one goroutine at a time.
type View struct {
	listed    []citronusher.Instance
	notices   map[string]Announcement
	suspected map[string]time.Time // until when
}

// NewView returns an empty view.
func NewView() *View {
	return &View{notices: map[string]Announcement{}, suspected: map[string]time.Time{}}
}

// SetListed replaces the platform's list. Notices of instances that it no longer holds are dropped.
func (v *View) SetListed(instances []citronusher.Instance) {
	v.listed = slices.SortedFunc(slices.Values(instances), func(a, b citronusher.Instance) int {
		return strings.Compare(a.Name(), b.Name())
	})
	for name := range v.notices {
		if _, ok := v.Instance(name); !ok {
			delete(v.notices, name)
		}
	}
}

// Apply records a notice and reports whether it was news.
func (v *View) Apply(n Announcement) bool {
	old, ok := v.notices[n.name]
	if ok && old.epoch >= n.epoch {
		return false
	}
	v.notices[n.name] = n
	return true
}

// Suspect leaves an instance that does not answer out of the live ones until the deadline.
func (v *View) Suspect(name string, until time.Time) { v.suspected[name] = until }

// ClearSuspicion ends the suspicion of an instance that answered.
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

// Live returns the instances that take new work at now, sorted by name.
func (v *View) Live(now time.Time) []citronusher.Instance {
	var live []citronusher.Instance
	for _, instance := range v.listed {
		if v.state(instance) == citronusher.InstanceLive && !v.Suspected(instance.Name(), now) {
			live = append(live, instance)
		}
	}
	return live
}

// state prefers an instance's own notice that it leaves, or that it is back, over the lagging list.
func (v *View) state(instance citronusher.Instance) citronusher.InstanceState {
	if notice, ok := v.notices[instance.Name()]; ok {
		return notice.state
	}
	return instance.State()
}
