package soak

import (
	"syscall"
	"time"
)

// end is what the impaired links lead to.
type end int

const (
	endDaemon end = iota
	endPrimary
	endReplicas
	endPlatform
	endSplit
	endSwap
)

// linkFault is how a fault impairs which links.
type linkFault struct {
	end    end
	refuse bool
	silent bool
	delay  time.Duration
}

const linkDelay = 400 * time.Millisecond // longer than most time-outs of a step

var linkFaults = map[Kind]linkFault{
	KindPeerSilent:    {end: endDaemon, silent: true},
	KindPeerRefuse:    {end: endDaemon, refuse: true},
	KindPeerDelay:     {end: endDaemon, delay: linkDelay},
	KindMemberSilent:  {end: endPrimary, silent: true},
	KindMemberRefuse:  {end: endPrimary, refuse: true},
	KindMemberDelay:   {end: endPrimary, delay: linkDelay},
	KindStoreSilent:   {end: endPlatform, silent: true},
	KindStoreRefuse:   {end: endPlatform, refuse: true},
	KindStoreDelay:    {end: endPlatform, delay: linkDelay},
	KindReplicaSilent: {end: endReplicas, silent: true},
	KindReplicaDelay:  {end: endReplicas, delay: linkDelay},
	KindSplit:         {end: endSplit, refuse: true},
	KindMute:          {end: endSplit, silent: true},
	KindSwap:          {end: endSwap},
}

// impairLinks impairs links of the fault's daemons for its duration.
func (r *run) impairLinks(f Fault, how linkFault) error {
	switch how.end {
	case endSplit:
		r.split(f, impairment{refuse: how.refuse, silent: [directions]bool{how.silent, how.silent}})
		return nil
	case endSwap:
		return r.swap(f)
	}
	i := impairment{refuse: how.refuse}
	for d := range directions {
		if f.Way == d || f.Way == directions {
			i.silent[d], i.delay[d] = how.silent, how.delay
		}
	}
	for _, l := range r.impaired(f, how.end) {
		defer l.impair(&i)()
	}
	time.Sleep(f.Duration)
	return nil
}

// impaired returns the links that a fault impairs: those of its daemons to the daemon of its index, to the primary or
// the replicas of its group, or to the platform.
func (r *run) impaired(f Fault, to end) []*link {
	var list []*link
	for n, daemon := range r.daemons {
		if f.Daemons&(1<<n) == 0 {
			continue
		}
		switch to {
		case endDaemon:
			if l := daemon.links.peers[r.daemons[f.Index].name]; l != nil {
				list = append(list, l)
			}
		case endPrimary:
			list = append(list, daemon.links.members[r.primary(f.Group).Address()])
		case endReplicas:
			primary := r.primary(f.Group).Address()
			for i := range membersPerGroup {
				if address := r.groups[f.Group].Member(i).Address(); address != primary {
					list = append(list, daemon.links.members[address])
				}
			}
		case endPlatform:
			list = append(list, daemon.links.store, daemon.links.promotion)
		}
	}
	return list
}

// split cuts the fault's daemons off from the primary, silently, and impairs the links between them and the other daemons.
func (r *run) split(f Fault, between impairment) {
	for _, l := range r.impaired(f, endPrimary) {
		defer l.impair(&impairment{silent: [directions]bool{true, true}})()
	}
	for n, daemon := range r.daemons {
		for m, other := range r.daemons {
			if (f.Daemons>>n)&1 != (f.Daemons>>m)&1 {
				defer daemon.links.peers[other.name].impair(&between)()
			}
		}
	}
	time.Sleep(f.Duration)
}

// swap cuts the fault's daemons off from the primary, silently. Half its duration later it kills one that uses the primary,
// and starts it again at once.
func (r *run) swap(f Fault) error {
	for _, l := range r.impaired(f, endPrimary) {
		defer l.impair(&impairment{silent: [directions]bool{true, true}})()
	}
	for n, daemon := range r.daemons {
		if (f.Daemons>>n)&1 == 0 {
			time.Sleep(f.Duration / 2) //nolint:mnd // about when replicas are paused and leases released
			err := daemon.restart(syscall.SIGKILL, 0)
			time.Sleep(f.Duration / 2) //nolint:mnd // the rest
			return err
		}
	}
	time.Sleep(f.Duration)
	return nil
}
