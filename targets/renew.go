package targets

import (
	"context"
	"time"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/events"
	"citronusher.example/citronusher/lease"
)

const (
	renewInterval         = 450 * time.Millisecond // age of the last renewal at which the next one is requested
	peerRenewalInterval   = 450 * time.Millisecond // between two requests to the lease renewer
	peerRenewalTimeout    = 150 * time.Millisecond // timeout of a request to the lease renewer
	replicaRenewalAge     = 900 * time.Millisecond // age of the last renewal at which the replicas are queried instead
	replicaRenewalTimeout = 200 * time.Millisecond // timeout of a request to one replica
	leaseIdleTimeout      = 3 * time.Second        // after which an unused lease is renewed by the lease renewer only
	unusedRenewInterval   = 900 * time.Millisecond // age of the last renewal at which an unused lease is renewed
	primaryCheckInterval  = 450 * time.Millisecond // between two checks of a primary whose lease no replica renews
)

// releaseLease releases the lease for the primary if it is of the given term or an older one, because another instance
// is about to replace that primary.
func (g *Group) releaseLease(term uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.lease.Term() > term {
		return
	}
	now := g.now()
	g.lease.Release(now)
	g.markUnavailable(now, false)
	events.Log(g.set.config.Logger, events.LeaseReleased, "group", g.name, "term", g.lease.Term())
	g.wakeLoop()
	g.notifyChanged()
}

// endLease ends the lease, for a reason that does not show a newer term. What was requested until now begins no lease of the
// same term again. The caller holds mu.
func (g *Group) endLease(reason string, now citronusher.Instant) {
	g.logEnded(reason)
	g.lease.Release(now)
	g.notifyChanged()
	g.wakeLoop()
}

// ignoreBefore makes statuses and renewals begin or renew a lease only if they are requested at now or later.
func (g *Group) ignoreBefore(now citronusher.Instant) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lease.IgnoreBefore(now)
}

// renewIfNeeded starts a renewal of the lease if one is due. The lease renewer of the group renews at a replica, also while
// no request uses the primary: a lease that has expired begins only with what the store shows. The other instances take
// over its renewals while requests use the primary. The caller holds mu.
func (g *Group) renewIfNeeded(now citronusher.Instant) {
	renewer, isPeer := g.set.leaseRenewer(g.name)
	used := g.primaryUsed(now)
	kept := used || !isPeer && g.home
	if g.renewing || g.lease.Term() == 0 || g.lease.Closed() || !kept || !g.renewalDue(used, now) {
		return
	}
	switch {
	case !isPeer:
		g.renewing = true
		g.background(g.renewFromReplicas)
	case isPeer && now >= g.peerAskedAt.Add(peerRenewalInterval):
		g.renewing = true
		g.peerAskedAt = now
		g.background(func() { g.renewFromPeer(renewer) })
	}
}

// primaryUsed reports whether requests, or the leases of other instances, have needed the lease recently. The caller holds
// mu.
func (g *Group) primaryUsed(now citronusher.Instant) bool {
	return g.queue.PrimaryLen() > 0 || now < g.primaryUsedAt.Add(leaseIdleTimeout) || g.primaryInUse()
}

// renewalDue reports whether it is time for a renewal. Once the group is recorded as free, an unused lease is renewed less
// often, and after a failure it is left alone for longer if it has expired. The caller holds mu.
func (g *Group) renewalDue(used bool, now citronusher.Instant) bool {
	interval, delay := renewInterval, time.Duration(0)
	if !used && g.recordedEra == g.set.config.Store.Era().Number {
		interval = unusedRenewInterval
		if !g.lease.Valid(now) {
			delay = unusedRenewInterval
		}
	}
	return now >= g.renewalSentAt.Add(interval) && now >= g.nextRenewalAt.Add(delay)
}

// primaryInUse reports whether a request holds a connection to the primary, so that its answer will need the lease. The
// caller holds mu.
func (g *Group) primaryInUse() bool {
	primary := g.members[g.primary]
	return primary != nil && primary.inUse > 0
}

// renewFromPeer renews the lease with a renewal of the lease renewer. If that fails and the last renewal is older than
// replicaRenewalAge, it queries the replicas.
func (g *Group) renewFromPeer(renewer citronusher.Instance) {
	g.takeRenewal(renewer)
	g.mu.Lock()
	outdated := g.now() >= g.renewalSentAt.Add(replicaRenewalAge)
	if !outdated {
		g.renewing = false
	}
	g.mu.Unlock()
	if outdated {
		g.renewFromReplicas()
	}
}

// takeRenewal renews the lease with the latest renewal of another instance, and reports whether the lease is valid then.
func (g *Group) takeRenewal(from citronusher.Instance) bool {
	g.mu.Lock()
	term := g.lease.Term()
	g.mu.Unlock()
	ctx, cancel := context.WithTimeout(g.set.ctx, peerRenewalTimeout)
	defer cancel()
	sentAt := g.now()
	age, err := g.set.config.Peers.LeaseRenewalAge(ctx, from, g.name, term)
	if err != nil {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	valid := g.lease.Valid(g.now())
	if g.lease.ObservePeerRenewal(term, sentAt.Add(-age)) != lease.Renewed {
		return false
	}
	now := g.now()
	if !valid && g.lease.Valid(now) {
		g.logBegan(&g.lease, g.primary, proofPeer, now)
	}
	g.renewalSentAt = max(g.renewalSentAt, sentAt.Add(-age))
	g.notifyChanged()
	g.dispatch(now)
	return g.lease.Valid(now)
}

// takeRenewalOfHome renews a lease that has expired with the renewal of a home that has one, because nothing else may begin
// it while the store does not answer. It reports whether the lease is valid then.
func (g *Group) takeRenewalOfHome() bool {
	list, count := g.set.Homes(g.name)
	for _, home := range list[:min(count, len(list))] {
		if home.Name() != g.set.config.Self && g.takeRenewal(home) {
			return true
		}
	}
	return false
}

// leaseRenewalAge returns the time since the request that last renewed the lease of a term was sent to a replica. It
// returns false without a valid lease of that term. A call counts as use of a valid lease, and at the lease renewer, because
// other instances rely on its renewals. Otherwise instances without a lease would keep each other busy.
func (g *Group) leaseRenewalAge(term uint64) (time.Duration, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	if _, isPeer := g.set.leaseRenewer(g.name); !isPeer || g.lease.Valid(now) {
		g.primaryUsedAt = now
	}
	sentAt, ok := g.lease.RenewalSentAt()
	if !ok || g.lease.Term() != term || !g.lease.Valid(now) {
		g.wakeLoop()
		return 0, false
	}
	return now.Sub(sentAt), true
}

// renewFromReplicas queries the replicas in turn until one renews the lease or shows that it is superseded. If none
// does and the lease has expired, the primary is checked, and the expiry is logged at most once per TTL.
func (g *Group) renewFromReplicas() {
	var unproven []memberReply
	for _, m := range g.renewalReplicas() {
		r := g.query(m, replicaRenewalTimeout, requestStatus)
		switch g.observeRenewal(m, r) {
		case lease.Renewed:
			g.recordUnclaimed()
			return
		case lease.Superseded:
			return
		case lease.Unproven:
			unproven = append(unproven, r)
		case lease.Inconclusive:
		}
	}
	if g.establishFrom(unproven) {
		return
	}
	_, leased := g.leasedTerm()
	renewed := !leased && g.takeRenewalOfHome()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.renewing = false
	if renewed {
		return
	}
	now := g.now()
	g.nextRenewalAt = now.Add(establishInterval)
	if g.lease.Valid(now) {
		return
	}
	g.checkUnconfirmedPrimary(now)
	if now > g.expiredAt.Add(lease.TTL) {
		g.expiredAt = now
		events.Log(g.set.config.Logger, events.LeaseExpired, "group", g.name, "term", g.lease.Term(), "primary", g.primary)
	}
}

// observeRenewal applies a member's reply to the lease and finishes the renewal if it renewed or superseded the lease.
func (g *Group) observeRenewal(m *member, r memberReply) lease.Verdict {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r.err != nil || g.members[r.id] != m || r.id == g.primary {
		return lease.Inconclusive
	}
	m.position = m.position.Max(r.status.Position)
	result := g.lease.ObserveReport(r.report(), g.now())
	if result == lease.Renewed || result == lease.Superseded {
		g.finishRenewal(result, r)
	}
	return result
}

// checkUnconfirmedPrimary checks a primary whose lease no replica renews. No request is sent to it, so that nothing else
// would show that it is down. The caller holds mu.
func (g *Group) checkUnconfirmedPrimary(now citronusher.Instant) {
	primary := g.members[g.primary]
	if primary == nil || primary.probing || now < g.primaryCheckedAt.Add(primaryCheckInterval) {
		return
	}
	g.primaryCheckedAt = now
	primary.probing = true
	g.background(func() { g.probe(primary) })
}

// finishRenewal records a status that renewed or superseded the lease. The caller holds mu.
func (g *Group) finishRenewal(result lease.Verdict, r memberReply) {
	g.renewing = false
	g.renewalSentAt = r.sentAt
	if result == lease.Superseded {
		events.Log(g.set.config.Logger, events.LeaseSuperseded, "group", g.name, "term", g.lease.Term(), "member",
			r.id, "held", r.status.PausedTerm, "newer", r.status.Term)
		g.wakeLoop()
	}
	g.notifyChanged()
	g.dispatch(g.now())
}

// renewalReplicas returns the members other than the primary in the order in which they are queried for a renewal:
// first those that are up and run no statement of this instance.
func (g *Group) renewalReplicas() []*member {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	var list []*member
	for id, m := range g.members {
		if id == g.primary {
			continue
		}
		if now < m.downUntil || m.running > 0 {
			list = append(list, m)
		} else {
			list = append([]*member{m}, list...)
		}
	}
	return list
}
