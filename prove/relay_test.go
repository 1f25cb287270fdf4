package prove

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"

	"golang.org/x/sync/errgroup"
)

// relays are TCP relays between the processes of a cluster that count the transferred bytes by role. A nil *relays
// connects the processes directly.
type relays struct {
	mu        sync.Mutex
	counts    map[string]*atomic.Int64
	addresses map[string]string // address of the relay, by the address to which it connects
}

func newRelays() *relays {
	return &relays{counts: map[string]*atomic.Int64{}, addresses: map[string]string{}}
}

// addressFor returns the address of a relay to address that counts its bytes for role. A nil *relays returns address.
func (r *relays) addressFor(t testing.TB, role, address string) string {
	if r == nil {
		return address
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if relayAddress, ok := r.addresses[address]; ok {
		return relayAddress
	}
	if r.counts[role] == nil {
		r.counts[role] = &atomic.Int64{}
	}
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var group errgroup.Group
	count := r.counts[role]
	group.Go(func() error {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return nil //nolint:nilerr // the listener was closed
			}
			group.Go(func() error { relay(conn, address, count); return nil })
		}
	})
	t.Cleanup(func() { _ = listener.Close() })
	r.addresses[address] = listener.Addr().String()
	return r.addresses[address]
}

// relay copies in both directions until one side closes the connection.
func relay(conn net.Conn, address string, count *atomic.Int64) {
	defer func() { _ = conn.Close() }()
	other, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", address)
	if err != nil {
		return
	}
	defer func() { _ = other.Close() }()
	var group errgroup.Group
	copyTo := func(to, from net.Conn) func() error {
		return func() error {
			_, err := io.Copy(countingWriter{to, count}, from)
			_ = to.Close()
			_ = from.Close()
			return err
		}
	}
	group.Go(copyTo(other, conn))
	group.Go(copyTo(conn, other))
	_ = group.Wait()
}

// countingWriter adds the number of bytes of every write to count.
type countingWriter struct {
	net.Conn
	count *atomic.Int64
}

func (w countingWriter) Write(p []byte) (int, error) {
	w.count.Add(int64(len(p)))
	return w.Conn.Write(p)
}

// bytes returns the number of bytes transferred for role.
func (r *relays) bytes(role string) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.counts[role] == nil {
		return 0
	}
	return r.counts[role].Load()
}
