// Package route decides where a statement goes: which daemons are homes of a database, which home an entry asks, and
// which group member a home uses.
//
// It sends nothing and keeps no state.
package route

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"citronusher.example/citronusher"
)

// Homes returns the count homes of database in order, by rendezvous hashing over the instances. Homes lie in different
// failure domains as far as there are enough of them.
func Homes(database string, instances []citronusher.Instance, count int) []citronusher.Instance {
	scores := make([]uint64, len(instances))
	for i, instance := range instances {
		scores[i] = score(database, instance.Name())
	}
	homes := make([]citronusher.Instance, 0, count)
	taken := map[int]bool{}
	used := map[string]bool{}
	for len(homes) < min(count, len(instances)) {
		best := highest(scores, func(i int) bool { return !taken[i] && !used[instances[i].Domain()] })
		if best < 0 {
			best = highest(scores, func(i int) bool { return !taken[i] })
		}
		taken[best] = true
		used[instances[best].Domain()] = true
		homes = append(homes, instances[best])
	}
	return homes
}

// highest returns the index of the highest score that allowed accepts, or -1. The first of equal scores counts.
func highest(scores []uint64, allowed func(i int) bool) int {
	best := -1
	for i, s := range scores {
		if (best < 0 || s > scores[best]) && allowed(i) {
			best = i
		}
	}
	return best
}

func score(key, name string) uint64 {
	var hash xxhash.Digest
	hash.Reset()
	_, _ = hash.WriteString(key)
	_, _ = hash.Write([]byte{0})
	_, _ = hash.WriteString(name)
	return hash.Sum64()
}

// Order returns the homes in the order in which an entry asks them. Long work always asks the first home first, so that
// one daemon counts all long work of a database. Short work asks the entry itself, then homes in the entry's domain,
// then the others; caller spreads the callers of one entry over equal homes.
func Order(homes []citronusher.Instance, self, domain, caller string, long bool) []citronusher.Instance {
	if long {
		return homes
	}
	ordered := slices.Clone(homes)
	slices.SortFunc(ordered, func(a, b citronusher.Instance) int {
		if near := distance(a, self, domain) - distance(b, self, domain); near != 0 {
			return near
		}
		return cmp.Compare(score(caller, b.Name()), score(caller, a.Name()))
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
