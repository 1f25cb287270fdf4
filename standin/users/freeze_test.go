package users

import (
	"net/http"
	"strings"
	"testing"
	"time"
)

const frozenTime = 50 * time.Millisecond

func startGroup(t *testing.T) (*Platform, *Group) {
	t.Helper()
	p := New(Options{Slots: 2, Connections: 8, Record: true})
	t.Cleanup(p.Close)
	g, err := p.AddGroup("group", 3)
	if err != nil {
		t.Fatal(err)
	}
	return p, g
}

func dial(t *testing.T, m *Member) *Caller {
	t.Helper()
	c, err := Dial(m.address, "group", "caller")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

// TestFrozenMemberPerformsLate checks that a frozen member performs what was sent to it when it goes on, also when its
// sender has gone, and that a crash makes it forget.
func TestFrozenMemberPerformsLate(t *testing.T) {
	_, g := startGroup(t)
	m := g.Member(0)
	for _, crash := range []bool{false, true} {
		c := dial(t, m)
		m.SetFrozen(true)
		item := map[bool]string{false: "kept", true: "lost"}[crash]
		if err := c.Send("QUERY " + item + " WRITE " + item + " 1"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(frozenTime)
		c.Close()
		if g.Commits(item) != 0 {
			t.Error("a frozen member performed a write")
		}
		if crash {
			m.Crash()
			if err := m.Restart(); err != nil {
				t.Fatal(err)
			}
		}
		m.SetFrozen(false)
		time.Sleep(frozenTime)
	}
	if g.Commits("kept") != 1 || g.Commits("lost") != 0 {
		t.Errorf("commits: %d of the kept write, %d of the lost one", g.Commits("kept"), g.Commits("lost"))
	}
}

// TestThawedMemberPerformsKeptFirst guards against a command that comes after a member went on and is performed before what
// the member has kept.
func TestThawedMemberPerformsKeptFirst(t *testing.T) {
	for range 20 {
		_, g := startGroup(t)
		m := g.Member(0)
		kept, next := dial(t, m), dial(t, m)
		m.SetFrozen(true)
		if err := kept.Send("QUERY kept WRITE x 1"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(frozenTime)
		m.ThawInOrder()
		if _, err := next.Query("DEMOTE 2"); err != nil {
			t.Fatal(err)
		}
		if g.Commits("kept") != 1 {
			t.Fatal("the member was demoted before it performed the write that it had kept")
		}
	}
}

// TestFrozenMemberStandsStill checks that a frozen primary sends its replicas nothing and that a promotion of a frozen
// replica takes effect when it goes on.
func TestFrozenMemberStandsStill(t *testing.T) {
	_, g := startGroup(t)
	first, second := g.Member(0), g.Member(1)
	second.SetFrozen(true)
	if a, err := dial(t, first).Query("WRITE x 1"); err != nil || a.Code != "" {
		t.Fatalf("%+v, %v", a, err)
	}
	first.SetFrozen(true)
	time.Sleep(frozenTime)
	second.SetFrozen(false)
	time.Sleep(frozenTime)
	second.withLock(func() {
		if second.read("x") != "none" {
			t.Error("a frozen primary sent a commit")
		}
	})
	second.SetFrozen(true)
	if status := g.platform.promoteMember("group", second.ID(), time.Millisecond); status != http.StatusOK {
		t.Fatalf("status %d", status)
	}
	time.Sleep(frozenTime)
	if g.Primary() != first || g.platform.PendingPromotions() != 1 {
		t.Error("a frozen member was promoted")
	}
	second.SetFrozen(false)
	time.Sleep(frozenTime)
	if g.Primary() != second {
		t.Error("the member was not promoted when it went on")
	}
}

// TestPromotionPlans checks what becomes of promotion requests: they take effect late, are refused, cut, or not answered.
func TestPromotionPlans(t *testing.T) {
	for name, c := range map[string]struct {
		plan    PromotionPlan
		status  int // 0 for no answer
		effects int
	}{
		"late":    {PromotionPlan{Held: frozenTime, Delay: frozenTime}, http.StatusOK, 1},
		"refused": {PromotionPlan{Status: http.StatusTooManyRequests}, http.StatusTooManyRequests, 0},
		"cut":     {PromotionPlan{Cut: true}, 0, 0},
		"lost":    {PromotionPlan{Lost: true, Delay: time.Millisecond}, 0, 1},
	} {
		t.Run(name, func(t *testing.T) {
			p, g := startGroup(t)
			p.PlanPromotions(func() PromotionPlan { return c.plan })
			if status := requestPromotion(t, p.Address(), g.Member(1).ID()); status != c.status {
				t.Errorf("status %d, want %d", status, c.status)
			}
			for p.PendingPromotions() > 0 {
				time.Sleep(time.Millisecond)
			}
			effects := g.Promotions()
			if len(effects) != c.effects {
				t.Errorf("promotions: %+v", effects)
			}
			for _, e := range effects {
				if e.At.Sub(e.RequestedAt) < c.plan.Delay || e.Term != 2 || e.Member != g.Member(1).ID() {
					t.Errorf("promotion: %+v", e)
				}
			}
		})
	}
}

// requestPromotion returns the HTTP status of a promotion request; 0 when its connection ends.
func requestPromotion(t *testing.T, address, member string) int {
	t.Helper()
	body := strings.NewReader(`{"Service":"group","Id":"` + member + `"}`)
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+"/promote", body)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Fencing-Token", "1")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	if err := response.Body.Close(); err != nil {
		t.Error(err)
	}
	return response.StatusCode
}

// TestAudit checks that a run's log is kept as it was when members are rolled back, that a rolled-back commit leaves the
// history, and that a replica does not follow a primary of an older term.
func TestAudit(t *testing.T) {
	_, g := startGroup(t)
	first, second := g.Member(0), g.Member(1)
	query := func(m *Member, text string) Answer {
		a, err := dial(t, m).Query(text)
		if err != nil || a.Code != "" {
			t.Fatalf("%s: %+v, %v", text, a, err)
		}
		return a
	}
	query(first, "WRITE x kept")
	time.Sleep(frozenTime)
	second.StopReceiving(true)
	query(first, "WRITE x lost")
	read := query(first, "READ x")
	first.SetPartitioned(true)
	g.pending++
	g.promote(second, 0)
	query(second, "WRITE x new")
	first.SetPartitioned(false)
	time.Sleep(stepDownDelay + frozenTime)
	ran, ok := g.Run(read.Signature)
	history := g.History()
	if !ok || ran.Rows != "ROW lost\r\n" || len(ran.log) != 2 || history.Reached(ran) != 1 {
		t.Errorf("run %+v reaches %d", ran, history.Reached(ran))
	}
	if len(history.log) != 2 || history.log[1].data != "new" {
		t.Errorf("history %+v", history.log)
	}
	first.withLock(func() {
		if first.lastPosition() != "2.2" || first.term != 2 {
			t.Errorf("the old primary is at %s, term %d", first.lastPosition(), first.term)
		}
	})
}
