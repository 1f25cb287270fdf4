package citronusher

import (
	"fmt"
	"net/netip"
	"strings"
	"unicode"
	"unicode/utf8"
)

const (
	maxSlots      = 1 << 20         // statements that a member may claim to run at once
	maxBornMillis = 253402300800000 // the year 10000
)

// Validate returns an error that wraps ErrInvalid if no member can have sent r. Such a report may come from another writer
// and must not be used, because a member that cannot be reached delays promotions.
func (r MemberReport) Validate() error {
	switch {
	case !isWord(r.ID) || !isWord(r.Group):
		return fmt.Errorf("%w: member %q of group %q", ErrInvalid, r.ID, r.Group)
	case r.Role != RolePrimary && r.Role != RoleReplica:
		return fmt.Errorf("%w: member %q: role %q", ErrInvalid, r.ID, r.Role)
	case r.Slots < 1 || r.Slots > maxSlots:
		return fmt.Errorf("%w: member %q: capacity %d", ErrInvalid, r.ID, r.Slots)
	case r.BornMillis < 0 || r.BornMillis > maxBornMillis:
		return fmt.Errorf("%w: member %q: started at %d", ErrInvalid, r.ID, r.BornMillis)
	}
	address, err := netip.ParseAddrPort(r.Address)
	if err != nil {
		return fmt.Errorf("%w: member %q: %w", ErrInvalid, r.ID, err)
	}
	ip := address.Addr()
	oneHost := ip.IsGlobalUnicast() || ip.IsLoopback() || ip.IsLinkLocalUnicast()
	if address.Port() == 0 || !oneHost || ip.Zone() != "" {
		return fmt.Errorf("%w: member %q: address %q", ErrInvalid, r.ID, r.Address)
	}
	return nil
}

// isWord reports whether a name can be sent in a message of the line protocol.
func isWord(name string) bool {
	odd := func(c rune) bool { return !unicode.IsPrint(c) || unicode.IsSpace(c) || c == utf8.RuneError }
	return name != "" && !strings.ContainsFunc(name, odd)
}
