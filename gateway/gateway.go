// Package gateway assembles a daemon for the users' platform: the line protocol for callers and members, the store, the
// promotion request, and the readiness and metrics endpoints.
package gateway

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/events"
	"citronusher.example/citronusher/execute"
	"citronusher.example/citronusher/meter"
	"citronusher.example/citronusher/peer"
	"citronusher.example/citronusher/platform/line"
	"citronusher.example/citronusher/platform/store"
	"citronusher.example/citronusher/proxy"
	"citronusher.example/citronusher/relay"
	"citronusher.example/citronusher/settings"
	"citronusher.example/citronusher/storesync"
	"citronusher.example/citronusher/targets"
)

const (
	readHeaderTimeout  = 5 * time.Second
	readyPollInterval  = 20 * time.Millisecond
	primaryWaitTimeout = 4 * time.Second // for the groups' primaries; the daemon then gets ready without them
)

// Gateway is a running daemon.
type Gateway struct {
	settings        settings.Settings
	logger          *slog.Logger
	meter           *meter.Meter
	client          *store.Client
	store           *store.Store
	syncer          *storesync.Syncer
	targets         *targets.Set
	proxy           *proxy.Proxy
	peerServer      *peer.GroupServer
	peerClient      *peer.GroupClient
	relay           *relay.Relay
	taskServer      *relay.Server
	health          *http.Server
	healthAddress   string
	self            citronusher.Instance // as registered in the store
	droppedLogLines func() int64         // dropped log lines so far; nil when they are not counted
	ready           atomic.Bool
	draining        atomic.Bool
	ctx             context.Context
	cancel          context.CancelFunc
	tasks           errgroup.Group

	mu sync.Mutex
}

// Option configures a daemon before it starts.
type Option func(*Gateway)

// WithDroppedLogs adds the number of dropped log lines, as returned by count, to the metrics.
func WithDroppedLogs(count func() int64) Option {
	return func(g *Gateway) { g.droppedLogLines = count }
}

// New starts a daemon. It gets ready in the background, once the plan and the members are loaded.
func New(s settings.Settings, logger *slog.Logger, opts ...Option) (*Gateway, error) {
	ctx, cancel := context.WithCancel(context.Background())
	clock := citronusher.SystemClock{}
	g := &Gateway{settings: s, logger: logger.With("instance", s.Name()), meter: meter.New(), ctx: ctx, cancel: cancel}
	for _, option := range opts {
		option(g)
	}
	g.peerClient = peer.NewGroupClient(clock)
	g.client = store.New(s.Store())
	g.store = store.NewStore(g.client, g.logger)
	g.targets = targets.New(targets.Config{
		Self: s.Name(), Domain: s.Domain(), Dialer: line.NewDialer(clock), Store: g.store,
		Peers: g.peerClient, Promoter: store.NewPromoter(s.Promotion(), s.Name(), clock), RefreshMembers: g.refresh,
		Clock: clock, Logger: g.logger, Meter: g.meter,
	})
	if err := g.start(clock); err != nil {
		return nil, errors.Join(err, g.Close())
	}
	events.Log(g.logger, events.Started, "entry", g.proxy.Address(), "health", s.Health())
	g.tasks.Go(func() error { g.waitUntilReady(); return nil })
	return g, nil
}

func (g *Gateway) start(clock citronusher.SystemClock) error {
	s := g.settings
	if err := g.serveHealth(); err != nil {
		return err
	}
	var err error
	local := execute.Config{Targets: g.targets, Clock: clock, Logger: g.logger, Meter: g.meter}
	open := func() citronusher.Executor { return execute.New(local) }
	g.taskServer = relay.NewServer(relay.ServerConfig{
		NewLocalExecutor: open, Plan: g.plan, Logger: g.logger,
	})
	g.peerServer, err = peer.NewGroupServer(s.Peer(), g, g.taskServer, clock, g.logger)
	if err != nil {
		return err
	}
	g.relay = relay.New(relay.Config{
		Self: s.Name(), Domain: s.Domain(), NewLocalExecutor: open, Homes: g.targets.Homes, Forwarder: g.peerClient, Clock: clock,
		Logger: g.logger, Meter: g.meter,
	})
	g.proxy, err = proxy.New(proxy.Config{
		Address: s.Entry(), NewCaller: func(conn net.Conn) citronusher.Caller { return line.NewCaller(conn) },
		Plan: g.plan, NewExecutor: g.relay.Open, Clock: clock, Logger: g.logger,
		Meter: g.meter,
	})
	if err != nil {
		return err
	}
	g.self = citronusher.NewInstance(s.Name(), g.peerServer.Address(), s.Domain(), citronusher.InstanceLive).
		WithCapacity(s.Cores())
	g.mu.Lock()
	defer g.mu.Unlock()
	g.syncer = storesync.New(storesync.Config{
		Self: g.self, FirstStart: s.FirstStart(), Store: g.store, OnPlan: g.targets.Apply,
		OnMembers: func(members []citronusher.MemberReport, listedAt time.Time) {
			g.targets.SetMembers(members, clock.Instant().Add(-time.Since(listedAt)))
		},
		OnInstances:  g.targets.SetInstances,
		OnRegistered: func() { g.targets.SetRegistered(g.self) }, OnUnregistered: g.targets.SetUnregistered,
		Peers: g.peerClient, Logger: g.logger, Meter: g.meter,
	})
	return nil
}

// updateGauges updates the gauges of the metrics.
func (g *Gateway) updateGauges() {
	if g.droppedLogLines != nil {
		g.meter.Dropped().Update(g.droppedLogLines())
	}
	g.targets.UpdateGauges()
}

// Entry returns the IP:PORT for callers.
func (g *Gateway) Entry() string { return g.proxy.Address() }

// Health returns the IP:PORT of the health endpoints.
func (g *Gateway) Health() string { return g.healthAddress }

// Ready reports whether the daemon accepts new sessions.
func (g *Gateway) Ready() bool { return g.ready.Load() && !g.draining.Load() }

func (g *Gateway) currentSyncer() *storesync.Syncer {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.syncer
}

// ReleaseLease releases the leases on a group's primaries up to term, on request of another daemon.
func (g *Gateway) ReleaseLease(group string, term uint64) { g.targets.ReleaseLease(group, term) }

// LeaseRenewalAge returns the age of the latest renewal of the lease on a group's primary, for another daemon.
func (g *Gateway) LeaseRenewalAge(group string, term uint64) (time.Duration, bool) {
	return g.targets.LeaseRenewalAge(group, term)
}

// AwaitUpdate returns what this daemon has that another daemon has not, as soon as there is something.
func (g *Gateway) AwaitUpdate(ctx context.Context, request citronusher.PeerUpdateRequest) citronusher.PeerUpdate {
	if syncer := g.currentSyncer(); syncer != nil {
		return syncer.AwaitUpdate(ctx, request)
	}
	return citronusher.PeerUpdate{}
}

func (g *Gateway) plan() citronusher.Plan {
	if syncer := g.currentSyncer(); syncer != nil {
		return syncer.Plan()
	}
	return citronusher.Plan{}
}

func (g *Gateway) refresh() {
	if syncer := g.currentSyncer(); syncer != nil {
		syncer.Refresh()
	}
}

// waitUntilReady waits until the plan and the members are loaded and, up to primaryWaitTimeout, until the groups have
// primaries. Then it marks the daemon as ready.
func (g *Gateway) waitUntilReady() {
	began := time.Now()
	for g.ctx.Err() == nil {
		syncer := g.currentSyncer()
		if syncer.Synced() && (g.targets.Ready() || time.Since(began) > primaryWaitTimeout) {
			break
		}
		time.Sleep(readyPollInterval)
	}
	if g.ctx.Err() != nil || g.draining.Load() {
		return
	}
	g.ready.Store(true)
	events.Log(g.logger, events.Ready, "version", g.plan().Version)
}

// serveHealth starts the HTTP server for readiness and metrics.
func (g *Gateway) serveHealth() error {
	listener, err := (&net.ListenConfig{}).Listen(g.ctx, "tcp", g.settings.Health())
	if err != nil {
		return fmt.Errorf("listen for health checks: %w", err)
	}
	g.healthAddress = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("/ready", func(w http.ResponseWriter, _ *http.Request) {
		if !g.Ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		fmt.Fprintln(w, "ready")
	})
	mux.HandleFunc("/metrics.txt", func(w http.ResponseWriter, r *http.Request) {
		g.updateGauges()
		g.meter.ServeText(w, r)
	})
	mux.HandleFunc("/metrics", func(w http.ResponseWriter, r *http.Request) {
		g.updateGauges()
		g.meter.ServeHTTP(w, r)
	})
	g.health = &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout}
	g.tasks.Go(func() error {
		if err := g.health.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	return nil
}

// Reload replaces the settings. Changed addresses take effect at the next start only.
func (g *Gateway) Reload(s settings.Settings) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.settings = s
	events.Log(g.logger, events.SettingsReloaded)
}
