package profile

import (
	"encoding/json"
	"fmt"
	"net/netip"
)

// MemberState is whether a group member accepts new work.
type MemberState string

// The states of a group member.
const (
	MemberLive    MemberState = "live"
	MemberLeaving MemberState = "leaving"
)

type memberFields struct {
	Name    string      `json:"name"`
	Address string      `json:"address"`
	Domain  string      `json:"domain"`
	State   MemberState `json:"state,omitempty"`
}

type databaseFields struct {
	Members     []memberFields `json:"members"`
	Connections int            `json:"connections"`
	Slots       int            `json:"slots"`
	Homes       int            `json:"homes,omitempty"`
}

// Member is one target of a database group.
type Member struct{ fields memberFields }

// Name returns the member's name.
func (m Member) Name() string { return m.fields.Name }

// Address returns the member's IP:PORT.
func (m Member) Address() string { return m.fields.Address }

// Domain returns the member's failure domain.
func (m Member) Domain() string { return m.fields.Domain }

// Leaving reports whether the member accepts no new work.
func (m Member) Leaving() bool { return m.fields.State == MemberLeaving }

// Database is one database group.
type Database struct {
	name    string
	fields  databaseFields
	members []Member
}

// Name returns the database's name.
func (d Database) Name() string { return d.name }

// Members returns the group's members.
func (d Database) Members() []Member { return d.members }

// Connections returns the maximum number of connections to each member, from all daemons together.
func (d Database) Connections() int { return d.fields.Connections }

// Slots returns the number of statements that each member runs at once.
func (d Database) Slots() int { return d.fields.Slots }

// Homes returns the number of daemons that are homes of the database.
func (d Database) Homes() int { return d.fields.Homes }

// MarshalJSON encodes the database in the form in which it is edited.
func (d Database) MarshalJSON() ([]byte, error) { return json.Marshal(d.fields) }

// newDatabase validates f and sets the defaults.
func newDatabase(name string, f databaseFields) (Database, error) {
	if !namePattern.MatchString(name) {
		return Database{}, invalid("database name", name, namePattern.String())
	}
	if f.Homes == 0 {
		f.Homes = defaultHomes
	}
	ranges := []struct {
		field     string
		value     int
		low, high int
	}{
		{"members", len(f.Members), 1, maxMembers},
		{"connections", f.Connections, 2, maxConnections},
		{"slots", f.Slots, 1, maxSlots},
		{"homes", f.Homes, 1, maxHomes},
	}
	for _, r := range ranges {
		if r.value < r.low || r.value > r.high {
			return Database{}, invalid(name+"."+r.field, fmt.Sprint(r.value), fmt.Sprintf("%d to %d", r.low, r.high))
		}
	}
	d := Database{name: name, fields: f, members: make([]Member, len(f.Members))}
	seen := map[string]bool{}
	for i, m := range f.Members {
		if err := checkMember(name, &m); err != nil {
			return Database{}, err
		}
		if seen[m.Name] {
			return Database{}, invalid(name+".members.name", m.Name, "a name of its own for each member")
		}
		seen[m.Name] = true
		d.members[i] = Member{fields: m}
	}
	return d, nil
}

func checkMember(database string, m *memberFields) error {
	field := database + ".members"
	if m.Name == "" {
		return invalid(field+".name", m.Name, "1 character or more")
	}
	if _, err := netip.ParseAddrPort(m.Address); err != nil {
		return invalid(field+".address", m.Address, "IP:PORT")
	}
	switch m.State {
	case "":
		m.State = MemberLive
	case MemberLive, MemberLeaving:
	default:
		return invalid(field+".state", string(m.State), "live, leaving")
	}
	return nil
}

// checkMemberChange rejects an edit that changes more than one member. For a while some daemons use the version before an
// edit and others the one after it; a majority of one must share a member with every majority of the other, or two
// primaries could be confirmed at once.
func checkMemberChange(old, edited Database) error {
	addresses := map[string]string{}
	for _, m := range old.members {
		addresses[m.Name()] = m.Address()
	}
	changes := 0
	for _, m := range edited.members {
		if addresses[m.Name()] != m.Address() {
			changes++
		} else {
			delete(addresses, m.Name())
		}
	}
	changes += len(addresses)
	if changes > 1 {
		return invalid(old.name+".members", fmt.Sprintf("%d changes", changes), "one member added or removed in an edit")
	}
	return nil
}
