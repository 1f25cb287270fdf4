package follow

import (
	"context"
	"math/rand/v2"
	"time"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/events"
)

const (
	learnLimit = 400 * time.Millisecond
	learnFrom  = 2 // daemons that are asked at a time
)

// Knowledge returns what this daemon tells another one that has the plan with the given version.
func (f *Follower) Knowledge(version uint64) citronusher.Knowledge {
	f.mu.Lock()
	defer f.mu.Unlock()
	known := citronusher.Knowledge{Members: f.list, Age: time.Since(f.listedAt)}
	if plan := f.Plan(); plan.Version > version {
		known.Plan = plan
	}
	return known
}

// learn asks other daemons for a newer plan and newer members while the store does not answer this one.
func (f *Follower) learn() {
	for _, instance := range f.others() {
		ctx, cancel := context.WithTimeout(f.ctx, learnLimit)
		askedAt := time.Now()
		known, err := f.config.Peers.Learn(ctx, instance, f.Plan().Version)
		cancel()
		f.config.Meter.Fetches().Inc(1)
		if err != nil {
			events.Log(f.config.Logger, events.PeerFailed, "peer", instance.Name(), "error", err)
			continue
		}
		f.apply(known.Plan)
		if len(known.Members) > 0 {
			f.setMembers(known.Members, askedAt.Add(-known.Age))
		}
	}
}

// others picks the daemons that are asked.
func (f *Follower) others() []citronusher.Instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	others := make([]citronusher.Instance, 0, len(f.instances))
	for _, instance := range f.instances {
		if instance.Name() != f.config.Self.Name() {
			others = append(others, instance)
		}
	}
	//nolint:gosec // the choice needs no secrecy
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return others[:min(learnFrom, len(others))]
}
