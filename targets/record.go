package targets

import (
	"time"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/events"
	"citronusher.example/citronusher/lease"
)

const (
	lateAnswerAge  = 1 * time.Second        // age of a statement at its answer from which the answer is logged
	lateLogSpacing = 100 * time.Millisecond // between two logged answers of one group
)

// proofName is the proof by which a lease began, as it is logged. A replica's report by itself only renews a valid lease.
type proofName string

const (
	proofClaimFree   proofName = "report and free claim"
	proofAllReplicas proofName = "reports of all replicas"
	proofPeer        proofName = "renewal of another daemon"
)

// logBegan logs that the lease became valid. The caller holds mu.
func (g *Group) logBegan(l *lease.Lease, primary string, by proofName, now citronusher.Instant) {
	requestedAt, _ := l.RenewalSentAt()
	events.Log(g.set.config.Logger, events.LeaseBegan, "group", g.name, "term", l.Term(), "primary", primary, "proof",
		string(by), "age", now.Sub(requestedAt).Milliseconds())
}

// logEnded logs that the lease ends for a reason other than a release or a replica's report, which have events of their own.
// The caller holds mu.
func (g *Group) logEnded(reason string) {
	if g.lease.Closed() {
		return
	}
	events.Log(g.set.config.Logger, events.LeaseEnded, "group", g.name, "term", g.lease.Term(), "primary", g.primary,
		"reason", reason)
}

// logLate logs an answer of the primary that came when the lease was not valid any more, or long after its statement was
// sent. Times are in milliseconds since the machine's start, so that the logs of its daemons can be compared. The caller
// holds mu.
func (g *Group) logLate(h *Conn, sentAt, now citronusher.Instant) {
	if h.leased(now) && now.Sub(sentAt) < lateAnswerAge || now < g.lateLoggedAt.Add(lateLogSpacing) {
		return
	}
	g.lateLoggedAt = now
	until := citronusher.Instant(0)
	if renewedAt, ok := g.lease.RenewalSentAt(); ok && g.lease.Term() == h.term {
		until = renewedAt.Add(lease.TTL)
	}
	events.Log(g.set.config.Logger, events.LateAnswer, "group", g.name, "member", h.id, "term", h.term, "sent",
		millis(sentAt), "answered", millis(now), "lease", millis(until), "closed", g.lease.Closed(), "newest", g.lease.Term())
}

func millis(i citronusher.Instant) int64 { return i.Sub(0).Milliseconds() }
