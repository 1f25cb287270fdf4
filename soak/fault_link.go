package soak

import "time"

// end is what the impaired links lead to.
type end int

const (
	endDaemon end = iota
	endPrimary
	endPlatform
	endSplit
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
	KindPeerSilent:   {end: endDaemon, silent: true},
	KindPeerRefuse:   {end: endDaemon, refuse: true},
	KindPeerDelay:    {end: endDaemon, delay: linkDelay},
	KindMemberSilent: {end: endPrimary, silent: true},
	KindMemberRefuse: {end: endPrimary, refuse: true},
	KindMemberDelay:  {end: endPrimary, delay: linkDelay},
	KindStoreSilent:  {end: endPlatform, silent: true},
	KindStoreRefuse:  {end: endPlatform, refuse: true},
	KindStoreDelay:   {end: endPlatform, delay: linkDelay},
	KindSplit:        {end: endSplit},
}

// impairLinks impairs links of the fault's daemons for its duration.
func (r *run) impairLinks(f Fault, how linkFault) {
	if how.end == endSplit {
		r.split(f)
		return
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
}

// impaired returns the links that a fault impairs: those of its daemons to the daemon of its index, to the primary of its
// group, or to the platform.
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
		case endPlatform:
			list = append(list, daemon.links.store, daemon.links.promotion)
		}
	}
	return list
}

// split cuts the fault's daemons off from the primary, silently, and from the other daemons, by refused connections.
func (r *run) split(f Fault) {
	for _, l := range r.impaired(f, endPrimary) {
		defer l.impair(&impairment{silent: [directions]bool{true, true}})()
	}
	for n, daemon := range r.daemons {
		for m, other := range r.daemons {
			if (f.Daemons>>n)&1 != (f.Daemons>>m)&1 {
				defer daemon.links.peers[other.name].impair(&impairment{refuse: true})()
			}
		}
	}
	time.Sleep(f.Duration)
}
