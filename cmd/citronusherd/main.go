// Command citronusherd is the daemon: the entry for its callers, a home of some databases, and a peer of the other daemons.
package main

import (
	"errors"
	"fmt"
	"log/slog"
	"os"

	"github.com/alecthomas/kong"

	"citronusher.example/citronusher/events"
	"citronusher.example/citronusher/gateway"
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
	if err := level.UnmarshalText([]byte(s.LogLevel())); err != nil {
		return fmt.Errorf("log level: %w", err)
	}
	if s.Protocol() == settings.ProtocolLine {
		writer := events.NewWriter(os.Stdout)
		err := gateway.Run(path, s, events.NewLogger(writer, level), writer.Dropped)
		return errors.Join(err, writer.Close())
	}
	return runPostgres(s, events.NewLogger(os.Stderr, level))
}
