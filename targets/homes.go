package targets

import (
	"sync"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/route"
)

// spareHomes is how many daemons besides a group's homes are known that may take the place of one.
const spareHomes = 3

// homes knows the daemons and which of them are homes of a group.
type homes struct {
	mu      sync.Mutex
	list    []citronusher.Instance
	domains int
	ranked  map[string][]citronusher.Instance // by group, since list was set
}

// set takes the daemons.
func (h *homes) set(list []citronusher.Instance) {
	h.mu.Lock()
	defer h.mu.Unlock()
	domains := map[string]bool{}
	for _, instance := range list {
		domains[instance.Domain()] = true
	}
	h.list, h.domains, h.ranked = list, len(domains), map[string][]citronusher.Instance{}
}

// known reports whether the daemons are known.
func (h *homes) known() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.list) > 0
}

// of returns the daemons that serve a group whose members take connections each, the best first, and how many of them
// are its homes; the others may take the place of one.
func (h *homes) of(group string, connections int) (list []citronusher.Instance, count int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.rank(group), route.HomeCount(connections, len(h.list), h.domains)
}

// first returns the first home of a group; false while the daemons are not known.
func (h *homes) first(group string) (citronusher.Instance, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	list := h.rank(group)
	if len(list) == 0 {
		return citronusher.Instance{}, false
	}
	return list[0], true
}

// rank returns the daemons in the order in which they serve a group. The caller holds mu.
func (h *homes) rank(group string) []citronusher.Instance {
	list, ok := h.ranked[group]
	if !ok && len(h.list) > 0 {
		list = route.Homes(group, h.list, route.MaxHomes+spareHomes)
		h.ranked[group] = list
	}
	return list
}
