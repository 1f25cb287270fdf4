package targets

import (
	"context"
	"errors"
	"strconv"
	"strings"
	"sync"
	"time"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/events"
	"citronusher.example/citronusher/promotion"
)

const (
	releaseTimeout = 300 * time.Millisecond // timeout of the requests to other instances to release their leases
	maxLoggedNames = 8                      // instances that one log line names
)

// releaseLeases requests that every instance releases its lease for the primary and reports whether all did; it reports
// false while the store may have lost the registration of some. It reads the instance list after replication was paused: an
// instance that is not listed can only begin a lease later, and no replica renews that one.
func (m *promotionAttempt) releaseLeases(ctx context.Context) bool {
	g := m.group
	g.releaseLease(m.term)
	instances, err := g.set.config.Store.Instances(ctx)
	if err != nil {
		return false
	}
	complete := promotion.ListComplete(m.claim, g.set.config.Store.Era(), g.now())
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	failures := make([]error, len(instances))
	var tasks sync.WaitGroup
	for i, instance := range instances {
		tasks.Go(func() { failures[i] = m.releaseLeaseOf(ctx, instance) })
	}
	tasks.Wait()
	held := unreleased(instances, failures)
	if !held.none() {
		events.Log(g.set.config.Logger, events.LeaseReleaseFailed, "group", g.name, "term", m.term, "unanswered",
			shorten(held.unanswered), "refused", shorten(held.refused))
	}
	return complete && held.none()
}

// releaseLeaseOf requests that another instance releases its lease.
func (m *promotionAttempt) releaseLeaseOf(ctx context.Context, instance citronusher.Instance) error {
	if m.group.set.isSelf(instance) {
		return nil
	}
	return m.group.set.config.Peers.ReleaseLease(ctx, instance, m.group.name, m.claim, m.term)
}

// heldLeases names the instances that did not confirm the release of their leases: those whose machines refused the
// connection, and those that did not answer. A refused connection does not show that the instance has ended, because a
// network may refuse connections to one that runs.
type heldLeases struct {
	refused, unanswered []string
}

func (h heldLeases) none() bool { return len(h.refused) == 0 && len(h.unanswered) == 0 }

// unreleased returns the instances that did not confirm the release, given the error of each, which is nil for the others.
func unreleased(instances []citronusher.Instance, failures []error) heldLeases {
	var held heldLeases
	for i, err := range failures {
		switch {
		case err == nil:
		case errors.Is(err, citronusher.ErrRefused):
			held.refused = append(held.refused, instances[i].Name())
		default:
			held.unanswered = append(held.unanswered, instances[i].Name())
		}
	}
	return held
}

// shorten returns the names in one line, at most maxLoggedNames of them.
func shorten(names []string) string {
	line := strings.Join(names[:min(len(names), maxLoggedNames)], " ")
	if more := len(names) - maxLoggedNames; more > 0 {
		line += " and " + strconv.Itoa(more) + " more"
	}
	return line
}
