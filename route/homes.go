// Package route decides where a statement goes: which daemons are homes of a database, which home an entry asks, and
// which group member a home uses.
//
// It sends nothing and keeps no state.
package route

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"citronusher.example/citronusher"
)

// MaxHomes is the largest number of homes of a group.
const MaxHomes = 12

const (
	smallFleet   = MaxHomes // daemons; among so few of them each one is a home as far as the connections allow
	leastHomes   = 3
	leastShare   = 2   // connections to each member that a home of a small fleet has
	usefulShare  = 5   // connections to each member that a home of a large fleet has
	largePart    = 0.5 // of the largest capacity: what a machine has at least to be a home before smaller ones are
	leastLarge   = 6   // machines of that size; with fewer of them all are alike
	hashFraction = 1.0 / (1 << 53)
	hashShift    = 64 - 53
)

// HomeCount returns how many homes a group has whose members take connections each, before instances in domains failure
// domains. In a large fleet there is one in each domain as far as the connections allow.
func HomeCount(connections, instances, domains int) int {
	if instances <= smallFleet {
		return max(1, min(instances, connections/leastShare))
	}
	return min(MaxHomes, instances, max(leastHomes, min(domains, connections/usefulShare)))
}

// Homes returns the count homes of database in order, by rendezvous hashing over the instances, weighted by their
// capacity. Homes lie in different failure domains as far as there are enough of them. Machines that are small among
// larger ones come last: a home serves the callers of many daemons.
func Homes(database string, instances []citronusher.Instance, count int) []citronusher.Instance {
	large, small := bySize(instances)
	homes := pick(database, large, count)
	return append(homes, pick(database, small, count-len(homes))...)
}

// bySize divides the instances into those that are homes first and the others.
func bySize(instances []citronusher.Instance) (large, small []citronusher.Instance) {
	most := 0.0
	for _, instance := range instances {
		most = max(most, instance.Capacity())
	}
	for _, instance := range instances {
		if instance.Capacity() >= most*largePart {
			large = append(large, instance)
		} else {
			small = append(small, instance)
		}
	}
	if len(large) < leastLarge {
		return instances, nil
	}
	return large, small
}

// pick returns up to count instances in the order of their scores, of different failure domains first.
func pick(database string, instances []citronusher.Instance, count int) []citronusher.Instance {
	scores := make([]float64, len(instances))
	for i, instance := range instances {
		scores[i] = weighted(score(database, instance.Name()), instance.Capacity())
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
func highest(scores []float64, allowed func(i int) bool) int {
	best := -1
	for i, s := range scores {
		if (best < 0 || s > scores[best]) && allowed(i) {
			best = i
		}
	}
	return best
}

// weighted turns a hash into a score that is the highest of several with a chance in proportion to its weight.
func weighted(hash uint64, weight float64) float64 {
	fraction := (float64(hash>>hashShift) + 0.5) * hashFraction //nolint:mnd // the middle of its step: never 0 or 1
	return -weight / math.Log(fraction)
}

func score(key, name string) uint64 {
	var hash xxhash.Digest
	hash.Reset()
	_, _ = hash.WriteString(key)
	_, _ = hash.Write([]byte{0})
	_, _ = hash.WriteString(name)
	return hash.Sum64()
}

// OrderHomes returns the homes in the order in which an entry asks them. Long work always asks the first home first, so that
// one daemon counts all long work of a database. Short work asks the entry itself, then homes in the entry's domain,
// then the others; caller spreads the callers of one entry over equal homes.
func OrderHomes(homes []citronusher.Instance, self, domain, caller string, long bool) []citronusher.Instance {
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
