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

// count returns how many homes a group has whose members take connections each, and whether self is one.
func (h *homes) count(group string, connections int, self string) (int, bool) {
	list := h.candidates(group)
	h.mu.Lock()
	count := route.Count(connections, len(h.list), h.domains)
	h.mu.Unlock()
	for _, instance := range list[:min(count, len(list))] {
		if instance.Name() == self {
			return count, true
		}
	}
	return count, false
}

// candidates returns the daemons that serve a group, the best first: its homes and some that may take their place.
func (h *homes) candidates(group string) []citronusher.Instance {
	h.mu.Lock()
	defer h.mu.Unlock()
	list, ok := h.ranked[group]
	if !ok && len(h.list) > 0 {
		list = route.Homes(group, h.list, route.MostHomes+spareHomes)
		h.ranked[group] = list
	}
	return list
}
