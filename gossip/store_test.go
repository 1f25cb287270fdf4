package gossip

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"

	"github.com/ThreeDotsLabs/watermill"
	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/ThreeDotsLabs/watermill/pubsub/gochannel"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/profile"
)

// fault is the fault that the fake platform injects into an operation.
type fault int

const (
	fine fault = iota
	down
	answerLost
	otherFirst // another operator's write is stored first, and the answer to this one is lost
)

// fakePlatform is a table and an object store in memory. It injects the faults listed for its next writes and reads.
type fakePlatform struct {
	mu      sync.Mutex
	rows    map[string]citronusher.Row
	objects map[string][]byte
	writes  []fault
	reads   []fault
}

func newFakePlatform() *fakePlatform {
	return &fakePlatform{rows: map[string]citronusher.Row{}, objects: map[string][]byte{}}
}

func next(faults *[]fault) fault {
	if len(*faults) == 0 {
		return fine
	}
	f := (*faults)[0]
	*faults = (*faults)[1:]
	return f
}

func (p *fakePlatform) Read(_ context.Context, key string) (citronusher.Row, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if next(&p.reads) != fine {
		return citronusher.Row{}, citronusher.ErrUnavailable
	}
	row, ok := p.rows[key]
	if !ok {
		return row, citronusher.ErrNotFound
	}
	return row, nil
}

func (p *fakePlatform) Write(_ context.Context, row citronusher.Row) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	f := next(&p.writes)
	if f == down {
		return citronusher.ErrUnavailable
	}
	if f == otherFirst {
		p.rows[row.Key()] = citronusher.NewRow(row.Key(), row.Version(), "other")
		return citronusher.ErrUnavailable
	}
	if p.rows[row.Key()].Version() != row.Version()-1 {
		return citronusher.ErrConflict
	}
	p.rows[row.Key()] = row
	if f == answerLost {
		return citronusher.ErrUnavailable
	}
	return nil
}

func (p *fakePlatform) Get(_ context.Context, key string) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	body, ok := p.objects[key]
	if !ok {
		return nil, citronusher.ErrNotFound
	}
	return body, nil
}

func (p *fakePlatform) Put(_ context.Context, key string, body []byte) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.objects[key] = body
	return nil
}

// TestWriteReportsStoredOutcome guards against an edit that is reported as stored but is not, or the reverse, when the
// platform's answer to the write is lost. It compares the reported result with the stored row.
func TestWriteReportsStoredOutcome(t *testing.T) {
	for name, c := range map[string]struct {
		writes, reads []fault
		want          error
	}{
		"fine":                              {nil, nil, nil},
		"answer lost after it took effect":  {[]fault{answerLost}, nil, nil},
		"write did not arrive":              {[]fault{down}, nil, nil},
		"answer lost, table down for a bit": {[]fault{answerLost}, []fault{down, down}, nil},
		"another operator wrote first":      {[]fault{otherFirst}, nil, citronusher.ErrConflict},
		"conflict":                          {[]fault{otherFirst, fine}, []fault{down}, citronusher.ErrConflict},
	} {
		t.Run(name, func(t *testing.T) {
			p := newFakePlatform()
			p.writes, p.reads = c.writes, c.reads
			s := &store{table: p, objects: p}
			document, err := profile.New().Edit(profile.PartProfile, "shop", 0, []byte(`{}`))
			if err != nil {
				t.Fatal(err)
			}
			err = s.write(context.Background(), document)
			if !errors.Is(err, c.want) {
				t.Fatalf("write returned the wrong error: %v", err)
			}
			stored, err := s.readNewer(context.Background(), 0)
			if c.want == nil && (err != nil || stored.Version() != 1) {
				t.Errorf("write succeeded, but the table holds version %d, error %v", stored.Version(), err)
			}
			if row := p.rows[rowKey]; c.want != nil && row.Value() != "other" {
				t.Errorf("write returned %v, but the row holds %s", c.want, row.Value())
			}
		})
	}
}

// BenchmarkBusHop sends a message through the event router; BenchmarkDirectCall calls the same handler directly. Because
// of the difference, statements are executed by direct calls.
func BenchmarkBusHop(b *testing.B) {
	bus := gochannel.NewGoChannel(gochannel.Config{OutputChannelBuffer: busBufferSize}, watermill.NopLogger{})
	router, err := message.NewRouter(message.RouterConfig{}, watermill.NopLogger{})
	if err != nil {
		b.Fatal(err)
	}
	handled := make(chan struct{})
	router.AddConsumerHandler("bench", "topic", bus, func(*message.Message) error {
		handled <- struct{}{}
		return nil
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s := &Gossiper{}
	s.group.Go(func() error { return router.Run(ctx) })
	<-router.Running()
	for b.Loop() {
		if err := bus.Publish("topic", message.NewMessage(watermill.NewShortUUID(), []byte("x"))); err != nil {
			b.Fatal(err)
		}
		<-handled
	}
}

func BenchmarkDirectCall(b *testing.B) {
	handled := 0
	handle := func(payload []byte) { handled += len(payload) }
	for b.Loop() {
		handle([]byte("x"))
	}
}

// TestNeighboursReachEveryone guards against daemons that no comparison with neighbours reaches, so that they keep an old
// version. It follows the neighbours of 830 daemons from one of them: all must be reached in at most 6 steps.
func TestNeighboursReachEveryone(t *testing.T) {
	const count, maxSteps = 830, 6
	all := make([]string, count)
	for i := range all {
		all[i] = fmt.Sprintf("10.0.%d.%d:7071", i/200, i%200)
	}
	reached := map[string]bool{all[0]: true}
	edge := []string{all[0]}
	steps := 0
	for ; len(edge) > 0; steps++ {
		var following []string
		for _, address := range edge {
			for _, n := range neighboursOf(address, slices.Clone(all)) {
				if !reached[n] {
					reached[n] = true
					following = append(following, n)
				}
			}
		}
		edge = following
	}
	if len(reached) != count || steps > maxSteps {
		t.Errorf("reached %d of %d daemons in %d steps", len(reached), count, steps)
	}
}
