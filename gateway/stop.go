package gateway

import (
	"context"
	"errors"
	"time"

	"citronusher.example/citronusher/events"
)

// The steps of a planned stop.
const (
	stopAcceptingDelay = 2300 * time.Millisecond // after the daemon is not ready, until no new sessions arrive
	deregisterTimeout  = 300 * time.Millisecond
	failureTimeout     = 150 * time.Millisecond // for the failures of statements that are broken off to reach their callers
	drainDivisor       = 2                      // open transactions get 1/drainDivisor of the drain time
	closeReserve       = 700 * time.Millisecond // of the drain time, for deregistering and closing
)

// Drain stops the daemon gracefully within span. The daemon stops being ready, ends sessions between requests once no new
// sessions arrive, lets open transactions finish during the first half of span and then rolls them back, each once its
// running statement is answered. From then on no statement is passed on to a member. Statements that run until shortly
// before the end of span are broken off, and their callers get the failure, so that the daemon ends by itself.
func (g *Gateway) Drain(span time.Duration) {
	events.Log(g.logger, events.Stopping)
	g.draining.Store(true)
	g.taskServer.StopAccepting()
	ctx, cancel := context.WithTimeout(g.ctx, max(span/drainDivisor, span-closeReserve))
	defer cancel()
	sleep(ctx, min(stopAcceptingDelay, span/drainDivisor))
	if err := g.proxy.StopAccepting(); err != nil {
		events.Log(g.logger, events.CallerFailed, "error", err)
	}
	halfCtx, cancelHalf := context.WithTimeout(ctx, max(0, span/drainDivisor-stopAcceptingDelay))
	defer cancelHalf()
	g.proxy.Drain(halfCtx)
	g.taskServer.Drain(halfCtx)
	g.proxy.RollBackTransactions()
	g.taskServer.RollBackAll()
	g.proxy.Drain(ctx)
	g.taskServer.Drain(ctx)
	g.breakOff()
}

// breakOff ends the statements that still run, by closing the connections to the members and the calls to other daemons,
// and waits for a moment until their callers have got the failures.
func (g *Gateway) breakOff() {
	if g.proxy.Idle() && g.taskServer.Idle() {
		return
	}
	if err := errors.Join(g.targets.Close(), g.relay.Close()); err != nil {
		events.Log(g.logger, events.CallerFailed, "error", err)
	}
	ctx, cancel := context.WithTimeout(g.ctx, failureTimeout)
	defer cancel()
	g.proxy.Drain(ctx)
	g.taskServer.Drain(ctx)
}

// deregister removes this daemon from the store's lists, once it uses no lease: from then on nobody asks it to release one.
func (g *Gateway) deregister() {
	ctx, cancel := context.WithTimeout(context.Background(), deregisterTimeout)
	defer cancel()
	if err := g.store.Deregister(ctx, g.self); err != nil {
		events.Log(g.logger, events.PlatformUnavailable, "part", "instances", "error", err)
	}
}

// stopTaskServer ends the tasks and transactions of other daemons. Their connections to members are already closed.
func (g *Gateway) stopTaskServer() {
	g.taskServer.StopAccepting()
	g.taskServer.RollBackAll()
	ctx, cancel := context.WithTimeout(context.Background(), failureTimeout)
	defer cancel()
	g.taskServer.Drain(ctx)
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Close stops all components and waits for them. For a planned stop, call Drain first; Close then also removes the daemon
// from the store's lists.
func (g *Gateway) Close() error {
	g.cancel()
	var errs []error
	if g.proxy != nil {
		errs = append(errs, g.proxy.Close())
	}
	if syncer := g.currentSyncer(); syncer != nil {
		errs = append(errs, syncer.Close())
	}
	if g.relay != nil {
		errs = append(errs, g.relay.Close())
	}
	errs = append(errs, g.targets.Close())
	if g.taskServer != nil {
		g.stopTaskServer()
	}
	if g.draining.Load() {
		g.deregister()
	}
	if g.peerServer != nil {
		errs = append(errs, g.peerServer.Close())
	}
	if g.health != nil {
		errs = append(errs, g.health.Close())
	}
	errs = append(errs, g.tasks.Wait(), g.peerClient.Close(), g.client.Close())
	events.Log(g.logger, events.Stopped)
	return errors.Join(errs...)
}
