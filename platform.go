package citronusher

import (
	"context"
	"time"
)

// Row is one versioned row of the platform's table service.
type Row struct {
	key     string
	version uint64
	value   string
}

// NewRow returns a row.
func NewRow(key string, version uint64, value string) Row {
	return Row{key: key, version: version, value: value}
}

// Key returns the row's key.
func (r Row) Key() string { return r.key }

// Version returns the row's version, which a conditional write compares.
func (r Row) Version() uint64 { return r.version }

// Value returns the row's content.
func (r Row) Value() string { return r.value }

// Table is the part of the platform's transactional table service that the proxy uses.
type Table interface {
	// Read returns the row under key, ErrNotFound or ErrUnavailable.
	Read(ctx context.Context, key string) (Row, error)
	// Write stores row if the stored version is row.Version()-1, or if no row exists and row.Version() is 1.
	// It returns ErrConflict when another version is stored and ErrUnavailable when the outcome is unknown.
	Write(ctx context.Context, row Row) error
}

// ObjectStore is the part of the platform's object store that the proxy uses.
type ObjectStore interface {
	// Get returns the object under key, ErrNotFound or ErrUnavailable.
	Get(ctx context.Context, key string) ([]byte, error)
	// Put stores body under key.
	Put(ctx context.Context, key string, body []byte) error
}

// InstanceState is whether an instance accepts new work.
type InstanceState string

// The states of an instance.
const (
	InstanceLive    InstanceState = "live"
	InstanceLeaving InstanceState = "leaving"
)

// Instance is one daemon on one machine of the platform.
type Instance struct {
	name   string
	peer   string
	domain string
	state  InstanceState
	cores  float64
}

// NewInstance returns an instance whose peer listener is at the IP:PORT peer, in failure domain domain.
func NewInstance(name, peer, domain string, state InstanceState) Instance {
	return Instance{name: name, peer: peer, domain: domain, state: state, cores: 1}
}

// WithCapacity returns i with the number of cores that the daemon may use on its machine.
func (i Instance) WithCapacity(cores float64) Instance {
	i.cores = cores
	return i
}

// Capacity returns the number of cores that the daemon may use on its machine; 1 when it is not known.
func (i Instance) Capacity() float64 { return i.cores }

// Name returns the instance's unique name.
func (i Instance) Name() string { return i.name }

// PeerAddress returns the IP:PORT of the instance's peer listener.
func (i Instance) PeerAddress() string { return i.peer }

// Domain returns the instance's failure domain.
func (i Instance) Domain() string { return i.domain }

// WithState returns i with another state.
func (i Instance) WithState(state InstanceState) Instance {
	i.state = state
	return i
}

// SameDaemon reports whether other has the same name and peer address.
func (i Instance) SameDaemon(other Instance) bool {
	return i.name == other.name && i.peer == other.peer
}

// State returns whether the instance accepts new work.
func (i Instance) State() InstanceState { return i.state }

// InstanceLister reads the platform's list of instances. The list lags behind the instances' actual state.
type InstanceLister interface {
	// List returns the instances, and false when the list is unchanged since the previous call.
	List(ctx context.Context) (instances []Instance, changed bool, err error)
}

// Clock returns the current wall-clock time. Decision packages receive times as arguments; adapters use a Clock.
type Clock interface {
	Now() time.Time
}

// SystemClock implements Clock and MonotonicClock with the machine's clocks.
type SystemClock struct{}

// Now returns the current time.
func (SystemClock) Now() time.Time { return time.Now() }
