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
	listPollInterval  = 2 * time.Second
	refreshDelay      = 200 * time.Millisecond // between two refreshes, to coalesce bursts of changes
	suspicionDuration = 3 * time.Second        // how long a peer that did not answer is left out of the homes
)

// watchInstances polls the platform's instance list and refreshes the homes until the daemon closes.
func (d *Daemon) watchInstances() {
	pollAt := d.clock.Now()
	for {
		select {
		case <-time.After(time.Until(pollAt)):
			d.pollList()
			pollAt = d.clock.Now().Add(listPollInterval/2 + rand.N(listPollInterval))
		case <-d.refreshRequested:
		case <-d.ctx.Done():
			return
		}
		d.refreshHomes()
		select {
		case <-time.After(refreshDelay):
		case <-d.ctx.Done():
			return
		}
	}
}

// requestRefresh schedules a refresh of the homes.
func (d *Daemon) requestRefresh() {
	select {
	case d.refreshRequested <- struct{}{}:
	default: // a refresh is already pending
	}
}

// pollList reads the platform's instance list. When the platform does not answer, the last list stays active; without a
// last list, the instances come from the seed peers.
func (d *Daemon) pollList() {
	d.meter.Polls().Inc(1)
	instances, changed, err := d.list.List(d.ctx)
	if err != nil && len(d.Instances()) == 0 {
		instances = d.listFromSeeds()
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

// listFromSeeds fetches the instances from the first seed peer that returns any, so that a daemon can start while the
// platform is down.
func (d *Daemon) listFromSeeds() []citronusher.Instance {
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

// refreshHomes computes the homes of every database from the active document and the live instances. The cost grows
// with databases times instances, so it returns early when neither the document nor the live instances changed.
func (d *Daemon) refreshHomes() {
	document := d.spreader.Document()
	d.mu.Lock()
	live := d.view.Live(d.clock.Now())
	if document.Version() == d.refreshedVersion && slices.Equal(live, d.live) {
		ranks, count := d.ranks, len(d.live)
		d.mu.Unlock()
		d.homes.SetRanks(ranks, count)
		return
	}
	homesByDatabase := make(map[string][]citronusher.Instance, len(d.homesByDatabase))
	ranks := map[string]int{}
	for _, name := range document.Databases() {
		database, _ := document.Database(name)
		homes := route.Homes(name, live, database.Homes())
		if !d.settings.UseHomes() {
			homes = d.localHomes(live)
		}
		homesByDatabase[name] = homes
		rank := slices.IndexFunc(homes, func(i citronusher.Instance) bool { return i.Name() == d.settings.Name() })
		if rank >= 0 {
			ranks[name] = rank
		}
	}
	d.homesByDatabase, d.ranks, d.live, d.refreshedVersion = homesByDatabase, ranks, live, document.Version()
	d.mu.Unlock()
	d.homes.SetRanks(ranks, len(live))
}

// localHomes returns the homes in the baseline mode without homes, in which every daemon serves its own callers. The
// result ends with this daemon, so that its rank is its place in the list, which staggers promotions.
func (d *Daemon) localHomes(live []citronusher.Instance) []citronusher.Instance {
	rank := slices.IndexFunc(live, func(i citronusher.Instance) bool { return i.Name() == d.settings.Name() })
	if rank < 0 {
		return nil
	}
	return live[:rank+1]
}

func (d *Daemon) homesFor(database string) []citronusher.Instance {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.homesByDatabase[database]
}

// Route returns the homes of database in the order in which the entry tries them.
func (d *Daemon) Route(database, caller string, long bool) []entry.Hop {
	if !d.settings.UseHomes() {
		return []entry.Hop{entry.NewHop(d.settings.Name(), d.homes, true)}
	}
	homes := route.OrderHomes(d.homesFor(database), d.settings.Name(), d.settings.Domain(), caller, long)
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

// PeerFailed leaves a peer that did not answer out of the homes for suspicionDuration.
func (d *Daemon) PeerFailed(name string) {
	now := d.clock.Now()
	d.mu.Lock()
	newlySuspected := !d.view.Suspected(name, now)
	d.view.Suspect(name, now.Add(suspicionDuration))
	d.mu.Unlock()
	if newlySuspected {
		events.Log(d.logger, events.PeerFailed, "peer", name)
		d.requestRefresh()
	}
}

// Cancel cancels the running request of a caller that is connected to this daemon.
func (d *Daemon) Cancel(process, secret uint32) { d.entry.Cancel(process, secret) }

// entryRouter adapts the daemon to entry.Router, whose Cancel forwards to other daemons.
type entryRouter struct{ *Daemon }

// Cancel forwards a cancel request to the instances whose names map to tag.
func (r entryRouter) Cancel(ctx context.Context, tag uint16, process, secret uint32) {
	r.mu.Lock()
	listed := r.view.Listed()
	r.mu.Unlock()
	for _, instance := range listed {
		if entry.InstanceTag(instance.Name()) == tag {
			_ = r.client.Peer(instance.PeerAddress()).Cancel(ctx, process, secret)
		}
	}
}

// peerAddresses returns the IP:PORT of the other live daemons.
func (d *Daemon) peerAddresses() []string {
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

// announce publishes this daemon's state to its peers.
func (d *Daemon) announce(state citronusher.InstanceState) {
	d.mu.Lock()
	d.announcementVersion++
	version := d.announcementVersion
	d.mu.Unlock()
	d.spreader.Publish(&peerpb.AnnounceRequest{
		Kind: gossip.KindState, Subject: d.settings.Name() + " " + string(state), Version: version,
		Source: d.settings.Peer(), Origin: d.settings.Peer(),
	})
}

// handleAnnouncement applies an announcement of an instance's state or of a term. It reports whether the announcement
// changed the membership view.
func (d *Daemon) handleAnnouncement(n *peerpb.AnnounceRequest) bool {
	if n.GetKind() == gossip.KindTerm {
		d.homes.WakeProbes(n.GetSubject())
		return false
	}
	announcement, ok := parseInstanceState(n)
	if !ok {
		return false
	}
	d.mu.Lock()
	changed := d.view.Apply(announcement)
	if changed && announcement.State() == citronusher.InstanceLive {
		d.view.ClearSuspicion(announcement.Name())
	}
	d.mu.Unlock()
	if changed {
		events.Log(d.logger, events.InstanceChanged, "name", announcement.Name(), "state", string(announcement.State()))
		d.requestRefresh()
	}
	return changed
}

// parseInstanceState decodes an instance's announcement of its own state.
func parseInstanceState(n *peerpb.AnnounceRequest) (membership.Announcement, bool) {
	name, state, found := strings.Cut(n.GetSubject(), " ")
	if !found || n.GetKind() != gossip.KindState {
		return membership.Announcement{}, false
	}
	return membership.NewAnnouncement(name, citronusher.InstanceState(state), n.GetVersion()), true
}
