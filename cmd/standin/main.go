// Command standin runs test doubles of a database group member and of the platform.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"citronusher.example/citronusher/standin/member"
	"citronusher.example/citronusher/standin/platform"
)

type arguments struct {
	Member   memberCommand   `cmd:"" help:"Run a database group member."`
	Platform platformCommand `cmd:"" help:"Run the table service, the object store and the instance list."`
}

type memberCommand struct {
	Name        string        `required:"" help:"Member name."`
	Address     string        `required:"" help:"IP:PORT for callers."`
	Control     string        `help:"IP:PORT of the fault injection endpoint."`
	Upstream    string        `help:"IP:PORT of the primary; empty starts as primary of term 1."`
	Connections int           `default:"16" help:"Connection limit."`
	Slots       int           `default:"2" help:"Statements that run at once."`
	Opening     time.Duration `default:"12ms" help:"Time to open a connection."`
	Work        time.Duration `default:"0" help:"Time that each statement holds its slot."`
}

// Run serves until SIGTERM or an interrupt.
func (c *memberCommand) Run() error {
	m, err := member.New(member.Options{
		Name: c.Name, Address: c.Address, FaultAddress: c.Control, Upstream: c.Upstream, Connections: c.Connections,
		Slots: c.Slots, ConnectDelay: c.Opening, StatementDuration: c.Work, Logger: slog.New(slog.NewTextHandler(os.Stderr, nil)),
	})
	if err != nil {
		return err
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	<-ctx.Done()
	return m.Close()
}

type platformCommand struct {
	Address   string `required:"" help:"IP:PORT."`
	Instances string `required:"" type:"existingfile" help:"JSON file with the instance list."`
}

// Run serves until SIGTERM or an interrupt.
func (c *platformCommand) Run() error {
	body, err := os.ReadFile(c.Instances)
	if err != nil {
		return fmt.Errorf("instances: %w", err)
	}
	var instances []platform.InstanceEntry
	if err := json.Unmarshal(body, &instances); err != nil {
		return fmt.Errorf("instances: %w", err)
	}
	server := &http.Server{Addr: c.Address, Handler: platform.New(instances), ReadHeaderTimeout: time.Second}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	context.AfterFunc(ctx, func() { _ = server.Close() })
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func main() {
	var args arguments
	parsed := kong.Parse(&args, kong.Name("standin"), kong.Description("Test programs."))
	parsed.FatalIfErrorf(parsed.Run())
}
