package storesync

import (
	"slices"
	"time"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/route"
)

const (
	maxSmallFleet = route.MaxHomes // instances; in a fleet of at most this size every instance reads the store
	readerCount   = 3              // store readers in a larger fleet
	deputyCount   = 6              // instances that read the store while the readers are cut off from it
	readerKey     = "readers"      // hash key by which readers and deputies are chosen
	// ownReadRate is the maximum rate of calls to the store of all instances that are neither readers nor deputies, in calls
	// per second.
	ownReadRate = 50
)

// duty is an instance's part in reading the store.
type duty struct {
	reader bool
	deputy bool
	// polled are the instances to poll, best first: for a deputy the readers, and for other instances the readers and
	// then the deputies. It is empty for a reader.
	polled []citronusher.Instance
	// ownReadInterval is the mean time between two reads of the store by an instance that is neither a reader nor a deputy,
	// while it can poll none of them.
	ownReadInterval time.Duration
}

// dutyOf returns the duty of self in a fleet.
func dutyOf(self citronusher.Instance, instances []citronusher.Instance) duty {
	if len(instances) <= maxSmallFleet {
		return duty{reader: true}
	}
	chosen := route.Homes(readerKey, instances, readerCount+deputyCount)
	readers, deputies := chosen[:readerCount], chosen[readerCount:]
	d := duty{
		reader:          contains(readers, self),
		deputy:          contains(deputies, self),
		ownReadInterval: time.Duration(len(instances)) * time.Second / ownReadRate,
	}
	if d.reader {
		return d
	}
	d.polled = route.OrderHomes(readers, self.Name(), self.Domain(), self.Name(), false)
	if !d.deputy {
		d.polled = append(d.polled, route.OrderHomes(deputies, self.Name(), self.Domain(), self.Name(), false)...)
	}
	return d
}

func contains(instances []citronusher.Instance, self citronusher.Instance) bool {
	return slices.ContainsFunc(instances, func(i citronusher.Instance) bool { return i.Name() == self.Name() })
}

// staleAge returns the age of the store's last confirmation at which the plan of a polled instance is stale. Deputies notice
// earlier that the readers are cut off, and read the store before the other instances poll them.
func (d duty) staleAge() time.Duration {
	if d.deputy {
		return deputyStaleAge
	}
	return staleAge
}
