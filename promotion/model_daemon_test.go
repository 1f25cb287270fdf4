package promotion_test

import (
	"strconv"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/lease"
)

// Targets of a daemon's request other than the replicas, which have their numbers.
const (
	claimRow    = int8(replicas)
	firstDaemon = int8(replicas + 1)
)

// daemon uses the old primary. It sends one request at a time. Only the first one asks replicas and for the claim; the
// second takes over its renewals.
type daemon struct {
	renewedAt  int8           // when the request was sent that last renewed the lease; none without
	releasedAt int8           // when the lease was released last; none if that makes no difference
	superseded bool           // the daemon knows of the new primary
	openedAt   [replicas]int8 // when its connection to each replica was opened
	request    request
	reportedAt [replicas]int8 // when a status was requested that did not renew the lease alone; none without
	freeAt     int8           // when the claim was requested that was found free last; none before
}

// request is a daemon's request. The target may respond late, and the response may arrive late.
type request struct {
	target    int8 // none when there is no request
	sentAt    int8
	responded bool
	free      bool // the claim's row showed no claim
	renewedAt int8 // when the peer's renewal was requested; none without a valid lease
	status    status
}

// status is a replica's response.
type status struct {
	primary bool
	term    int8
	paused  bool
}

func newDaemon() daemon {
	return daemon{
		renewedAt: none, releasedAt: none, openedAt: [replicas]int8{oldest, oldest}, request: request{target: none},
		reportedAt: [replicas]int8{none, none}, freeAt: none,
	}
}

// lease returns the daemon's lease.
func (d *daemon) lease() lease.Lease {
	var l lease.Lease
	if d.releasedAt != none {
		l.Release(at(d.releasedAt))
	}
	l.Begin(1)
	if d.renewedAt != none {
		l.ObservePeerRenewal(1, at(d.renewedAt))
	}
	return l
}

func (d *daemon) valid() bool {
	l := d.lease()
	return !d.superseded && l.Valid(at(now))
}

// setLease replaces the daemon's lease by one that was renewed later.
func (d *daemon) setLease(l lease.Lease) {
	if sentAt, ok := l.RenewalSentAt(); ok {
		d.renewedAt = int8(sentAt.Sub(0) / tick) //nolint:gosec // at most now
	}
}

// search makes the daemon search for the primary again.
func (d *daemon) search() {
	d.renewedAt, d.reportedAt, d.freeAt = none, [replicas]int8{none, none}, none
}

// advance lets a tick pass.
func (d *daemon) advance(p protections) {
	for r := range d.openedAt {
		floor := min(expired, max(oldest, d.openedAt[r]))
		if p.sinceClaim && d.openedAt[r] < d.freeAt || !p.sinceClaim && d.openedAt[r] < d.renewedAt {
			floor = oldest // remains the earlier one
		}
		d.openedAt[r] = back(d.openedAt[r], floor)
		if !p.continuous && !p.sinceClaim {
			d.openedAt[r] = oldest // makes no difference
		}
		d.reportedAt[r] = back(d.reportedAt[r], expired)
	}
	d.renewedAt, d.releasedAt = back(d.renewedAt, expired), back(d.releasedAt, expired)
	d.freeAt = back(d.freeAt, expired)
	d.request.sentAt, d.request.renewedAt = back(d.request.sentAt, expired), back(d.request.renewedAt, expired)
	d.forget(p)
}

// forget removes what cannot lead to a later deadline of the lease any more.
func (d *daemon) forget(p protections) {
	if d.releasedAt == expired {
		d.releasedAt = none
	}
	if d.renewedAt == expired && p.validOnArrival {
		d.renewedAt = none
	}
	for r := range d.reportedAt {
		if d.reportedAt[r] <= max(d.renewedAt, expired) {
			d.reportedAt[r] = none
		}
	}
	if d.freeAt <= max(d.renewedAt, expired) && !p.sinceClaim {
		d.freeAt = none
	}
	if d.request.sentAt == expired {
		d.request = request{target: none}
	}
}

// daemonEvents adds the states after the next event of a daemon that uses the old primary.
func (s *state) daemonEvents(i int, p protections, l limits, change changer) {
	name := "daemon " + strconv.Itoa(i) + " "
	d := s.daemons[i]
	if d.superseded {
		return
	}
	idle := d.request.target == none
	for r := range int8(replicas) {
		change(name+"asks replica "+digit(r), idle && i == 0 && r >= l.firstReplica && d.renewedAt < now, func(n *state) {
			n.daemons[i].send(request{target: r})
		})
	}
	change(name+"asks for the claim", idle && i == 0 && p.readClaim && d.freeAt < now, func(n *state) {
		n.daemons[i].send(request{target: claimRow})
	})
	change(name+"asks its peer", idle && i > 0 && d.renewedAt < now, func(n *state) {
		n.daemons[i].send(request{target: firstDaemon})
	})
	waiting := !idle && !d.request.responded && (d.request.target != claimRow || s.row == rowFree) // a claim changes nothing
	change(name+"gets a response", waiting, func(n *state) { n.respond(&n.daemons[i].request) })
	change(name+"receives the response", !idle && d.request.responded, func(n *state) { n.daemons[i].receive(p) })
	mayRelease := s.promoter.pausedAt != none && !s.promoter.released[i]
	change(name+"releases", mayRelease, func(n *state) {
		n.promoter.released[i] = true
		if p.ignoreEarlier {
			n.daemons[i].releasedAt = now
		}
		n.daemons[i].search()
	})
}

func (d *daemon) send(r request) {
	r.sentAt, r.renewedAt = now, none
	d.request = r
}

// respond fixes the content of a response.
func (s *state) respond(r *request) {
	r.responded = true
	switch r.target {
	case claimRow:
		r.free = s.row == rowFree
	case firstDaemon:
		if peer := &s.daemons[0]; peer.valid() {
			r.renewedAt = peer.renewedAt
		}
	default:
		r.status = s.status(r.target)
	}
}

// receive applies a response to the daemon's lease.
func (d *daemon) receive(p protections) {
	r := d.request
	d.request = request{target: none}
	switch r.target {
	case claimRow:
		if r.free {
			d.freeAt = max(d.freeAt, r.sentAt)
			d.establish(p)
		}
	case firstDaemon:
		if r.renewedAt != none {
			l := d.lease()
			l.ObservePeerRenewal(1, at(r.renewedAt))
			d.setLease(l)
		}
	default:
		d.observe(p, r)
	}
	d.forget(p)
}

// observe applies a replica's response. Without a protection it passes times that satisfy the lease's rule.
func (d *daemon) observe(p protections, r request) {
	report := lease.Report{
		Status: r.status.report(), RequestedAt: at(r.sentAt), RunningSince: at(d.openedAt[r.target]),
	}
	arrivedAt := at(now)
	if !p.countFromSend {
		report.RequestedAt = at(now)
	}
	if !p.validOnArrival {
		arrivedAt = at(d.renewedAt)
	}
	if !p.continuous {
		report.RunningSince = 0
	}
	if p.sinceClaim && d.openedAt[r.target] >= d.freeAt {
		report.RunningSince = at(now)
	}
	l := d.lease()
	switch l.ObserveReport(report, arrivedAt) {
	case lease.Renewed:
		d.setLease(l)
	case lease.Superseded:
		d.superseded = r.status.term > 1
		d.search()
	case lease.Unproven:
		d.reportedAt[r.target] = max(d.reportedAt[r.target], r.sentAt)
		d.establish(p)
	case lease.Inconclusive:
	}
}

// establish renews the lease if the responses so far suffice for it.
func (d *daemon) establish(p protections) {
	reportedAt, freeAt := max(d.reportedAt[0], d.reportedAt[1]), d.freeAt
	if p.allReports {
		reportedAt = min(d.reportedAt[0], d.reportedAt[1])
	}
	if !p.readClaim {
		freeAt = now
	}
	if min(reportedAt, freeAt) > expired {
		l := d.lease()
		l.Establish(at(min(reportedAt, freeAt)))
		d.setLease(l)
	}
}

// report returns the status in the form in which a lease observes it.
func (s status) report() citronusher.MemberStatus {
	report := citronusher.MemberStatus{Role: citronusher.RoleReplica, Term: uint64(s.term)} //nolint:gosec // small
	if s.primary {
		report.Role = citronusher.RolePrimary
	}
	if s.paused {
		report.PausedTerm = 2
	}
	return report
}
