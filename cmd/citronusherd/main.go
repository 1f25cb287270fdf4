// Command citronusherd is the daemon: entry for callers, home for some databases, peer of the other daemons.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"citronusher.example/citronusher/daemon"
	"citronusher.example/citronusher/settings"
)

type arguments struct {
	Settings string `arg:"" type:"existingfile" help:"Settings file, in JSON with comments."`
}

func main() {
	var args arguments
	kong.Parse(&args, kong.Name("citronusherd"),
		kong.Description("Database proxy with session consistency: the daemon."))
	if err := run(args.Settings); err != nil {
		fmt.Fprintln(os.Stderr, "citronusherd:", err)
		os.Exit(1)
	}
}

func run(path string) error {
	s, err := settings.Load(path)
	if err != nil {
		return err
	}
	var level slog.Level
	if err := level.UnmarshalText([]byte(s.Log())); err != nil {
		return fmt.Errorf("log level: %w", err)
	}
	logger := slog.New(slog.NewJSONHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
	d, err := daemon.New(s, logger)
	if err != nil {
		return err
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	select {
	case <-stop:
	case <-d.Asked():
	}
	ctx, cancel := context.WithTimeout(context.Background(), s.Drain())
	defer cancel()
	d.Drain(ctx)
	return d.Close()
}
