// Package daemon assembles one instance: the entry for callers, the homes of its databases, the peer server, the
// configuration document and the membership view.
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
	tableName          = "citronusher"
	bucketName         = "citronusher"
	startRetryInterval = 500 * time.Millisecond
	readHeaderTimeout  = 5 * time.Second
	announcementDelay  = 1 * time.Second // for peers to receive the announcement that the daemon is draining
)

// Daemon is one running instance.
type Daemon struct {
	settings            settings.Settings
	logger              *slog.Logger
	clock               citronusher.Clock
	meter               *meter.Meter
	client              *peer.Client
	homes               *home.Set
	spreader            *gossip.Gossiper
	server              *peer.Server
	entry               *entry.Entry
	health              *http.Server
	healthAddress       string
	list                citronusher.InstanceLister
	table               citronusher.Table
	announcementVersion uint64 // starts at the Unix milliseconds, so that it rises over restarts
	ready               atomic.Bool
	refreshRequested    chan struct{} // holds one element while a refresh of the homes is pending
	drainRequested      chan struct{} // closed when an operator requests a drain
	drainOnce           sync.Once
	ctx                 context.Context
	cancel              context.CancelFunc
	group               errgroup.Group

	mu               sync.Mutex
	view             *membership.View
	homesByDatabase  map[string][]citronusher.Instance // the homes of each database, as of the last refresh
	ranks            map[string]int                    // this daemon's index among the homes of each database that it serves
	live             []citronusher.Instance            // the live instances at the last refresh
	refreshedVersion uint64                            // the document's version at the last refresh
}

// Option configures a daemon before it starts.
type Option func(*options)

type options struct {
	unconfirmed bool
}

// WithoutConfirmation acknowledges commits without confirming the primary's term, for tests that show which failures
// confirmation prevents.
func WithoutConfirmation() Option { return func(o *options) { o.unconfirmed = true } }

// New starts a daemon. It becomes ready in the background, once it has a configuration document. Its error reports
// an invalid certificate or a listener that cannot be opened.
func New(s settings.Settings, logger *slog.Logger, opts ...Option) (*Daemon, error) {
	var o options
	for _, option := range opts {
		option(&o)
	}
	ctx, cancel := context.WithCancel(context.Background())
	d := &Daemon{
		settings: s, logger: logger.With("instance", s.Name()), clock: citronusher.SystemClock{}, meter: meter.New(), ctx: ctx,
		cancel: cancel, view: membership.NewView(), homesByDatabase: map[string][]citronusher.Instance{},
		announcementVersion: uint64(time.Now().UnixMilli()), //nolint:gosec // after 1970
		drainRequested:      make(chan struct{}), refreshRequested: make(chan struct{}, 1),
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

// start creates the components in the order of their dependencies.
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
		Client: d.client, Peers: d.peerAddresses, OnDocument: d.applyDocument, OnAnnouncement: d.handleAnnouncement,
		Logger: d.logger, Meter: d.meter,
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
		Router: entryRouter{d},
		Idle:   s.IdleTimeout(), Clock: d.clock, Logger: d.logger, Meter: d.meter,
	})
	return err
}

// clientTLS returns the TLS configuration for calls to peers, nil when the peer server uses plain TCP. Peers share
// the server's certificate authority, which must be one of the system's.
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
		Meter: d.meter, OnPromoted: d.publishPromotion,
		Policy: home.Policy{
			Replicas: s.UseReplicas(), Queue: s.UseQueue(), Homes: s.UseHomes(), Limiter: limiters[s.Limiter()],
			PromotionTimeouts: term.DefaultTimeouts(), NoConfirm: o.unconfirmed,
		},
	}
}

// becomeReady fetches the instances and the configuration document, retrying until the document is available, and then
// watches the instances.
func (d *Daemon) becomeReady() {
	for {
		d.pollList()
		err := d.spreader.Start(d.ctx)
		if err == nil {
			break
		}
		events.Log(d.logger, events.PlatformUnavailable, "error", err)
		select {
		case <-time.After(startRetryInterval):
		case <-d.ctx.Done():
			return
		}
	}
	d.announce(citronusher.InstanceLive)
	d.refreshHomes()
	d.ready.Store(true)
	events.Log(d.logger, events.Ready, "version", d.spreader.Document().Version())
	d.watchInstances()
}

// serveHealth starts the HTTP endpoints /live, /ready and /metrics.
func (d *Daemon) serveHealth() error {
	listener, err := (&net.ListenConfig{}).Listen(d.ctx, "tcp", d.settings.Health())
	if err != nil {
		return fmt.Errorf("listen for health checks: %w", err)
	}
	d.healthAddress = listener.Addr().String()
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
	d.health = &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout}
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

// Ready reports whether the daemon accepts requests.
func (d *Daemon) Ready() bool { return d.ready.Load() }

// Health returns the IP:PORT of the health endpoints.
func (d *Daemon) Health() string { return d.healthAddress }

// DrainRequested returns a channel that is closed when an operator requests a drain.
func (d *Daemon) DrainRequested() <-chan struct{} { return d.drainRequested }

// HandleAnnouncement applies an announcement from a peer and returns the daemon's document version.
func (d *Daemon) HandleAnnouncement(n *peerpb.AnnounceRequest) uint64 {
	return d.spreader.HandleAnnouncement(n)
}

// Document returns the version of the active document and its content in JSON.
func (d *Daemon) Document() (uint64, []byte, error) {
	document := d.spreader.Document()
	body, err := document.Encode()
	return document.Version(), body, err
}

// applyDocument applies a document that became active.
func (d *Daemon) applyDocument(document profile.Document) {
	d.homes.Apply(document)
	d.refreshHomes()
}

// publishPromotion announces a new primary to the database's other homes and records its term in the table.
func (d *Daemon) publishPromotion(database string, newTerm uint64, primary string) {
	n := &peerpb.AnnounceRequest{Kind: gossip.KindTerm, Subject: database, Version: newTerm, Source: d.settings.Peer()}
	var others []string
	for _, instance := range d.homesFor(database) {
		if instance.Name() != d.settings.Name() {
			others = append(others, instance.PeerAddress())
		}
	}
	d.spreader.Send(n, others)
	d.group.Go(func() error { d.publishTerm(database, newTerm, primary); return nil })
}

// termRow is the table's record of a promotion, for operators. The daemons never read it to make a decision.
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

// Drain stops the daemon gracefully: it announces that the daemon is draining, finishes running requests and open
// transactions, and closes idle sessions. It returns when that is done or ctx ends.
func (d *Daemon) Drain(ctx context.Context) {
	events.Log(d.logger, events.Stopping)
	d.ready.Store(false)
	d.announce(citronusher.InstanceLeaving)
	d.refreshHomes()
	var group errgroup.Group
	group.Go(func() error { d.entry.Drain(ctx); return nil })
	group.Go(func() error {
		select {
		case <-time.After(announcementDelay):
		case <-ctx.Done():
		}
		d.server.Drain(ctx)
		return nil
	})
	_ = group.Wait()
}

// Close stops all components and waits for their goroutines. Call Drain first for a planned stop.
func (d *Daemon) Close() error {
	d.cancel()
	err := d.closeParts()
	_ = d.group.Wait()
	events.Log(d.logger, events.Stopped)
	return err
}

// closeParts closes the components that were started, the entry first.
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
