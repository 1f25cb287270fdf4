package peer

import (
	"encoding/json"
	"fmt"
	"sync"

	"citronusher.example/citronusher"
)

// encodings caches the encoded forms of the plan and of the member list that were sent last, because a store reader
// sends the same ones to hundreds of daemons.
type encodings struct {
	mu      sync.Mutex
	version uint64
	plan    []byte
	list    *citronusher.MemberReport // first element of the cached member list, which identifies the list
	count   int
	members []byte
}

// encodePlan returns a plan as compressed JSON. The cached form is reused for a plan of the same version.
func (e *encodings) encodePlan(plan citronusher.Plan) ([]byte, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.plan != nil && e.version == plan.Version {
		return e.plan, nil
	}
	body, err := encodeJSON(plan)
	if err != nil {
		return nil, err
	}
	e.version, e.plan = plan.Version, body
	return body, nil
}

// encodeMembers returns a member list as compressed JSON. A list must not change after it was passed to it.
func (e *encodings) encodeMembers(members []citronusher.MemberReport) ([]byte, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(members) > 0 && e.list == &members[0] && e.count == len(members) {
		return e.members, nil
	}
	body, err := encodeJSON(members)
	if err != nil {
		return nil, err
	}
	e.list, e.count, e.members = nil, len(members), body
	if len(members) > 0 {
		e.list = &members[0]
	}
	return body, nil
}

// encodeJSON encodes a value as compressed JSON.
func encodeJSON(value any) ([]byte, error) {
	body, err := json.Marshal(value)
	if err != nil {
		return nil, fmt.Errorf("encode JSON: %w", err)
	}
	return Compress(body)
}

// decodeJSON decodes the output of encodeJSON into a value. Its error wraps ErrInvalid.
func decodeJSON(packed []byte, into any) error {
	body, err := decompress(packed)
	if err != nil {
		return fmt.Errorf("%w: %w", citronusher.ErrInvalid, err)
	}
	if err := json.Unmarshal(body, into); err != nil {
		return fmt.Errorf("%w: %w", citronusher.ErrInvalid, err)
	}
	return nil
}
