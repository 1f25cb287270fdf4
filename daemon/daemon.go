// Package daemon puts the parts of one instance together: the entry for callers, the homes of its databases, the peer
// server, the configuration and the view of the instances.
package daemon

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/aws/aws-sdk-go-v2/credentials"
	"golang.org/x/sync/errgroup"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/admission"
	"citronusher.example/citronusher/entry"
	"citronusher.example/citronusher/events"
	"citronusher.example/citronusher/gossip"
	"citronusher.example/citronusher/home"
	"citronusher.example/citronusher/membership"
	"citronusher.example/citronusher/meter"
	"citronusher.example/citronusher/peer"
	"citronusher.example/citronusher/peer/peerpb"
	"citronusher.example/citronusher/pg"
	"citronusher.example/citronusher/platform/list"
	"citronusher.example/citronusher/platform/object"
	"citronusher.example/citronusher/platform/table"
	"citronusher.example/citronusher/profile"
	"citronusher.example/citronusher/settings"
	"citronusher.example/citronusher/term"
)

const (
	tableName   = "citronusher"
	bucketName  = "citronusher"
	startRetry  = 500 * time.Millisecond
	headerLimit = 5 * time.Second
	settleTime  = 1 * time.Second // for peers to learn that the daemon leaves
)

// Daemon is one running instance.
type Daemon struct {
	settings settings.Settings
	logger   *slog.Logger
	clock    citronusher.Clock
	meter    *meter.Meter
	client   *peer.Client
	homes    *home.Set
	spreader *gossip.Gossiper
	server   *peer.Server
	entry    *entry.Entry
	health   *http.Server
	healthAt string
	list     citronusher.InstanceLister
	table    citronusher.Table
	epoch    uint64
	ready    atomic.Bool
	changed  chan struct{} // holds a token while a look at the instances is due
	asked    chan struct{} // closed when an operator asks for a drain
	askOnce  sync.Once
	ctx      context.Context
	cancel   context.CancelFunc
	group    errgroup.Group

	mu     sync.Mutex
	view   *membership.View
	homed  map[string][]citronusher.Instance // the homes of each database, as of the last look
	ranks  map[string]int                    // this daemon's place among the homes of each database that it is one of
	live   []citronusher.Instance            // the live instances at the last look
	looked uint64                            // the document's version at the last look
}

// Option changes a daemon before it starts.
type Option func(*options)

type options struct {
	unconfirmed bool
}

// WithoutConfirmation acknowledges commits unconfirmed, for proofs that show what confirmation prevents.
func WithoutConfirmation() Option { return func(o *options) { o.unconfirmed = true } }

// New starts a daemon. It becomes ready in the background, once it has a configuration.
func New(s settings.Settings, logger *slog.Logger, opts ...Option) (*Daemon, error) {
	var o options
	for _, option := range opts {
		option(&o)
	}
	ctx, cancel := context.WithCancel(context.Background())
	d := &Daemon{
		settings: s, logger: logger.With("instance", s.Name()), clock: citronusher.SystemClock{}, meter: meter.New(), ctx: ctx,
		cancel: cancel, view: membership.NewView(), homed: map[string][]citronusher.Instance{},
		epoch: uint64(time.Now().UnixMilli()), //nolint:gosec // after 1970
		asked: make(chan struct{}), changed: make(chan struct{}, 1),
		list: list.New(s.List()),
	}
	if err := d.start(o); err != nil {
		cancel()
		_ = d.closeParts()
		return nil, err
	}
	events.Log(d.logger, events.Started, "entry", d.entry.Address(), "peer", d.server.Address())
	d.group.Go(func() error { d.becomeReady(); return nil })
	return d, nil
}

// start makes the parts in the order of their dependencies.
func (d *Daemon) start(o options) error {
	s := d.settings
	access, secret := s.PlatformCredentials()
	provider := credentials.NewStaticCredentialsProvider(access, secret, "")
	d.table = table.New(s.Table(), s.Region(), tableName, provider)
	peerTLS, err := s.PeerTLS()
	if err != nil {
		return err
	}
	d.client = peer.NewClient(s.PeerKey(), clientTLS(peerTLS), d.clock)
	d.homes = home.New(d.homeConfig(o))
	d.spreader, err = gossip.New(gossip.Config{
		Address: s.Peer(), Table: d.table, Objects: object.New(s.Objects(), s.Region(), bucketName, provider),
		Client: d.client, Peers: d.peers, Apply: d.applied, Take: d.take, Logger: d.logger, Meter: d.meter,
	})
	if err != nil {
		return err
	}
	if err := d.serveHealth(); err != nil {
		return err
	}
	d.server, err = peer.NewServer(peer.Config{
		Address: s.Peer(), TLS: peerTLS, PeerKey: s.PeerKey(), OperatorKey: s.OperatorKey(), Home: d.homes, Handler: d,
		Operator: operatorService{d}, Clock: d.clock,
	})
	if err != nil {
		return err
	}
	entryTLS, err := s.EntryTLS()
	if err != nil {
		return err
	}
	d.entry, err = entry.New(entry.Config{
		Self: s.Name(), Address: s.Entry(), TLS: entryTLS, Password: s.Password, Document: d.spreader.Document,
		Router: cancelRouter{d},
		Idle:   s.IdleTimeout(), Clock: d.clock, Logger: d.logger, Meter: d.meter,
	})
	return err
}

// clientTLS returns the settings for calls to peers, which share the server's certificate authority.
func clientTLS(server *tls.Config) *tls.Config {
	if server == nil {
		return nil
	}
	return &tls.Config{MinVersion: tls.VersionTLS12}
}

func (d *Daemon) homeConfig(o options) home.Config {
	s := d.settings
	user, password := s.TargetCredentials()
	var targetTLS *tls.Config
	if s.TargetTLS() {
		targetTLS = &tls.Config{MinVersion: tls.VersionTLS12}
	}
	limiters := map[string]func(start, low, high int) admission.Limiter{
		"fixed":    func(_, _, high int) admission.Limiter { return admission.Fixed(high) },
		"aimd":     func(start, low, high int) admission.Limiter { return admission.NewAIMD(start, low, high) },
		"gradient": func(start, low, high int) admission.Limiter { return admission.NewGradient(start, low, high) },
	}
	return home.Config{
		Self: s.Name(), Login: pg.NewLogin(user, password, s.Name(), targetTLS), Clock: d.clock, Logger: d.logger,
		Meter: d.meter, Promoted: d.promoted,
		Policy: home.Policy{
			Replicas: s.UseReplicas(), Queue: s.UseQueue(), Homes: s.UseHomes(), Limiter: limiters[s.Limiter()],
			Limits: term.DefaultTimeouts(), NoConfirm: o.unconfirmed,
		},
	}
}

// becomeReady learns the instances and the configuration, and repeats that until both are known.
func (d *Daemon) becomeReady() {
	for {
		d.pollList()
		err := d.spreader.Start(d.ctx)
		if err == nil {
			break
		}
		events.Log(d.logger, events.PlatformUnavailable, "error", err)
		select {
		case <-time.After(startRetry):
		case <-d.ctx.Done():
			return
		}
	}
	d.announce(citronusher.InstanceLive)
	d.look()
	d.ready.Store(true)
	events.Log(d.logger, events.Ready, "version", d.spreader.Document().Version())
	d.watchInstances()
}

// serveHealth starts the HTTP endpoints live, ready and metrics.
func (d *Daemon) serveHealth() error {
	listener, err := (&net.ListenConfig{}).Listen(d.ctx, "tcp", d.settings.Health())
	if err != nil {
		return fmt.Errorf("listen for health checks: %w", err)
	}
	d.healthAt = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("/live", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "live") })
	mux.HandleFunc("/ready", func(w http.ResponseWriter, _ *http.Request) {
		if !d.ready.Load() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		fmt.Fprintln(w, "ready")
	})
	mux.Handle("/metrics", d.meter)
	d.health = &http.Server{Handler: mux, ReadHeaderTimeout: headerLimit}
	d.group.Go(func() error {
		if err := d.health.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	return nil
}

// Entry returns the IP:PORT for callers.
func (d *Daemon) Entry() string { return d.entry.Address() }

// Ready reports whether the daemon serves.
func (d *Daemon) Ready() bool { return d.ready.Load() }

// Health returns the IP:PORT of the health endpoints.
func (d *Daemon) Health() string { return d.healthAt }

// DrainRequested is closed when an operator asks the daemon to drain.
func (d *Daemon) DrainRequested() <-chan struct{} { return d.asked }

// HandleAnnouncement takes a notice from a peer.
func (d *Daemon) HandleAnnouncement(n *peerpb.AnnounceRequest) uint64 { return d.spreader.Announced(n) }

// Document returns the document in force.
func (d *Daemon) Document() (uint64, []byte, error) {
	document := d.spreader.Document()
	body, err := document.Encode()
	return document.Version(), body, err
}

// applied follows a document that came in force.
func (d *Daemon) applied(document profile.Document) {
	d.homes.Apply(document)
	d.look()
}

// promoted tells the table and the database's other homes of a new primary.
func (d *Daemon) promoted(database string, newTerm uint64, primary string) {
	n := &peerpb.AnnounceRequest{Kind: gossip.KindTerm, Subject: database, Version: newTerm, Source: d.settings.Peer()}
	var others []string
	for _, instance := range d.homesOf(database) {
		if instance.Name() != d.settings.Name() {
			others = append(others, instance.PeerAddress())
		}
	}
	d.spreader.Tell(n, others)
	d.group.Go(func() error { d.publishTerm(database, newTerm, primary); return nil })
}

// termRow is the table's record of a promotion, for operators. Nothing is decided by it.
type termRow struct {
	Term    uint64 `json:"term"`
	Primary string `json:"primary"`
	By      string `json:"by"`
}

func (d *Daemon) publishTerm(database string, newTerm uint64, primary string) {
	key := "term/" + database
	version := uint64(0)
	if row, err := d.table.Read(d.ctx, key); err == nil {
		version = row.Version()
	}
	value, err := json.Marshal(termRow{Term: newTerm, Primary: primary, By: d.settings.Name()})
	if err != nil {
		return
	}
	if err := d.table.Write(d.ctx, citronusher.NewRow(key, version+1, string(value))); err == nil {
		events.Log(d.logger, events.TermPublished, "database", database, "term", newTerm)
	}
}

// Drain stops the daemon gracefully: it announces that it leaves, finishes running requests and open transactions, and
// ends idle sessions, until ctx ends.
func (d *Daemon) Drain(ctx context.Context) {
	events.Log(d.logger, events.Stopping)
	d.ready.Store(false)
	d.announce(citronusher.InstanceLeaving)
	d.look()
	var group errgroup.Group
	group.Go(func() error { d.entry.Drain(ctx); return nil })
	group.Go(func() error {
		select {
		case <-time.After(settleTime):
		case <-ctx.Done():
		}
		d.server.Drain(ctx)
		return nil
	})
	_ = group.Wait()
}

// Close stops everything and waits. Call Drain before it for a planned stop.
func (d *Daemon) Close() error {
	d.cancel()
	err := d.closeParts()
	_ = d.group.Wait()
	events.Log(d.logger, events.Stopped)
	return err
}

// closeParts closes the parts that were started, the entry first.
func (d *Daemon) closeParts() error {
	var errs []error
	if d.entry != nil {
		errs = append(errs, d.entry.Close())
	}
	if d.server != nil {
		errs = append(errs, d.server.Close())
	}
	if d.spreader != nil {
		errs = append(errs, d.spreader.Close())
	}
	if d.homes != nil {
		errs = append(errs, d.homes.Close())
	}
	if d.client != nil {
		errs = append(errs, d.client.Close())
	}
	if d.health != nil {
		errs = append(errs, d.health.Close())
	}
	return errors.Join(errs...)
}
