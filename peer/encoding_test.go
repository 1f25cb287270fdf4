package peer

import (
	"errors"
	"reflect"
	"testing"
	"time"

	"citronusher.example/citronusher"
)

// TestEncodedOnce tells the same plan and members to many daemons: they are encoded once, and again when they change.
// (Found by the sweep: at 300 daemons each reader encoded the whole plan for 100 others, was too slow for them, and all
// of them read the store themselves.)
func TestEncodedOnce(t *testing.T) {
	var e encodings
	plan := citronusher.Plan{Version: 7, Idle: time.Second, Routes: map[string]citronusher.Route{"r": {Name: "r", Group: "g"}}}
	members := []citronusher.MemberReport{{ID: "m", Group: "g", Slots: 2}}
	first, err := e.ofPlan(plan)
	if err != nil {
		t.Fatal(err)
	}
	again, err := e.ofPlan(plan)
	if err != nil || &again[0] != &first[0] {
		t.Errorf("the same plan was encoded again: %v", err)
	}
	listed, err := e.ofMembers(members)
	if err != nil {
		t.Fatal(err)
	}
	if same, err := e.ofMembers(members); err != nil || &same[0] != &listed[0] {
		t.Errorf("the same members were encoded again: %v", err)
	}
	var gotPlan citronusher.Plan
	var gotMembers []citronusher.MemberReport
	if err := errors.Join(expand(first, &gotPlan), expand(listed, &gotMembers)); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(gotPlan, plan) || !reflect.DeepEqual(gotMembers, members) {
		t.Errorf("%+v, %+v", gotPlan, gotMembers)
	}
	plan.Version++
	if other, err := e.ofPlan(plan); err != nil || &other[0] == &first[0] {
		t.Errorf("a newer plan was not encoded: %v", err)
	}
	changed := []citronusher.MemberReport{{ID: "n"}}
	if other, err := e.ofMembers(changed); err != nil || &other[0] == &listed[0] {
		t.Errorf("other members were not encoded: %v", err)
	}
	if none, err := e.ofMembers(nil); err != nil || expand(none, &gotMembers) != nil || len(gotMembers) != 0 {
		t.Errorf("no members: %v, %v", gotMembers, err)
	}
	if err := expand([]byte("no gzip"), &gotPlan); !errors.Is(err, citronusher.ErrInvalid) {
		t.Errorf("garbage: %v", err)
	}
}
