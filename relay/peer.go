package relay

import (
	"context"
	"errors"
	"sync"
	"time"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/events"
)

// shortSpan is how long a home that does not answer keeps its place before another daemon takes it.
const shortSpan = 1500 * time.Millisecond

// peer is what this daemon knows of another one.
type peer struct {
	relay    *Relay
	instance citronusher.Instance

	mu        sync.Mutex
	heardAt   citronusher.Instant
	downSince citronusher.Instant // 0 while it answers
	leaving   citronusher.Instant // until when it is not used because it leaves
	pinging   bool
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

// state reports whether the daemon answers, and otherwise whether it does not for a short time only.
func (p *peer) state(now citronusher.Instant) (up, short bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now < p.leaving {
		return false, false
	}
	return p.downSince == 0, now < p.downSince.Add(shortSpan)
}

// heard records that the daemon answers.
func (p *peer) heard(now citronusher.Instant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.heardAt = now
	if p.downSince != 0 {
		p.downSince = 0
		events.Log(p.relay.config.Logger, events.PeerRecovered, "peer", p.instance.Name())
	}
}

// leave records that the daemon takes no new work.
func (p *peer) leave(now citronusher.Instant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leaving = now.Add(leavingSpan)
}

// fail records that the daemon does not answer, and asks it from time to time until it does.
func (p *peer) fail(err error) {
	now := p.relay.config.Clock.Instant()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.downSince != 0 || p.relay.ctx.Err() != nil {
		return
	}
	p.downSince = now
	events.Log(p.relay.config.Logger, events.PeerFailed, "peer", p.instance.Name(), "error", err)
	p.relay.tasks.Go(func() error {
		p.awaitBack()
		return nil
	})
}

// awaitBack pings the daemon until it answers.
func (p *peer) awaitBack() {
	pause := pauseLeast
	for {
		if !p.relay.pause(pause) || p.ping() == nil {
			return
		}
		pause = min(pauseMost, pause*2) //nolint:mnd // doubled
	}
}

// ping asks the daemon whether it answers.
func (p *peer) ping() error {
	ctx, cancel := context.WithTimeout(p.relay.ctx, pingLimit)
	defer cancel()
	err := p.relay.config.Forwarder.Ping(ctx, p.instance)
	if err == nil {
		p.heard(p.relay.config.Clock.Instant())
	}
	return err
}

// carry has another daemon run a task. A daemon that answers nothing for a while is pinged; when it does not answer
// that either, a task that may run again elsewhere is given up.
func (r *Relay) carry(
	home citronusher.Instance, key citronusher.SessionKey, task citronusher.Task,
) (citronusher.TaskResult, error) {
	p := r.peer(home)
	sentAt := r.config.Clock.Instant()
	ctx, cancel := context.WithTimeout(r.ctx, max(0, task.Deadline().Sub(sentAt))+runGrace)
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
		p.heard(now)
	case errors.As(err, &failure):
		p.heard(now)
		if failure.Reason() == citronusher.ReasonLeaving {
			p.leave(now)
		}
	case ctx.Err() == nil || errors.Is(err, citronusher.ErrNotDelivered):
		p.fail(err)
	default: // the statement took too long, or was given up; the watch tells whether the daemon answers
	}
	return done, err
}

// watcher looks whether a daemon that a call waits for still answers.
type watcher struct {
	peer    *peer
	sentAt  citronusher.Instant
	silent  func()
	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

func (p *peer) watch(sentAt citronusher.Instant, silent func()) *watcher {
	w := &watcher{peer: p, sentAt: sentAt, silent: silent}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(silentAfter, w.look)
	return w
}

// look pings the daemon when nothing was heard from it for a while.
func (w *watcher) look() {
	p := w.peer
	now := p.relay.config.Clock.Instant()
	p.mu.Lock()
	lastAt := max(p.heardAt, w.sentAt)
	quiet := now >= lastAt.Add(silentAfter)
	mine := quiet && !p.pinging
	down := p.downSince != 0
	p.pinging = p.pinging || mine
	p.mu.Unlock()
	if down {
		w.silent()
		return
	}
	if mine {
		err := p.ping()
		p.mu.Lock()
		p.pinging = false
		p.mu.Unlock()
		if err != nil {
			p.fail(err)
			w.silent()
			return
		}
	}
	w.again()
}

func (w *watcher) again() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped {
		w.timer.Reset(silentAfter)
	}
}

func (w *watcher) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}
