package relay

import (
	"context"
	"errors"
	"sync"
	"time"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/events"
)

// outageGrace is how long an unavailable home counts as a home before the next candidate replaces it.
const outageGrace = 1500 * time.Millisecond

// peer is the availability of another daemon, as this one observes it.
type peer struct {
	relay    *Relay
	instance citronusher.Instance

	mu               sync.Mutex
	lastResponseAt   citronusher.Instant
	unavailableSince citronusher.Instant // 0 while it responds
	refused          bool                // since then: it does not run, but its machine does
	drainingUntil    citronusher.Instant // until when it is not used because it is draining
	pinging          bool                // a watcher is pinging it
}

// peer returns the state of another daemon.
func (r *Relay) peer(instance citronusher.Instance) *peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.peers[instance.PeerAddress()]
	if p == nil {
		p = &peer{relay: r, instance: instance}
		r.peers[instance.PeerAddress()] = p
	}
	return p
}

// availability is what this daemon can expect of another one.
type availability int

const (
	available   availability = iota
	restarting               // it does not run, but ran until a moment ago and its machine responds
	interrupted              // it has not responded for less than outageGrace
	gone                     // it has not responded for longer, or is draining
)

// availability returns what to expect of the daemon at now.
func (p *peer) availability(now citronusher.Instant) availability {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case now < p.drainingUntil:
		return gone
	case p.unavailableSince == 0:
		return available
	case now >= p.unavailableSince.Add(outageGrace):
		return gone
	case p.refused:
		return restarting
	default:
		return interrupted
	}
}

// observeResponse records a response of the daemon.
func (p *peer) observeResponse(now citronusher.Instant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastResponseAt = now
	if p.unavailableSince != 0 {
		p.unavailableSince = 0
		events.Log(p.relay.config.Logger, events.PeerRecovered, "peer", p.instance.Name())
	}
}

// observeDraining records that the daemon is draining and accepts no new tasks.
func (p *peer) observeDraining(now citronusher.Instant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.drainingUntil = now.Add(drainingTTL)
}

// observeFailure marks the daemon as unavailable and pings it in the background until it responds.
func (p *peer) observeFailure(err error) {
	now := p.relay.config.Clock.Instant()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.unavailableSince != 0 || p.relay.ctx.Err() != nil {
		return
	}
	p.unavailableSince, p.refused = now, errors.Is(err, citronusher.ErrRefused)
	events.Log(p.relay.config.Logger, events.PeerFailed, "peer", p.instance.Name(), "error", err)
	p.relay.tasks.Go(func() error {
		p.pingUntilRecovered()
		return nil
	})
}

// pingUntilRecovered pings the daemon with exponential backoff until it responds. A restarting daemon is pinged at the
// shortest interval.
func (p *peer) pingUntilRecovered() {
	backoff := minPingBackoff
	for {
		if !p.relay.wait(backoff) || p.ping() == nil {
			return
		}
		if p.availability(p.relay.config.Clock.Instant()) != restarting {
			backoff = min(maxPingBackoff, backoff*2) //nolint:mnd // exponential backoff
		}
	}
}

// ping checks whether the daemon responds within pingTimeout.
func (p *peer) ping() error {
	ctx, cancel := context.WithTimeout(p.relay.ctx, pingTimeout)
	defer cancel()
	err := p.relay.config.Forwarder.Ping(ctx, p.instance)
	if err == nil {
		p.observeResponse(p.relay.config.Clock.Instant())
	}
	return err
}

// forward forwards a task to another daemon. A daemon that sends no response for a while is pinged. When it does not respond
// to the ping either, a call whose task may be run again at another home is cancelled.
func (r *Relay) forward(
	home citronusher.Instance, key citronusher.SessionKey, task citronusher.Task,
) (citronusher.TaskResult, error) {
	p := r.peer(home)
	sentAt := r.config.Clock.Instant()
	ctx, cancel := context.WithTimeout(r.ctx, max(0, task.Deadline().Sub(sentAt))+responseGrace)
	defer cancel()
	repeatable := task.Part == citronusher.PartFirst || task.Part == citronusher.PartNone && !task.Writes
	watch := p.watch(sentAt, func() {
		if repeatable {
			cancel()
		}
	})
	defer watch.stop()
	done, err := r.config.Forwarder.Execute(ctx, home, key, task)
	now := r.config.Clock.Instant()
	r.config.Meter.ForwardTime().Update(now.Sub(sentAt).Microseconds())
	var failure *citronusher.Failure
	switch {
	case err == nil:
		p.observeResponse(now)
	case errors.As(err, &failure):
		p.observeResponse(now)
		if failure.Reason() == citronusher.ReasonLeaving {
			p.observeDraining(now)
		}
	case ctx.Err() == nil || errors.Is(err, citronusher.ErrNotDelivered):
		p.observeFailure(err)
	default: // the call timed out or was cancelled; the watcher determines whether the daemon responds
	}
	return done, err
}

// watcher checks whether a daemon is still responsive while a call to it is in progress.
type watcher struct {
	peer           *peer
	sentAt         citronusher.Instant
	onUnresponsive func()
	mu             sync.Mutex
	timer          *time.Timer
	stopped        bool
}

func (p *peer) watch(sentAt citronusher.Instant, onUnresponsive func()) *watcher {
	w := &watcher{peer: p, sentAt: sentAt, onUnresponsive: onUnresponsive}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(pingDelay, w.check)
	return w
}

// check pings the daemon when it has not responded to anything for pingDelay.
func (w *watcher) check() {
	p := w.peer
	now := p.relay.config.Clock.Instant()
	p.mu.Lock()
	lastResponseAt := max(p.lastResponseAt, w.sentAt)
	idle := now >= lastResponseAt.Add(pingDelay)
	shouldPing := idle && !p.pinging
	unavailable := p.unavailableSince != 0
	p.pinging = p.pinging || shouldPing
	p.mu.Unlock()
	if unavailable {
		w.onUnresponsive()
		return
	}
	if shouldPing {
		err := p.ping()
		p.mu.Lock()
		p.pinging = false
		p.mu.Unlock()
		if err != nil {
			p.observeFailure(err)
			w.onUnresponsive()
			return
		}
	}
	w.reschedule()
}

func (w *watcher) reschedule() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped {
		w.timer.Reset(pingDelay)
	}
}

func (w *watcher) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}
