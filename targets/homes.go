package targets

import (
	"sync"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/route"
)

// spareHomes is the number of instances kept in order behind a group's homes, as substitutes for homes that fail.
const spareHomes = 3

// homes holds the instance list and ranks the instances as homes for each group.
type homes struct {
	mu      sync.Mutex
	list    []citronusher.Instance
	domains int
	ranked  map[string][]citronusher.Instance // by group; computed on demand and cleared when list is set
}

// setInstances replaces the instance list.
func (h *homes) setInstances(list []citronusher.Instance) {
	h.mu.Lock()
	defer h.mu.Unlock()
	domains := map[string]bool{}
	for _, instance := range list {
		domains[instance.Domain()] = true
	}
	h.list, h.domains, h.ranked = list, len(domains), map[string][]citronusher.Instance{}
}

// known reports whether the instance list is not empty.
func (h *homes) known() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.list) > 0
}

// rankedFor returns the instances that may serve a group, best first. The first count of them are its homes and the
// others are substitutes. connections is how many connections each member accepts from all instances together.
func (h *homes) rankedFor(group string, connections int) (list []citronusher.Instance, count int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.rank(group), route.HomeCount(connections, len(h.list), h.domains)
}

// first returns the first home of a group. It returns false if the instance list is empty.
func (h *homes) first(group string) (citronusher.Instance, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	list := h.rank(group)
	if len(list) == 0 {
		return citronusher.Instance{}, false
	}
	return list[0], true
}

// rank returns the homes and substitutes of a group in order of preference. The caller holds mu.
func (h *homes) rank(group string) []citronusher.Instance {
	list, ok := h.ranked[group]
	if !ok && len(h.list) > 0 {
		list = route.Homes(group, h.list, route.MaxHomes+spareHomes)
		h.ranked[group] = list
	}
	return list
}
