// Package route decides where a statement is sent: which daemons are homes of a database, which home an entry forwards to,
// and which group member a home uses. A home is a daemon that holds connections to a group's members and runs statements
// for the other daemons; an entry is the daemon that the caller is connected to.
//
// It does no I/O and keeps no state.
package route

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"citronusher.example/citronusher"
)

// MaxHomes is the maximum number of homes of a group.
const MaxHomes = 12

const (
	smallFleet      = MaxHomes // daemons; in a fleet of this size or smaller every daemon is a home if the connections suffice
	minHomes        = 3
	minShare        = 2   // connections to each member per home in a small fleet
	reservedDivisor = 4   // one part in so many of the connections stays free in a small fleet, for restarted homes
	largeFleetShare = 5   // connections to each member per home in a large fleet
	largeRatio      = 0.5 // of the largest capacity; machines with less become homes after the larger ones
	minLarge        = 6   // large machines; with fewer of them capacity does not decide the order
	hashFraction    = 1.0 / (1 << 53)
	hashShift       = 64 - 53
)

// HomeCount returns the number of homes of a group whose members accept the given number of connections each, in a fleet of
// instances in the given number of failure domains. A large fleet has one home in each domain if the connections suffice.
// In a small fleet every instance is a home, as far as a part of the connections stays free: those of daemons that lost
// power linger at the members, and without free ones no home could open any until they are dropped.
func HomeCount(connections, instances, domains int) int {
	if instances <= smallFleet {
		usable := connections - connections/reservedDivisor
		return max(1, min(instances, (usable+minShare-1)/minShare))
	}
	return min(MaxHomes, instances, max(minHomes, min(domains, connections/largeFleetShare)))
}

// Homes returns the count homes of database in order, by rendezvous hashing over the instances, weighted by their
// capacity. Homes are in different failure domains while there are enough domains. Machines with a much smaller capacity
// than the largest come last, because a home serves the callers of many daemons.
func Homes(database string, instances []citronusher.Instance, count int) []citronusher.Instance {
	large, small := byCapacity(instances)
	homes := pick(database, large, count)
	return append(homes, pick(database, small, count-len(homes))...)
}

// byCapacity divides the instances into those that become homes first and the others.
func byCapacity(instances []citronusher.Instance) (large, small []citronusher.Instance) {
	largest := 0.0
	for _, instance := range instances {
		largest = max(largest, instance.Capacity())
	}
	for _, instance := range instances {
		if instance.Capacity() >= largest*largeRatio {
			large = append(large, instance)
		} else {
			small = append(small, instance)
		}
	}
	if len(large) < minLarge {
		return instances, nil
	}
	return large, small
}

// pick returns up to count instances by descending score, instances of different failure domains first.
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

// highest returns the index of the highest score that allowed accepts, or -1. Of equal scores it returns the first.
func highest(scores []float64, allowed func(i int) bool) int {
	best := -1
	for i, s := range scores {
		if (best < 0 || s > scores[best]) && allowed(i) {
			best = i
		}
	}
	return best
}

// weighted turns a hash into a score. The probability that it is the highest of several is proportional to its weight.
func weighted(hash uint64, weight float64) float64 {
	fraction := (float64(hash>>hashShift) + 0.5) * hashFraction //nolint:mnd // the middle of its interval: never 0 or 1
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

// OrderHomes returns the homes in the order in which an entry forwards to them. Long work keeps the order of homes, so that
// one daemon counts all long work of a database. Short work goes to the entry itself, then to homes in the entry's domain,
// then to the others. The hash of caller distributes the callers of one entry over equally distant homes.
func OrderHomes(homes []citronusher.Instance, self, domain, caller string, long bool) []citronusher.Instance {
	if long {
		return homes
	}
	ordered := slices.Clone(homes)
	slices.SortFunc(ordered, func(a, b citronusher.Instance) int {
		if diff := distance(a, self, domain) - distance(b, self, domain); diff != 0 {
			return diff
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
