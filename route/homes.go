// Package route decides where a statement goes: which daemons are homes of a database, which home an entry asks, and
// which group member a home uses.
//
// It sends nothing and keeps no state.
package route

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"citronusher.example/citronusher"
)

type scored struct {
	instance citronusher.Instance
	score    uint64
}

// Homes returns the count homes of database in order, by rendezvous hashing over the instances. Homes lie in different
// failure domains as far as there are enough of them.
func Homes(database string, instances []citronusher.Instance, count int) []citronusher.Instance {
	ranked := rank(database, instances)
	homes := make([]citronusher.Instance, 0, count)
	used := map[string]bool{}
	for _, distinct := range []bool{true, false} {
		for i := range ranked {
			if len(homes) == count {
				return homes
			}
			instance := ranked[i].instance
			if slices.Contains(homes, instance) || (distinct && used[instance.Domain()]) {
				continue
			}
			used[instance.Domain()] = true
			homes = append(homes, instance)
		}
	}
	return homes
}

func rank(key string, instances []citronusher.Instance) []scored {
	ranked := make([]scored, len(instances))
	var hash xxhash.Digest
	for i, instance := range instances {
		hash.Reset()
		_, _ = hash.WriteString(key)
		_, _ = hash.Write([]byte{0})
		_, _ = hash.WriteString(instance.Name())
		ranked[i] = scored{instance: instance, score: hash.Sum64()}
	}
	slices.SortFunc(ranked, func(a, b scored) int {
		switch {
		case a.score > b.score:
			return -1
		case a.score < b.score:
			return 1
		default:
			return strings.Compare(a.instance.Name(), b.instance.Name())
		}
	})
	return ranked
}

// Order returns the homes in the order in which an entry asks them. Long work always asks the first home first, so that
// one daemon counts all long work of a database. Short work asks the entry itself, then homes in the entry's domain,
// then the others; caller spreads the callers of one entry over equal homes.
func Order(homes []citronusher.Instance, self, domain, caller string, long bool) []citronusher.Instance {
	if long {
		return homes
	}
	ordered := make([]citronusher.Instance, 0, len(homes))
	for _, s := range rank(caller, homes) {
		ordered = append(ordered, s.instance)
	}
	slices.SortStableFunc(ordered, func(a, b citronusher.Instance) int {
		return distance(a, self, domain) - distance(b, self, domain)
	})
	return ordered
}

// distance is 0 for the entry itself, 1 within its domain and 2 elsewhere.
func distance(instance citronusher.Instance, self, domain string) int {
	switch {
	case instance.Name() == self:
		return 0
	case instance.Domain() == domain:
		return 1
	default:
		return 2
	}
}
