package daemon

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/entry"
	"citronusher.example/citronusher/events"
	"citronusher.example/citronusher/gossip"
	"citronusher.example/citronusher/membership"
	"citronusher.example/citronusher/peer/peerpb"
	"citronusher.example/citronusher/route"
)

const (
	listInterval = 2 * time.Second
	gatherTime   = 200 * time.Millisecond // between two looks, so that many changes at once cost few
	suspectFor   = 3 * time.Second        // how long a silent peer is asked last
)

// watchInstances follows the platform's list until the daemon closes.
func (d *Daemon) watchInstances() {
	pollAt := d.clock.Now()
	for {
		select {
		case <-time.After(time.Until(pollAt)):
			d.pollList()
			pollAt = d.clock.Now().Add(listInterval/2 + rand.N(listInterval))
		case <-d.changed:
		case <-d.ctx.Done():
			return
		}
		d.look()
		select {
		case <-time.After(gatherTime):
		case <-d.ctx.Done():
			return
		}
	}
}

// lookSoon makes the homes be worked out again.
func (d *Daemon) lookSoon() {
	select {
	case d.changed <- struct{}{}:
	default: // a look is already due
	}
}

// pollList reads the platform's list. When the platform does not answer, the last list stays in force.
func (d *Daemon) pollList() {
	d.meter.Polls().Inc(1)
	instances, changed, err := d.list.List(d.ctx)
	if err != nil && len(d.Instances()) == 0 {
		instances = d.askSeeds()
		changed = len(instances) > 0
	}
	if !changed {
		return
	}
	d.mu.Lock()
	d.view.SetListed(instances)
	d.mu.Unlock()
	events.Log(d.logger, events.InstanceChanged, "listed", len(instances))
}

// askSeeds asks the seed peers, in turn, for the instances. It serves a daemon that starts while the platform is down.
func (d *Daemon) askSeeds() []citronusher.Instance {
	for _, seed := range d.settings.SeedPeers() {
		if seed == d.settings.Peer() {
			continue
		}
		instances, err := d.client.Peer(seed).Instances(d.ctx)
		if err == nil && len(instances) > 0 {
			return instances
		}
	}
	return nil
}

// Instances returns the instances as they were last read.
func (d *Daemon) Instances() []citronusher.Instance {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.view.Listed()
}

// look works out the homes of every database from the current view. It is work for every database and instance, so it
// stops early when neither the document nor the live instances changed.
func (d *Daemon) look() {
	document := d.spreader.Document()
	d.mu.Lock()
	live := d.view.Live(d.clock.Now())
	if document.Version() == d.looked && slices.Equal(live, d.live) {
		ranks, count := d.ranks, len(d.live)
		d.mu.Unlock()
		d.homes.SetRanks(ranks, count)
		return
	}
	homed := make(map[string][]citronusher.Instance, len(d.homed))
	ranks := map[string]int{}
	for _, name := range document.Databases() {
		database, _ := document.Database(name)
		homes := route.Homes(name, live, database.Homes())
		if !d.settings.UseHomes() {
			homes = d.selfOnly(live)
		}
		homed[name] = homes
		rank := slices.IndexFunc(homes, func(i citronusher.Instance) bool { return i.Name() == d.settings.Name() })
		if rank >= 0 {
			ranks[name] = rank
		}
	}
	d.homed, d.ranks, d.live, d.looked = homed, ranks, live, document.Version()
	d.mu.Unlock()
	d.homes.SetRanks(ranks, len(live))
}

// selfOnly is the baseline without homes: every daemon serves its own callers, and its place in the list staggers the
// promotions.
func (d *Daemon) selfOnly(live []citronusher.Instance) []citronusher.Instance {
	rank := slices.IndexFunc(live, func(i citronusher.Instance) bool { return i.Name() == d.settings.Name() })
	if rank < 0 {
		return nil
	}
	return live[:rank+1]
}

func (d *Daemon) homesOf(database string) []citronusher.Instance {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.homed[database]
}

// Route returns the homes of database in the order in which the entry asks them.
func (d *Daemon) Route(database, caller string, long bool) []entry.Hop {
	if !d.settings.UseHomes() {
		return []entry.Hop{entry.NewHop(d.settings.Name(), d.homes, true)}
	}
	homes := route.OrderHomes(d.homesOf(database), d.settings.Name(), d.settings.Domain(), caller, long)
	hops := make([]entry.Hop, len(homes))
	for i, instance := range homes {
		if instance.Name() == d.settings.Name() {
			hops[i] = entry.NewHop(instance.Name(), d.homes, true)
			continue
		}
		hops[i] = entry.NewHop(instance.Name(), d.client.Peer(instance.PeerAddress()), false)
	}
	return hops
}

// PeerFailed leaves a silent peer out of the homes for a while.
func (d *Daemon) PeerFailed(name string) {
	now := d.clock.Now()
	d.mu.Lock()
	news := !d.view.Suspected(name, now)
	d.view.Suspect(name, now.Add(suspectFor))
	d.mu.Unlock()
	if news {
		events.Log(d.logger, events.PeerFailed, "peer", name)
		d.lookSoon()
	}
}

// Cancel cancels the running request of a caller of this entry.
func (d *Daemon) Cancel(process, secret uint32) { d.entry.Cancel(process, secret) }

// cancelRouter adapts the daemon to the entry's Router, whose Cancel goes to other daemons.
type cancelRouter struct{ *Daemon }

// Cancel passes a cancel request on to the instances whose tag it carries.
func (r cancelRouter) Cancel(ctx context.Context, tag uint16, process, secret uint32) {
	r.mu.Lock()
	listed := r.view.Listed()
	r.mu.Unlock()
	for _, instance := range listed {
		if entry.Tag(instance.Name()) == tag {
			_ = r.client.Peer(instance.PeerAddress()).Cancel(ctx, process, secret)
		}
	}
}

// peers returns the addresses of the other live daemons.
func (d *Daemon) peers() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var addresses []string
	for _, instance := range d.view.Live(d.clock.Now()) {
		if instance.Name() != d.settings.Name() {
			addresses = append(addresses, instance.PeerAddress())
		}
	}
	return addresses
}

// announce tells the peers this daemon's state.
func (d *Daemon) announce(state citronusher.InstanceState) {
	d.mu.Lock()
	d.epoch++
	epoch := d.epoch
	d.mu.Unlock()
	d.spreader.Publish(&peerpb.AnnounceRequest{
		Kind: gossip.KindState, Subject: d.settings.Name() + " " + string(state), Version: epoch,
		Source: d.settings.Peer(), Origin: d.settings.Peer(),
	})
}

// take handles a notice about an instance or a term; it reports whether it was news.
func (d *Daemon) take(n *peerpb.AnnounceRequest) bool {
	if n.GetKind() == gossip.KindTerm {
		d.homes.Kick(n.GetSubject())
		return false
	}
	notice, ok := parseState(n)
	if !ok {
		return false
	}
	d.mu.Lock()
	news := d.view.Apply(notice)
	if news && notice.State() == citronusher.InstanceLive {
		d.view.ClearSuspicion(notice.Name())
	}
	d.mu.Unlock()
	if news {
		events.Log(d.logger, events.InstanceChanged, "name", notice.Name(), "state", string(notice.State()))
		d.lookSoon()
	}
	return news
}

// parseState reads an instance's notice about itself.
func parseState(n *peerpb.AnnounceRequest) (membership.Announcement, bool) {
	name, state, found := strings.Cut(n.GetSubject(), " ")
	if !found || n.GetKind() != gossip.KindState {
		return membership.Announcement{}, false
	}
	return membership.NewAnnouncement(name, citronusher.InstanceState(state), n.GetVersion()), true
}
