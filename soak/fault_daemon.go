package soak

import (
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

const dozeLead = 150 * time.Millisecond // for which a daemon is frozen when the primary crashes

// injectDaemonFault injects a fault into one daemon, or into all of them in turn.
func (r *run) injectDaemonFault(f Fault) error {
	daemon := r.daemons[f.Index]
	switch f.Kind {
	case KindKill:
		return daemon.restart(syscall.SIGKILL, f.Duration)
	case KindStop:
		return daemon.restart(syscall.SIGTERM, f.Duration)
	case KindRoll:
		return r.roll(f)
	case KindDoze:
		return r.doze(f)
	default:
		return daemon.pause(f.Duration)
	}
}

// roll restarts all daemons one after the other, every other one by SIGKILL.
func (r *run) roll(f Fault) error {
	for i := range r.daemons {
		signal := syscall.SIGTERM
		if (i+f.Index)%2 == 1 {
			signal = syscall.SIGKILL
		}
		daemon := r.daemons[(i+f.Index)%len(r.daemons)]
		if err := daemon.restart(signal, f.Duration/2); err != nil { //nolint:mnd // shorter than one daemon's fault
			return err
		}
	}
	return nil
}

// doze freezes a daemon, crashes the primary a little later, and lets the daemon go on when another member may lead.
func (r *run) doze(f Fault) error {
	var tasks errgroup.Group
	tasks.Go(func() error { return r.daemons[f.Index].pause(f.Duration) })
	time.Sleep(dozeLead)
	tasks.Go(func() error { return crash(r.primary(f.Group), f.Duration) })
	return tasks.Wait()
}
