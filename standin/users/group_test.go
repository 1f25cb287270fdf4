package users

import "testing"

// TestRolledBackCommitIsNotHeld guards against a read that counts as stale although the value that it lacks was rolled back
// by a promotion: a later value of the item does not show that the group still has the earlier one.
func TestRolledBackCommitIsNotHeld(t *testing.T) {
	p := New(Options{Slots: 1, Connections: 8})
	defer p.Close()
	g, err := p.AddGroup("group", 2)
	if err != nil {
		t.Fatal(err)
	}
	write := func(m *Member, data string) {
		c, err := Dial(m.address, "group", "w"+data)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if a, err := c.Query("WRITE x " + data); err != nil || a.Code != "" {
			t.Fatalf("write %s: %+v, %v", data, a, err)
		}
	}
	first, second := g.Member(0), g.Member(1)
	write(first, "1")
	for !g.Replicated() {
		continue
	}
	second.StopReceiving(true)
	write(first, "2")
	if !g.Holds("x", "2") {
		t.Error("the commit is not held before the promotion")
	}
	first.Crash()
	g.pending++
	g.promote(second, 0)
	write(second, "3")
	if !g.Holds("x", "1") || g.Holds("x", "2") || !g.Holds("x", "3") {
		t.Errorf("held: 1 %t, 2 %t, 3 %t", g.Holds("x", "1"), g.Holds("x", "2"), g.Holds("x", "3"))
	}
	if g.Value("x") < "2" {
		t.Errorf("value %s", g.Value("x"))
	}
}
