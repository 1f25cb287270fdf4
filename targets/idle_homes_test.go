package targets

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"citronusher.example/citronusher"
)

// homesOfOneGroup answers requests for a renewal by the groups of the other daemons.
type homesOfOneGroup struct {
	*fakePlatform
	groups map[string]*Group
}

func (h homesOfOneGroup) LeaseRenewalAge(
	_ context.Context, from citronusher.Instance, _ string, term uint64,
) (time.Duration, error) {
	if age, ok := h.groups[from.Name()].leaseRenewalAge(term); ok {
		return age, nil
	}
	return 0, citronusher.ErrNotFound
}

// outageStore is a store that answers until away is set.
type outageStore struct {
	*fakePlatform
	away *bool
}

func (s outageStore) ReadClaim(ctx context.Context, group string) (citronusher.Claim, error) {
	if *s.away {
		return citronusher.Claim{}, citronusher.ErrUnavailable
	}
	return s.fakePlatform.ReadClaim(ctx, group)
}

func (s outageStore) Members(ctx context.Context) ([]citronusher.MemberReport, error) {
	if *s.away {
		return nil, citronusher.ErrUnavailable
	}
	return s.fakePlatform.Members(ctx)
}

// TestHomesWithoutALeaseDoNotKeepEachOtherBusy guards against homes of a group that nobody uses and that each count as used
// for ever, because each asks the others for a renewal that none has.
func TestHomesWithoutALeaseDoNotKeepEachOtherBusy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFakePlatform()
		peers := homesOfOneGroup{p, map[string]*Group{}}
		away := false
		names := []string{"d1", "d2", "d3"}
		list := []citronusher.Instance{instance("d1"), instance("d2"), instance("d3")}
		for _, name := range names {
			g := p.newDaemon(t, name)
			g.set.plan = citronusher.Plan{Version: 1, Groups: map[string]citronusher.GroupPlan{"g": {Name: "g", Connections: 16}}}
			g.set.groups["g"] = g
			g.set.config.Peers, g.set.config.Store = peers, outageStore{p, &away}
			g.set.SetInstances(list)
			peers.groups[name] = g
			g.discover()
		}
		time.Sleep(time.Minute) // the leases have expired, and nobody has used the group
		away = true
		count := map[string]int{}
		for range 300 {
			time.Sleep(watchInterval)
			for name, g := range peers.groups {
				g.mu.Lock()
				before := g.renewing
				g.renewIfNeeded(g.now())
				if !before && g.renewing {
					count[name]++
				}
				g.mu.Unlock()
			}
			synctest.Wait()
		}
		for name, g := range peers.groups {
			_, isPeer := g.set.leaseRenewer("g")
			g.mu.Lock()
			used := g.now() < g.primaryUsedAt.Add(leaseIdleTimeout)
			g.mu.Unlock()
			t.Logf("%s: lease renewer %t, renewals %d, used %t", name, !isPeer, count[name], used)
			if isPeer && used {
				t.Errorf("%s counts as used although no request has come: %d rounds of reports in %s", name, count[name],
					300*watchInterval)
			}
		}
	})
}
