// Package gossip distributes the configuration document between the daemons. It stores edits by conditional writes and
// never replaces the active document by an older version.
//
// A new version is announced to a few random peers, which forward the announcement. In addition, each daemon compares
// versions with one of its neighbours every compareInterval, and reads the document's row of the table every
// pollInterval.
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
	fanout          = 3 // random peers that an announcement is forwarded to
	compareInterval = 2 * time.Second
	neighbours      = 8 // peers that a daemon compares versions with
	pollInterval    = 5 * time.Second
	maxStartPeers   = 8 // peers that Start compares versions with
	busBufferSize   = 256

	topicAnnouncement = "notice"
	topicForward      = "forward"
)

// The kinds of announcements: a document version, an instance's state, and a group's term.
const (
	KindVersion = "version"
	KindState   = "state"
	KindTerm    = "term"
)

// Config holds the settings and dependencies of a Gossiper.
type Config struct {
	// Address is the daemon's own IP:PORT for peers.
	Address string
	// Table and Objects are the platform's table service and object store.
	Table   citronusher.Table
	Objects citronusher.ObjectStore
	// Client calls the peers.
	Client *peer.Client
	// Peers returns the addresses of the other live daemons.
	Peers func() []string
	// OnDocument is called with each new active document.
	OnDocument func(profile.Document)
	// OnAnnouncement handles an announcement of a kind other than KindVersion. It reports whether the announcement was new.
	OnAnnouncement func(*peerpb.AnnounceRequest) bool
	// Logger is where events are logged.
	Logger *slog.Logger
	// Meter holds the metrics.
	Meter *meter.Meter
}

// Gossiper holds the active document of one daemon and keeps it up to date. It is safe for concurrent use.
type Gossiper struct {
	config Config
	store  *store
	bus    *gochannel.GoChannel
	router *message.Router
	ctx    context.Context
	cancel context.CancelFunc
	group  errgroup.Group

	mu          sync.Mutex
	document    profile.Document
	unavailable bool
}

// New returns a gossiper at version 0 that handles announcements. Start fetches the current version.
func New(config Config) (*Gossiper, error) {
	logger := watermill.NewSlogLogger(slog.New(slog.DiscardHandler))
	router, err := message.NewRouter(message.RouterConfig{CloseTimeout: time.Second}, logger)
	if err != nil {
		return nil, fmt.Errorf("event router: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Gossiper{
		config: config, store: &store{table: config.Table, objects: config.Objects}, ctx: ctx, cancel: cancel,
		bus:    gochannel.NewGoChannel(gochannel.Config{OutputChannelBuffer: busBufferSize}, logger),
		router: router, document: profile.New(),
	}
	router.AddHandler("take", topicAnnouncement, s.bus, topicForward, s.bus, s.handleAnnouncement)
	router.AddConsumerHandler("forward", topicForward, s.bus, s.forward)
	s.group.Go(func() error { return router.Run(ctx) })
	<-router.Running()
	return s, nil
}

// Start fetches the newest version that the table or the peers have, and starts the periodic comparisons. It returns an
// error when neither the table nor a peer answered: the daemon must then not serve, and may call Start again.
func (s *Gossiper) Start(ctx context.Context) error {
	tableErr := s.poll(ctx)
	answered := 0
	peers := s.config.Peers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, address := range peers[:min(maxStartPeers, len(peers))] {
		if s.compare(ctx, address) == nil {
			answered++
		}
	}
	if tableErr != nil && answered == 0 {
		return fmt.Errorf("no configuration: no peer answered, and the stored version could not be read: %w", tableErr)
	}
	s.group.Go(func() error { s.every(compareInterval, s.compareRandom); return nil })
	s.group.Go(func() error { s.every(pollInterval, func() { _ = s.poll(s.ctx) }); return nil })
	return nil
}

// every calls work repeatedly until the gossiper closes. The delay is random between a half and one and a half
// intervals, so that the daemons do not act at the same time.
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

// Document returns the active document.
func (s *Gossiper) Document() profile.Document {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.document
}

// apply makes a document the active one if it is newer than the current one, and reports whether it was.
func (s *Gossiper) apply(document profile.Document) bool {
	s.mu.Lock()
	if document.Version() <= s.document.Version() {
		s.mu.Unlock()
		return false
	}
	s.document = document
	s.mu.Unlock()
	s.config.Meter.Version().Update(int64(document.Version())) //nolint:gosec // versions stay far below the maximum of int64
	events.Log(s.config.Logger, events.DocumentApplied, "version", document.Version())
	s.config.OnDocument(s.Document())
	return true
}

// HandleAnnouncement handles an announcement from a peer and returns the version of the active document.
func (s *Gossiper) HandleAnnouncement(n *peerpb.AnnounceRequest) uint64 {
	version := s.Document().Version()
	if n.GetKind() != KindVersion || n.GetVersion() > version {
		s.Publish(n)
	}
	return version
}

// Publish handles an announcement at this daemon, and forwards it to peers if it is new and not of KindTerm.
func (s *Gossiper) Publish(n *peerpb.AnnounceRequest) {
	payload, err := json.Marshal(n)
	if err != nil {
		return
	}
	_ = s.bus.Publish(topicAnnouncement, message.NewMessage(watermill.NewShortUUID(), payload))
}

// Send sends an announcement to the peers at addresses, in the background. Errors are ignored.
func (s *Gossiper) Send(n *peerpb.AnnounceRequest, addresses []string) {
	for _, address := range addresses {
		s.config.Meter.Notices().Inc(1)
		s.group.Go(func() error {
			_, _ = s.config.Client.Peer(address).Announce(s.ctx, n)
			return nil
		})
	}
}

// handleAnnouncement handles an announcement and returns the message to forward if it is new. Announcements of KindTerm
// are not forwarded.
func (s *Gossiper) handleAnnouncement(m *message.Message) ([]*message.Message, error) {
	var n peerpb.AnnounceRequest
	if err := json.Unmarshal(m.Payload, &n); err != nil {
		return nil, nil //nolint:nilerr // a malformed announcement is ignored
	}
	isNew := false
	if n.GetKind() == KindVersion {
		isNew = s.handleVersion(m.Context(), &n)
	} else {
		isNew = s.config.OnAnnouncement(&n)
	}
	if !isNew || n.GetKind() == KindTerm {
		return nil, nil
	}
	n.Source = s.config.Address
	payload, err := json.Marshal(&n)
	if err != nil {
		return nil, nil //nolint:nilerr // encoding an announcement does not fail
	}
	return message.Messages{message.NewMessage(watermill.NewShortUUID(), payload)}, nil
}

// handleVersion fetches a newer version from the peer that announced it. It reports whether the announcement is to be
// forwarded.
func (s *Gossiper) handleVersion(ctx context.Context, n *peerpb.AnnounceRequest) bool {
	if n.GetVersion() == s.Document().Version() && n.GetSource() == s.config.Address {
		return true // this daemon's own edit
	}
	if n.GetVersion() <= s.Document().Version() {
		return false
	}
	return s.fetch(ctx, n.GetSource()) == nil
}

// fetch reads the active document of the peer at address and applies it.
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

// forward sends an announcement to fanout random peers.
func (s *Gossiper) forward(m *message.Message) error {
	var n peerpb.AnnounceRequest
	if err := json.Unmarshal(m.Payload, &n); err != nil {
		return nil //nolint:nilerr // a malformed announcement is ignored
	}
	peers := s.config.Peers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	s.Send(&n, peers[:min(fanout, len(peers))])
	return nil
}

// compareRandom compares versions with one of the neighbours.
func (s *Gossiper) compareRandom() {
	peers := neighboursOf(s.config.Address, s.config.Peers())
	if len(peers) > 0 {
		_ = s.compare(s.ctx, peers[rand.IntN(len(peers))])
	}
}

// neighboursOf returns the peers that the daemon at address compares versions with. They are few and do not change
// while the instances stay the same, so that connections to them are kept open. The neighbours differ between daemons,
// so that a version reaches all of them.
func neighboursOf(address string, peers []string) []string {
	slices.SortFunc(peers, func(a, b string) int {
		return cmp.Compare(xxhash.Sum64String(address+" "+a), xxhash.Sum64String(address+" "+b))
	})
	return peers[:min(neighbours, len(peers))]
}

// compare announces the active version to the peer at address, and fetches the peer's document if it is newer.
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

// poll reads the document's row of the table and, if its version is newer, the object with the document.
func (s *Gossiper) poll(ctx context.Context) error {
	s.config.Meter.Polls().Inc(1)
	document, err := s.store.readNewer(ctx, s.Document().Version())
	s.setUnavailable(errors.Is(err, citronusher.ErrUnavailable))
	switch {
	case errors.Is(err, citronusher.ErrInvalid):
		events.Log(s.config.Logger, events.DocumentRejected, "error", err)
	case err == nil && s.apply(document):
		s.announceVersion()
	}
	return err
}

// setUnavailable records whether the platform is unavailable, and logs each change.
func (s *Gossiper) setUnavailable(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable == down {
		return
	}
	s.unavailable = down
	event := events.PlatformRecovered
	if down {
		event = events.PlatformUnavailable
	}
	events.Log(s.config.Logger, event)
}

// announceVersion publishes the version of the active document as an announcement of this daemon.
func (s *Gossiper) announceVersion() {
	s.Publish(&peerpb.AnnounceRequest{
		Kind: KindVersion, Version: s.Document().Version(), Source: s.config.Address, Origin: s.config.Address,
	})
}

// Edit replaces one profile or target if the stored document is at version expect. It returns the new document, or the
// current one with ErrConflict. ErrUnavailable means that it is not known whether the edit was stored: it then takes
// effect at all daemons or at none, and the show command returns which.
func (s *Gossiper) Edit(ctx context.Context, part, name string, expect uint64, body []byte) (profile.Document, error) {
	current, err := s.store.readNewer(ctx, s.Document().Version())
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
		s.announceVersion()
	}
	return next, nil
}

// Close stops the gossiper and waits for the work in progress.
func (s *Gossiper) Close() error {
	s.cancel()
	err := s.router.Close()
	_ = s.bus.Close()
	_ = s.group.Wait()
	return err
}
