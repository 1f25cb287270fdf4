package targets

import (
	"context"
	"time"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/lease"
	"citronusher.example/citronusher/promotion"
)

const (
	claimReadTimeout  = 400 * time.Millisecond // timeout of reading the claim to establish a lease
	establishInterval = 150 * time.Millisecond // between two attempts to establish a lease from reports of replicas
)

// proof is what reports of replicas show about the term of a lease.
type proof struct {
	reported       map[string]bool     // the primary, and the members that have reported the term
	complete       bool                // every known member but the primary has reported the term
	oldest, newest citronusher.Instant // when the first and the last of the reports were requested; 0 without reports
}

// evidence is what the store shows about promotions.
type evidence struct {
	claim   claimState
	members memberList // needed when the claim is unknown
}

// memberList holds the members that a group had in the store; it is empty when the store did not answer.
type memberList struct {
	ids         []string
	requestedAt citronusher.Instant
}

// claimState is what the claim on a group shows about the promotion of a successor to the primary of a term.
type claimState int

const (
	// claimUnknown means that the store did not answer or may have lost the claim, or that the claim has ended: nobody
	// requests a promotion under it any more, but one may have taken effect.
	claimUnknown claimState = iota
	// claimFree means that nobody could promote a successor so far.
	claimFree
	// claimHeld means that a promotion may be requested, or has taken effect.
	claimHeld
	// claimOverdue means that a promotion has to be requested: one that was requested may take effect at any time, or a
	// later primary, of which no member reports, has been replaced.
	claimOverdue
)

// establish begins or renews the lease if the reports, which arrived until now, and the evidence suffice. With a claim in an
// unknown state the reports of all replicas that the store lists are needed: a member that was promoted would be among them.
func (p proof) establish(l *lease.Lease, e evidence, now citronusher.Instant) bool {
	switch {
	case p.newest == 0:
		return false
	case e.claim == claimFree:
		return l.Establish(p.newest)
	case e.claim == claimUnknown && p.complete && p.includes(e.members):
		return l.EstablishListed(p.oldest, e.members.requestedAt, now)
	default:
		return false
	}
}

// includes reports whether every member of a list is the primary or has reported the term. One at whose address another
// member answers has not: it may have been promoted before it was replaced.
func (p proof) includes(list memberList) bool {
	for _, id := range list.ids {
		if !p.reported[id] {
			return false
		}
	}
	return len(list.ids) > 0
}

// proofName returns the proof by which establish begins a lease.
func (e evidence) proofName() proofName {
	if e.claim == claimFree {
		return proofClaimFree
	}
	return proofAllReplicas
}

// observeReports applies the replies of members other than the primary to the lease and returns what they show. The caller
// holds mu.
func (g *Group) observeReports(
	l *lease.Lease, primary string, replies []memberReply, now citronusher.Instant,
) proof {
	p := proof{reported: map[string]bool{primary: true}}
	for _, r := range replies {
		if r.err != nil || r.id == primary {
			continue
		}
		verdict := l.ObserveReport(r.report(), now)
		if verdict != lease.Renewed && verdict != lease.Unproven {
			continue
		}
		p.reported[r.id] = true
		p.newest = max(p.newest, r.sentAt)
		if p.oldest == 0 || r.sentAt < p.oldest {
			p.oldest = r.sentAt
		}
	}
	p.complete = true
	for id, m := range g.members {
		p.complete = p.complete && (p.reported[id] || m.wrongMember)
	}
	return p
}

// examine returns the lease that would follow from the reports for the primary found, and what the reports show.
func (g *Group) examine(found *memberReply, replies []memberReply) (lease.Lease, proof) {
	g.mu.Lock()
	defer g.mu.Unlock()
	l := g.leaseFor(found)
	p := g.observeReports(&l, found.id, replies, g.now())
	return l, p
}

// addEvidence returns reports with what the store shows after them, with which they may establish a lease of the term. A
// claim in an unknown state makes it list the members, and then request the reports of all of them once more: a replica
// that restarted may have forgotten a pause when it reported, and another one may have lost it later, when the promotion
// took effect.
func (g *Group) addEvidence(
	primary promotion.Primary, replies []memberReply, complete bool,
) ([]memberReply, evidence) {
	claim := g.readClaim(primary)
	if claim != claimUnknown || !complete {
		return replies, evidence{claim: claim}
	}
	members := g.listMembers()
	if len(members.ids) == 0 {
		return replies, evidence{claim: claim}
	}
	return g.queryAll(requestStatus), evidence{claim: claim, members: members}
}

// listMembers reads the group's members from the store. The list is empty if the store does not answer.
func (g *Group) listMembers() memberList {
	ctx, cancel := context.WithTimeout(g.set.ctx, claimReadTimeout)
	defer cancel()
	members, err := g.readMembers(ctx)
	if err != nil {
		return memberList{}
	}
	return members
}

// readMembers reads the members from the store, applies them to all groups and returns those of this one. Its error is that
// of the store.
func (g *Group) readMembers(ctx context.Context) (memberList, error) {
	list := memberList{requestedAt: g.now()}
	reports, err := g.set.config.Store.Members(ctx)
	if err != nil {
		return memberList{}, err
	}
	g.set.SetMembers(reports, list.requestedAt)
	for _, report := range reports {
		if report.Group == g.name {
			list.ids = append(list.ids, report.ID)
		}
	}
	return list, nil
}

// leaseFor returns a copy of the lease if it is for the primary found, or else a new one for it. The caller holds mu.
func (g *Group) leaseFor(found *memberReply) lease.Lease {
	l := g.lease // a copy keeps the time up to which reports are ignored
	if l.Closed() || l.Term() != found.status.Term || g.primary != found.id {
		l.Begin(found.status.Term)
	}
	return l
}

// readClaim returns what the store shows about the promotion of a successor to the primary.
func (g *Group) readClaim(primary promotion.Primary) claimState {
	ctx, cancel := context.WithTimeout(g.set.ctx, claimReadTimeout)
	defer cancel()
	read, err := g.set.config.Store.ReadClaim(ctx, g.name)
	era := g.set.config.Store.Era()
	switch {
	case err == nil && (promotion.Pending(read, primary) || promotion.Superseded(read, primary.Term)):
		return claimOverdue
	case err != nil, read.Era != era.Number:
		return claimUnknown
	case promotion.Unclaimed(read, era, primary.Term):
		return claimFree
	case promotion.Ended(read):
		return claimUnknown
	default:
		return claimHeld
	}
}

// establishFrom establishes the lease from reports that do not renew it, and reports whether they and the claim on the group
// suffice.
func (g *Group) establishFrom(replies []memberReply) bool {
	if len(replies) == 0 {
		return false
	}
	g.mu.Lock()
	term, primary := g.lease.Term(), g.primary
	trial := g.lease
	complete := g.observeReports(&trial, primary, replies, g.now()).complete
	g.mu.Unlock()
	replies, found := g.addEvidence(promotion.Primary{Term: term, ID: primary}, replies, complete)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.lease.Term() != term || g.primary != primary {
		return false
	}
	now := g.now()
	if found.claim == claimOverdue {
		g.markUnavailable(now, false)
		return false
	}
	p := g.observeReports(&g.lease, primary, replies, now)
	valid := g.lease.Valid(now)
	if !p.establish(&g.lease, found, now) {
		return false
	}
	if !valid {
		g.logBegan(&g.lease, primary, found.proofName(), now)
	}
	g.renewing = false
	g.renewalSentAt = p.newest
	g.notifyChanged()
	g.dispatch(g.now())
	return true
}

// leasedTerm returns the term of the lease; false when it is not valid.
func (g *Group) leasedTerm() (uint64, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.lease.Term(), g.primary != "" && g.lease.Valid(g.now())
}

// recordUnclaimed writes, once in each era of the store, that nobody has replaced the primary, so that daemons without a
// lease need not hear all replicas. A lease that is valid when each lost claim has ended proves it until the row changes.
func (g *Group) recordUnclaimed() {
	store := g.set.config.Store
	era := store.Era()
	g.mu.Lock()
	due := g.recordedEra != era.Number && !g.promoting && promotion.Settled(era, g.now())
	g.mu.Unlock()
	if !due {
		return
	}
	ctx, cancel := context.WithTimeout(g.set.ctx, claimReadTimeout)
	defer cancel()
	read, err := store.ReadClaim(ctx, g.name)
	if err != nil {
		return
	}
	if read.Era != era.Number {
		term, ok := g.leasedTerm()
		if !ok {
			return
		}
		free := promotion.FreeClaim(read, era, g.set.holder, term)
		if _, err := store.WriteClaim(ctx, g.name, read.Version, free); err != nil {
			return
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.recordedEra = era.Number
}
