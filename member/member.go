// Package member decides which instances take part: it merges the platform's lagging list, the instances' own notices
// and local suspicion into one view.
//
// It asks no one. Views of two daemons may differ for a while; nothing but the use of connections depends on them.
package member

import (
	"slices"
	"strings"
	"time"

	"citronusher.example/citronusher"
)

// Notice is an instance's own word about itself.
type Notice struct {
	name  string
	state citronusher.InstanceState
	epoch uint64
}

// NewNotice returns the notice that name is in state. epoch grows with each start of the instance and with each
// notice.
func NewNotice(name string, state citronusher.InstanceState, epoch uint64) Notice {
	return Notice{name: name, state: state, epoch: epoch}
}

// Name returns the instance's name.
func (n Notice) Name() string { return n.name }

// State returns the announced state.
func (n Notice) State() citronusher.InstanceState { return n.state }

// Epoch returns the notice's number, comparable among notices of one instance.
func (n Notice) Epoch() uint64 { return n.epoch }

// View merges what is known of the instances. It is used by one goroutine at a time.
type View struct {
	listed    []citronusher.Instance
	notices   map[string]Notice
	suspected map[string]time.Time // until when
}

// NewView returns an empty view.
func NewView() *View {
	return &View{notices: map[string]Notice{}, suspected: map[string]time.Time{}}
}

// List replaces the platform's list. Notices of instances that it no longer holds are dropped.
func (v *View) List(instances []citronusher.Instance) {
	v.listed = slices.SortedFunc(slices.Values(instances), func(a, b citronusher.Instance) int {
		return strings.Compare(a.Name(), b.Name())
	})
	for name := range v.notices {
		if _, ok := v.Instance(name); !ok {
			delete(v.notices, name)
		}
	}
}

// Take records a notice and reports whether it was news.
func (v *View) Take(n Notice) bool {
	old, ok := v.notices[n.name]
	if ok && old.epoch >= n.epoch {
		return false
	}
	v.notices[n.name] = n
	return true
}

// Suspect leaves an instance that does not answer out of the live ones until the deadline.
func (v *View) Suspect(name string, until time.Time) { v.suspected[name] = until }

// Trust ends the suspicion of an instance that answered.
func (v *View) Trust(name string) { delete(v.suspected, name) }

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
