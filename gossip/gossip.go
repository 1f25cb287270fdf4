// Package gossip keeps the configuration document: it accepts edits by conditional writes, spreads versions between the
// daemons, and never lowers a version.
//
// A version is announced to a few random peers, which pass it on; in addition each daemon compares versions with one of
// its neighbours at a short interval and reads one small row of the table at a longer one.
package gossip

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/ThreeDotsLabs/watermill"
	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/ThreeDotsLabs/watermill/pubsub/gochannel"
	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/events"
	"citronusher.example/citronusher/meter"
	"citronusher.example/citronusher/peer"
	"citronusher.example/citronusher/peer/peerpb"
	"citronusher.example/citronusher/profile"
)

const (
	fanout          = 3
	compareInterval = 2 * time.Second
	neighbours      = 8 // peers that a daemon compares versions with
	pollInterval    = 5 * time.Second
	startPeers      = 8 // peers that a starting daemon asks
	bufferSize      = 256

	topicNotice  = "notice"
	topicForward = "forward"
)

// The kinds of notices.
const (
	KindVersion = "version"
	KindState   = "state"
	KindTerm    = "term"
)

// Config holds what a spreader needs from its daemon.
type Config struct {
	// Address is the daemon's own IP:PORT for peers.
	Address string
	// Table and Objects are the platform's services.
	Table   citronusher.Table
	Objects citronusher.ObjectStore
	// Client reaches peers.
	Client *peer.Client
	// Peers returns the addresses of the other live daemons.
	Peers func() []string
	// Apply puts a document in force.
	Apply func(profile.Document)
	// Take handles a notice that is not about the document; it reports whether the notice was news.
	Take func(*peerpb.AnnounceRequest) bool
	// Logger receives the events.
	Logger *slog.Logger
	// Meter counts.
	Meter *meter.Meter
}

// Gossiper keeps one daemon's document.
type Gossiper struct {
	config Config
	store  *store
	bus    *gochannel.GoChannel
	router *message.Router
	ctx    context.Context
	cancel context.CancelFunc
	group  errgroup.Group

	mu       sync.Mutex
	document profile.Document
	down     bool
}

// New returns a spreader at version 0 that handles notices. Start learns the version in force.
func New(config Config) (*Gossiper, error) {
	logger := watermill.NewSlogLogger(slog.New(slog.DiscardHandler))
	router, err := message.NewRouter(message.RouterConfig{CloseTimeout: time.Second}, logger)
	if err != nil {
		return nil, fmt.Errorf("event router: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Gossiper{
		config: config, store: &store{table: config.Table, objects: config.Objects}, ctx: ctx, cancel: cancel,
		bus:    gochannel.NewGoChannel(gochannel.Config{OutputChannelBuffer: bufferSize}, logger),
		router: router, document: profile.New(),
	}
	router.AddHandler("take", topicNotice, s.bus, topicForward, s.bus, s.handleNotice)
	router.AddConsumerHandler("forward", topicForward, s.bus, s.forward)
	s.group.Go(func() error { return router.Run(ctx) })
	<-router.Running()
	return s, nil
}

// Start learns the newest version that the table or the peers know, and begins to spread. It returns an error when
// neither answered: the daemon must then not serve, and may call Start again.
func (s *Gossiper) Start(ctx context.Context) error {
	tableErr := s.poll(ctx)
	answered := 0
	peers := s.config.Peers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, address := range peers[:min(startPeers, len(peers))] {
		if s.compare(ctx, address) == nil {
			answered++
		}
	}
	if tableErr != nil && answered == 0 {
		return fmt.Errorf("no configuration: no peer answered, and: %w", tableErr)
	}
	s.group.Go(func() error { s.every(compareInterval, s.compareRandom); return nil })
	s.group.Go(func() error { s.every(pollInterval, func() { _ = s.poll(s.ctx) }); return nil })
	return nil
}

// every calls work at the interval, with jitter, until the spreader closes.
func (s *Gossiper) every(interval time.Duration, work func()) {
	for {
		select {
		case <-time.After(interval/2 + rand.N(interval)):
			work()
		case <-s.ctx.Done():
			return
		}
	}
}

// Document returns the version in force.
func (s *Gossiper) Document() profile.Document {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.document
}

// apply puts a document in force if it is newer than the current one.
func (s *Gossiper) apply(document profile.Document) bool {
	s.mu.Lock()
	if document.Version() <= s.document.Version() {
		s.mu.Unlock()
		return false
	}
	s.document = document
	s.mu.Unlock()
	s.config.Meter.Version().Update(int64(document.Version())) //nolint:gosec // versions stay far below the limit
	events.Log(s.config.Logger, events.DocumentApplied, "version", document.Version())
	s.config.Apply(s.Document())
	return true
}

// Announced takes a notice from a peer and returns the daemon's version.
func (s *Gossiper) Announced(n *peerpb.AnnounceRequest) uint64 {
	version := s.Document().Version()
	if n.GetKind() != KindVersion || n.GetVersion() > version {
		s.Publish(n)
	}
	return version
}

// Publish handles a notice here and passes it on when it is news.
func (s *Gossiper) Publish(n *peerpb.AnnounceRequest) {
	payload, err := json.Marshal(n)
	if err != nil {
		return
	}
	_ = s.bus.Publish(topicNotice, message.NewMessage(watermill.NewShortUUID(), payload))
}

// Tell sends a notice straight to some peers.
func (s *Gossiper) Tell(n *peerpb.AnnounceRequest, addresses []string) {
	for _, address := range addresses {
		s.config.Meter.Notices().Inc(1)
		s.group.Go(func() error {
			_, _ = s.config.Client.Peer(address).Announce(s.ctx, n)
			return nil
		})
	}
}

// handleNotice decides whether a notice is news; news are passed on.
func (s *Gossiper) handleNotice(m *message.Message) ([]*message.Message, error) {
	var n peerpb.AnnounceRequest
	if err := json.Unmarshal(m.Payload, &n); err != nil {
		return nil, nil //nolint:nilerr // a malformed notice is dropped
	}
	news := false
	if n.GetKind() == KindVersion {
		news = s.takeVersion(m.Context(), &n)
	} else {
		news = s.config.Take(&n)
	}
	if !news || n.GetKind() == KindTerm {
		return nil, nil
	}
	n.Source = s.config.Address
	payload, err := json.Marshal(&n)
	if err != nil {
		return nil, nil //nolint:nilerr // a notice always encodes
	}
	return message.Messages{message.NewMessage(watermill.NewShortUUID(), payload)}, nil
}

// takeVersion fetches a newer version from the peer that announced it.
func (s *Gossiper) takeVersion(ctx context.Context, n *peerpb.AnnounceRequest) bool {
	if n.GetVersion() == s.Document().Version() && n.GetSource() == s.config.Address {
		return true // this daemon's own edit
	}
	if n.GetVersion() <= s.Document().Version() {
		return false
	}
	return s.fetch(ctx, n.GetSource()) == nil
}

// fetch takes the document of a peer over.
func (s *Gossiper) fetch(ctx context.Context, address string) error {
	s.config.Meter.Fetches().Inc(1)
	body, err := s.config.Client.Peer(address).Fetch(ctx)
	if err != nil {
		return err
	}
	document, err := profile.Parse(body)
	if err != nil {
		events.Log(s.config.Logger, events.DocumentRejected, "peer", address, "error", err)
		return err
	}
	s.apply(document)
	return nil
}

// forward passes a notice on to a few random peers.
func (s *Gossiper) forward(m *message.Message) error {
	var n peerpb.AnnounceRequest
	if err := json.Unmarshal(m.Payload, &n); err != nil {
		return nil //nolint:nilerr // a malformed notice is dropped
	}
	peers := s.config.Peers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	s.Tell(&n, peers[:min(fanout, len(peers))])
	return nil
}

// compareRandom compares versions with one of the neighbours.
func (s *Gossiper) compareRandom() {
	peers := neighboursOf(s.config.Address, s.config.Peers())
	if len(peers) > 0 {
		_ = s.compare(s.ctx, peers[rand.IntN(len(peers))])
	}
}

// neighboursOf picks the peers that the daemon at address compares versions with. They are few and stay the same
// while the instances do, so that the connections to them are kept; every daemon has others, so that versions reach
// all.
func neighboursOf(address string, peers []string) []string {
	slices.SortFunc(peers, func(a, b string) int {
		return cmp.Compare(xxhash.Sum64String(address+" "+a), xxhash.Sum64String(address+" "+b))
	})
	return peers[:min(neighbours, len(peers))]
}

// compare tells a peer the version in force and fetches the peer's when that is newer.
func (s *Gossiper) compare(ctx context.Context, address string) error {
	version := s.Document().Version()
	n := &peerpb.AnnounceRequest{Kind: KindVersion, Version: version, Source: s.config.Address}
	s.config.Meter.Notices().Inc(1)
	theirs, err := s.config.Client.Peer(address).Announce(ctx, n)
	if err != nil {
		return err
	}
	if theirs > version {
		return s.fetch(ctx, address)
	}
	return nil
}

// poll reads the table's row and fetches the object of a newer version.
func (s *Gossiper) poll(ctx context.Context) error {
	s.config.Meter.Polls().Inc(1)
	document, err := s.store.newer(ctx, s.Document().Version())
	s.noteDown(errors.Is(err, citronusher.ErrUnavailable))
	switch {
	case errors.Is(err, citronusher.ErrInvalid):
		events.Log(s.config.Logger, events.DocumentRejected, "error", err)
	case err == nil && s.apply(document):
		s.announceOwn()
	}
	return err
}

// noteDown logs when the platform stops or begins to answer.
func (s *Gossiper) noteDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down == down {
		return
	}
	s.down = down
	event := events.PlatformRecovered
	if down {
		event = events.PlatformUnavailable
	}
	events.Log(s.config.Logger, event)
}

func (s *Gossiper) announceOwn() {
	s.Publish(&peerpb.AnnounceRequest{
		Kind: KindVersion, Version: s.Document().Version(), Source: s.config.Address, Origin: s.config.Address,
	})
}

// Edit replaces one profile or target if the stored document is at version expect. It returns the accepted document, or
// the current one with ErrConflict. With ErrUnavailable the platform did not say whether the edit was stored; the edit
// then takes effect everywhere or nowhere, and Show tells which.
func (s *Gossiper) Edit(ctx context.Context, part, name string, expect uint64, body []byte) (profile.Document, error) {
	current, err := s.store.newer(ctx, s.Document().Version())
	if err != nil {
		return s.Document(), err
	}
	s.apply(current)
	current = s.Document()
	next, err := current.Edit(part, name, expect, body)
	if err != nil {
		return current, err
	}
	if err := s.store.write(ctx, next); err != nil {
		if errors.Is(err, citronusher.ErrConflict) {
			_ = s.poll(ctx)
		}
		return s.Document(), err
	}
	if s.apply(next) {
		s.announceOwn()
	}
	return next, nil
}

// Close stops spreading and waits.
func (s *Gossiper) Close() error {
	s.cancel()
	err := s.router.Close()
	_ = s.bus.Close()
	_ = s.group.Wait()
	return err
}
