// Package gateway puts the parts of one daemon on the users' platform together: callers and members that speak the line
// protocol, the store, the promotion call, readiness and metrics.
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
	headerLimit = 5 * time.Second
	readyPoll   = 20 * time.Millisecond
	readyLimit  = 4 * time.Second         // for learning the groups' primaries before becoming ready without them
	leaveSpan   = 2300 * time.Millisecond // until no new sessions arrive after the daemon is not ready
	forgetLimit = 300 * time.Millisecond
	halves      = 2 // an open transaction has this part of a planned stop
)

// Gateway is one running daemon.
type Gateway struct {
	settings settings.Settings
	logger   *slog.Logger
	meter    *meter.Meter
	client   *store.Client
	store    *store.Store
	follower *storesync.Syncer
	targets  *targets.Set
	proxy    *proxy.Proxy
	peers    *peer.GroupServer
	caller   *peer.GroupClient
	relay    *relay.Relay
	served   *relay.Server
	health   *http.Server
	healthAt string
	dropped  func() int64 // log lines so far; nil when nobody counts them
	ready    atomic.Bool
	leaving  atomic.Bool
	ctx      context.Context
	cancel   context.CancelFunc
	tasks    errgroup.Group

	mu sync.Mutex
}

// Option changes a daemon before it starts.
type Option func(*Gateway)

// WithDroppedLogs makes the metrics tell how many log lines were dropped.
func WithDroppedLogs(count func() int64) Option { return func(g *Gateway) { g.dropped = count } }

// New starts a daemon. It becomes ready in the background, once it knows a plan and the members.
func New(s settings.Settings, logger *slog.Logger, opts ...Option) (*Gateway, error) {
	ctx, cancel := context.WithCancel(context.Background())
	clock := citronusher.SystemClock{}
	g := &Gateway{settings: s, logger: logger.With("instance", s.Name()), meter: meter.New(), ctx: ctx, cancel: cancel}
	for _, option := range opts {
		option(g)
	}
	g.caller = peer.NewGroupClient(clock)
	g.client = store.New(s.Store())
	g.store = store.NewStore(g.client, g.logger)
	g.targets = targets.New(targets.Config{
		Self: s.Name(), Domain: s.Domain(), Dialer: line.NewDialer(clock), Store: g.store,
		Peers: g.caller, Promoter: store.NewPromoter(s.Promotion(), s.Name()), RefreshMembers: g.refresh,
		Clock: clock, Logger: g.logger, Meter: g.meter,
	})
	if err := g.start(clock); err != nil {
		return nil, errors.Join(err, g.Close())
	}
	events.Log(g.logger, events.Started, "entry", g.proxy.Address(), "health", s.Health())
	g.tasks.Go(func() error { g.becomeReady(); return nil })
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
	g.served = relay.NewServer(relay.ServerConfig{
		NewLocalExecutor: open, Plan: g.plan, Logger: g.logger,
	})
	g.peers, err = peer.NewGroupServer(s.Peer(), g, g.served, clock, g.logger)
	if err != nil {
		return err
	}
	g.relay = relay.New(relay.Config{
		Self: s.Name(), Domain: s.Domain(), NewLocalExecutor: open, Homes: g.targets.Homes, Forwarder: g.caller, Clock: clock,
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
	g.mu.Lock()
	defer g.mu.Unlock()
	g.follower = storesync.New(storesync.Config{
		Self:  citronusher.NewInstance(s.Name(), g.peers.Address(), s.Domain(), citronusher.InstanceLive).WithCapacity(s.Cores()),
		Store: g.store, OnPlan: g.targets.Apply, OnMembers: g.targets.SetMembers,
		OnInstances:  g.targets.SetInstances,
		OnRegistered: g.targets.SetRegistered, Peers: g.caller, Logger: g.logger, Meter: g.meter,
	})
	return nil
}

// gauge brings the gauges up to date.
func (g *Gateway) gauge() {
	if g.dropped != nil {
		g.meter.Dropped().Update(g.dropped())
	}
	g.targets.UpdateGauges()
}

// Entry returns the IP:PORT for callers.
func (g *Gateway) Entry() string { return g.proxy.Address() }

// Health returns the IP:PORT of the health endpoints.
func (g *Gateway) Health() string { return g.healthAt }

// Ready reports whether the daemon takes new sessions.
func (g *Gateway) Ready() bool { return g.ready.Load() && !g.leaving.Load() }

func (g *Gateway) following() *storesync.Syncer {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.follower
}

// ReleaseLease gives up the right to a group's primary for another daemon.
func (g *Gateway) ReleaseLease(group string, term uint64) { g.targets.ReleaseLease(group, term) }

// LeaseRenewalAge tells another daemon of the right to a group's primary.
func (g *Gateway) LeaseRenewalAge(group string, term uint64) (time.Duration, bool) {
	return g.targets.LeaseRenewalAge(group, term)
}

// AwaitUpdate tells another daemon what this one knows.
func (g *Gateway) AwaitUpdate(ctx context.Context, known citronusher.PeerUpdateRequest) citronusher.PeerUpdate {
	if f := g.following(); f != nil {
		return f.AwaitUpdate(ctx, known)
	}
	return citronusher.PeerUpdate{}
}

func (g *Gateway) plan() citronusher.Plan {
	if f := g.following(); f != nil {
		return f.Plan()
	}
	return citronusher.Plan{}
}

func (g *Gateway) refresh() {
	if f := g.following(); f != nil {
		f.Refresh()
	}
}

// becomeReady waits until the plan and the members are known and, for a while, until the groups have primaries.
func (g *Gateway) becomeReady() {
	began := time.Now()
	for g.ctx.Err() == nil {
		f := g.following()
		if f.Synced() && (g.targets.Ready() || time.Since(began) > readyLimit) {
			break
		}
		time.Sleep(readyPoll)
	}
	if g.ctx.Err() != nil || g.leaving.Load() {
		return
	}
	g.ready.Store(true)
	events.Log(g.logger, events.Ready, "version", g.plan().Version)
}

// serveHealth starts the HTTP endpoints for readiness and metrics.
func (g *Gateway) serveHealth() error {
	listener, err := (&net.ListenConfig{}).Listen(g.ctx, "tcp", g.settings.Health())
	if err != nil {
		return fmt.Errorf("listen for health checks: %w", err)
	}
	g.healthAt = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("/ready", func(w http.ResponseWriter, _ *http.Request) {
		if !g.Ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		fmt.Fprintln(w, "ready")
	})
	mux.HandleFunc("/metrics.txt", func(w http.ResponseWriter, r *http.Request) {
		g.gauge()
		g.meter.ServeText(w, r)
	})
	mux.HandleFunc("/metrics", func(w http.ResponseWriter, r *http.Request) {
		g.gauge()
		g.meter.ServeHTTP(w, r)
	})
	g.health = &http.Server{Handler: mux, ReadHeaderTimeout: headerLimit}
	g.tasks.Go(func() error {
		if err := g.health.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	return nil
}

// Reload takes new settings over. Addresses stay as they are until the next start.
func (g *Gateway) Reload(s settings.Settings) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.settings = s
	events.Log(g.logger, events.SettingsReloaded)
}

// Drain stops the daemon gracefully within span: it is not ready any more, ends sessions between requests once no
// new ones arrive, gives open transactions half of the span, and delivers every answer.
func (g *Gateway) Drain(span time.Duration) {
	events.Log(g.logger, events.Stopping)
	g.leaving.Store(true)
	g.served.StopAccepting()
	ctx, cancel := context.WithTimeout(g.ctx, span)
	defer cancel()
	sleep(ctx, min(leaveSpan, span/halves))
	if err := g.proxy.StopAccepting(); err != nil {
		events.Log(g.logger, events.CallerFailed, "error", err)
	}
	half, done := context.WithTimeout(ctx, max(0, span/halves-leaveSpan))
	defer done()
	g.proxy.Drain(half)
	g.served.Drain(half)
	g.proxy.RollBackTransactions()
	g.served.RollBackAll()
	g.proxy.Drain(ctx)
	g.served.Drain(ctx)
	forget, stop := context.WithTimeout(g.ctx, forgetLimit)
	defer stop()
	if err := g.store.Deregister(forget, g.settings.Name()); err != nil {
		events.Log(g.logger, events.PlatformUnavailable, "part", "instances", "error", err)
	}
}

// endServed ends what still runs for other daemons, whose connections to members are closed by now.
func (g *Gateway) endServed() {
	g.served.StopAccepting()
	g.served.RollBackAll()
	ctx, cancel := context.WithTimeout(context.Background(), forgetLimit)
	defer cancel()
	g.served.Drain(ctx)
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Close stops everything and waits. Call Drain before it for a planned stop.
func (g *Gateway) Close() error {
	g.cancel()
	var errs []error
	if g.proxy != nil {
		errs = append(errs, g.proxy.Close())
	}
	if f := g.following(); f != nil {
		errs = append(errs, f.Close())
	}
	if g.relay != nil {
		errs = append(errs, g.relay.Close())
	}
	errs = append(errs, g.targets.Close())
	if g.served != nil {
		g.endServed()
	}
	if g.peers != nil {
		errs = append(errs, g.peers.Close())
	}
	if g.health != nil {
		errs = append(errs, g.health.Close())
	}
	errs = append(errs, g.tasks.Wait(), g.caller.Close(), g.client.Close())
	events.Log(g.logger, events.Stopped)
	return errors.Join(errs...)
}
