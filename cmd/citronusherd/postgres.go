package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"citronusher.example/citronusher/daemon"
	"citronusher.example/citronusher/settings"
)

// runPostgres serves callers and targets that speak the PostgreSQL protocol, until a signal or an operator stops it.
func runPostgres(s settings.Settings, logger *slog.Logger) error {
	d, err := daemon.New(s, logger)
	if err != nil {
		return err
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	select {
	case <-stop:
	case <-d.DrainRequested():
	}
	ctx, cancel := context.WithTimeout(context.Background(), s.DrainTimeout())
	defer cancel()
	d.Drain(ctx)
	return d.Close()
}
