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

// settingsPollInterval is how often the settings file is checked for a change that was not announced by a signal.
const settingsPollInterval = 2 * time.Second

// Run runs a daemon with the settings s until SIGTERM or an interrupt. On SIGHUP, and when the file at path changes, it
// reloads the settings from path. dropped returns the number of dropped log lines.
func Run(path string, s settings.Settings, logger *slog.Logger, dropped func() int64) error {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	g, err := New(s, logger, WithDroppedLogs(dropped))
	if err != nil {
		return err
	}
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	changedAt := modTime(path)
	for {
		select {
		case <-stop:
			g.Drain(g.drainTimeout())
			return g.Close()
		case <-reload:
			changedAt = modTime(path)
			g.reload(path)
		case <-ticker.C:
			if at := modTime(path); !at.Equal(changedAt) {
				changedAt = at
				g.reload(path)
			}
		}
	}
}

// modTime returns the modification time of the file, and the zero time when the file cannot be read.
func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload reads the settings from path. Invalid settings are rejected and the current ones stay.
func (g *Gateway) reload(path string) {
	s, err := settings.Load(path)
	if err != nil {
		events.Log(g.logger, events.SettingsRejected, "error", err)
		return
	}
	g.Reload(s)
}

func (g *Gateway) drainTimeout() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.settings.DrainTimeout()
}
