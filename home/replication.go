package home

import (
	"context"
	"time"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/term"
)

// checkReplication rejects a write that must be replicated to a majority if too few replicas are close enough to the
// primary to do so before the deadline. It probes the replicas again before that, because their last states may be old.
func (d *database) checkReplication(ctx context.Context, deadline time.Time) error {
	if d.replicasNear(deadline) == nil {
		return nil
	}
	d.wakeProbes()
	select {
	case <-time.After(recheckDelay):
	case <-ctx.Done():
	}
	return d.replicasNear(deadline)
}

// replicasNear returns a failure unless a majority of the members lags by at most half of the time that is left.
func (d *database) replicasNear(deadline time.Time) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	patience := deadline.Sub(d.now()) / 2
	near := 0
	for name := range d.targets {
		state, reachable := d.monitor.State(name)
		if reachable && (name == d.primary || state.FreshAt().After(state.RequestedAt().Add(-patience))) {
			near++
		}
	}
	if near >= term.Majority(len(d.targets)) {
		return nil
	}
	return citronusher.NewNotRun(citronusher.ReasonBehind,
		"too few replicas are close enough to the primary to hold a copy of the write before the deadline")
}
