package peer

import (
	"errors"
	"reflect"
	"testing"
	"time"

	"citronusher.example/citronusher"
)

// TestUnchangedUpdateIsEncodedOnce guards against encoding an unchanged plan or member list again for each receiver. At 300
// daemons each store reader encoded the whole plan for 100 others, which made it so slow that all of them read the store
// themselves.
func TestUnchangedUpdateIsEncodedOnce(t *testing.T) {
	var e encodings
	plan := citronusher.Plan{Version: 7, Idle: time.Second, Routes: map[string]citronusher.Route{"r": {Name: "r", Group: "g"}}}
	members := []citronusher.MemberReport{{ID: "m", Group: "g", Slots: 2}}
	first, err := e.encodePlan(plan)
	if err != nil {
		t.Fatal(err)
	}
	again, err := e.encodePlan(plan)
	if err != nil || &again[0] != &first[0] {
		t.Errorf("the same plan was encoded again: %v", err)
	}
	listed, err := e.encodeMembers(members)
	if err != nil {
		t.Fatal(err)
	}
	if same, err := e.encodeMembers(members); err != nil || &same[0] != &listed[0] {
		t.Errorf("the same members were encoded again: %v", err)
	}
	var gotPlan citronusher.Plan
	var gotMembers []citronusher.MemberReport
	if err := errors.Join(decodeJSON(first, &gotPlan), decodeJSON(listed, &gotMembers)); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(gotPlan, plan) || !reflect.DeepEqual(gotMembers, members) {
		t.Errorf("%+v, %+v", gotPlan, gotMembers)
	}
	plan.Version++
	if other, err := e.encodePlan(plan); err != nil || &other[0] == &first[0] {
		t.Errorf("a newer plan was not encoded: %v", err)
	}
	changed := []citronusher.MemberReport{{ID: "n"}}
	if other, err := e.encodeMembers(changed); err != nil || &other[0] == &listed[0] {
		t.Errorf("other members were not encoded: %v", err)
	}
	if none, err := e.encodeMembers(nil); err != nil || decodeJSON(none, &gotMembers) != nil || len(gotMembers) != 0 {
		t.Errorf("no members: %v, %v", gotMembers, err)
	}
	if err := decodeJSON([]byte("no gzip"), &gotPlan); !errors.Is(err, citronusher.ErrInvalid) {
		t.Errorf("body that is not gzip: %v", err)
	}
}
