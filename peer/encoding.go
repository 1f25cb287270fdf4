package peer

import (
	"encoding/json"
	"fmt"
	"sync"

	"citronusher.example/citronusher"
)

// encodings keeps the encoded forms of the plan and of the members that were told last: a reader of the store tells the
// same ones to hundreds of daemons, one after the other.
type encodings struct {
	mu      sync.Mutex
	version uint64
	plan    []byte
	list    *citronusher.MemberReport // the first of the members
	count   int
	members []byte
}

// ofPlan returns a plan as compressed JSON.
func (e *encodings) ofPlan(plan citronusher.Plan) ([]byte, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.plan != nil && e.version == plan.Version {
		return e.plan, nil
	}
	body, err := compress(plan)
	if err != nil {
		return nil, err
	}
	e.version, e.plan = plan.Version, body
	return body, nil
}

// ofMembers returns members as compressed JSON. A list is never changed after it was told.
func (e *encodings) ofMembers(members []citronusher.MemberReport) ([]byte, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(members) > 0 && e.list == &members[0] && e.count == len(members) {
		return e.members, nil
	}
	body, err := compress(members)
	if err != nil {
		return nil, err
	}
	e.list, e.count, e.members = nil, len(members), body
	if len(members) > 0 {
		e.list = &members[0]
	}
	return body, nil
}

// compress encodes a value as JSON and compresses it.
func compress(value any) ([]byte, error) {
	body, err := json.Marshal(value)
	if err != nil {
		return nil, fmt.Errorf("encode: %w", err)
	}
	return Compress(body)
}

// expand decodes what compress encoded. Its error wraps ErrInvalid.
func expand(packed []byte, into any) error {
	body, err := unpack(packed)
	if err != nil {
		return fmt.Errorf("%w: %w", citronusher.ErrInvalid, err)
	}
	if err := json.Unmarshal(body, into); err != nil {
		return fmt.Errorf("%w: %w", citronusher.ErrInvalid, err)
	}
	return nil
}
