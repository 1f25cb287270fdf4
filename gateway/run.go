package gateway

import (
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"citronusher.example/citronusher/events"
	"citronusher.example/citronusher/settings"
)

// settingsPoll is how often the settings file is looked at for a change that no signal announced.
const settingsPoll = 2 * time.Second

// Run serves with the settings read from path until SIGTERM or an interrupt. SIGHUP, and a change of the file, make
// it read the settings again. dropped counts the log lines that were dropped.
func Run(path string, s settings.Settings, logger *slog.Logger, dropped func() int64) error {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	g, err := New(s, logger, WithDroppedLogs(dropped))
	if err != nil {
		return err
	}
	ticker := time.NewTicker(settingsPoll)
	defer ticker.Stop()
	changedAt := modified(path)
	for {
		select {
		case <-stop:
			g.Drain(g.drainSpan())
			return g.Close()
		case <-reload:
			changedAt = modified(path)
			g.reload(path)
		case <-ticker.C:
			if at := modified(path); !at.Equal(changedAt) {
				changedAt = at
				g.reload(path)
			}
		}
	}
}

// modified returns when the file last changed; the zero time when it cannot be looked at.
func modified(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload reads the settings again. Bad ones are refused.
func (g *Gateway) reload(path string) {
	s, err := settings.Load(path)
	if err != nil {
		events.Log(g.logger, events.SettingsRejected, "error", err)
		return
	}
	g.Reload(s)
}

func (g *Gateway) drainSpan() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.settings.DrainTimeout()
}
