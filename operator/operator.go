// Package operator implements the operators' command line: it edits and shows the configuration document, shows the status
// of daemons, and requests drains.
package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"connectrpc.com/connect"
	"github.com/alecthomas/kong"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/peer"
	"citronusher.example/citronusher/peer/peerpb"
	"citronusher.example/citronusher/profile"
	"citronusher.example/citronusher/settings"
)

const callTimeout = 10 * time.Second

// The exit codes.
const (
	exitDone     = 0
	exitFailed   = 1
	exitInput    = 2
	exitConflict = 3
)

// Global holds the flags of all commands.
type Global struct {
	Daemon string `short:"d" default:"127.0.0.1:7071" env:"CITRONUSHER_DAEMON" help:"IP:PORT of a daemon's peer listener."`
	Key    string `env:"CITRONUSHER_KEY" help:"Operators' credential; prefer the environment variable."`
	TLS    bool   `env:"CITRONUSHER_TLS" help:"Use TLS."`
	Output string `short:"o" enum:"text,json" default:"text" help:"Output format: text or json."`

	out io.Writer
}

// Commands is the command tree.
type Commands struct {
	Global

	Profile  profileCommands `cmd:"" help:"Show and edit profiles."`
	Target   targetCommands  `cmd:"" help:"Show and edit databases and their members."`
	Member   memberCommands  `cmd:"" help:"Show instances."`
	Status   statusCommand   `cmd:"" help:"Show a daemon's status: instances and databases."`
	Drain    drainCommand    `cmd:"" help:"Stop the daemon gracefully."`
	Route    routeCommands   `cmd:"" help:"Explain routes."`
	Settings settingCommands `cmd:"" help:"Check settings files."`
	Log      logCommand      `cmd:"" help:"Show the timeline of a request or a group from the logs of several daemons."`
}

// Run parses arguments, runs the command and writes its output to out.
func Run(arguments []string, out io.Writer) error {
	var commands Commands
	parser, err := kong.New(&commands, kong.Name("citronusher"), kong.Exit(func(int) {}),
		kong.Writers(out, out), kong.Description("Edits profiles and targets, and shows the status of daemons. "+
			"Exit codes: 0 done, 1 failed, 2 invalid input, 3 version conflict."))
	if err != nil {
		return fmt.Errorf("command line: %w", err)
	}
	parsed, err := parser.Parse(arguments)
	if err != nil {
		return fmt.Errorf("%w: %w", citronusher.ErrInvalid, err)
	}
	commands.out = out
	return parsed.Run(&commands.Global)
}

// Exit prints err, if any, to standard error and ends the program with ExitCode(err).
func Exit(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "citronusher:", err)
	}
	os.Exit(ExitCode(err))
}

// ExitCode returns the exit code for err: 0 done, 1 failed, 2 invalid input, 3 version conflict.
func ExitCode(err error) int {
	switch {
	case err == nil:
		return exitDone
	case errors.Is(err, citronusher.ErrConflict):
		return exitConflict
	case errors.Is(err, citronusher.ErrInvalid), connect.CodeOf(err) == connect.CodeInvalidArgument:
		return exitInput
	default:
		return exitFailed
	}
}

func (g *Global) client() peerpb.OperatorServiceClient {
	scheme := "http"
	if g.TLS {
		scheme = "https"
	}
	return peerpb.NewOperatorServiceClient(http.DefaultClient, scheme+"://"+g.Daemon,
		connect.WithInterceptors(peer.BearerAuth(g.Key)))
}

// callContext bounds one callContext to a daemon.
func callContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), callTimeout)
}

// print writes value as JSON or text as it is, by the output format.
func (g *Global) print(value any, text string) error {
	if g.Output == "json" {
		encoder := json.NewEncoder(g.out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	_, err := fmt.Fprintln(g.out, text)
	return err
}

// document fetches the daemon's active configuration document.
func (g *Global) document() (profile.Document, error) {
	ctx, cancel := callContext()
	defer cancel()
	response, err := g.client().Show(ctx, connect.NewRequest(&peerpb.ShowRequest{}))
	if err != nil {
		return profile.Document{}, fmt.Errorf("show: %w", err)
	}
	return profile.Parse(response.Msg.GetBody())
}

// edit sends one edit with the content of file; an empty file name removes the entry. The error of a version conflict
// contains both versions.
func (g *Global) edit(part, name string, expect uint64, file string) error {
	var body []byte
	var err error
	if file != "" {
		if body, err = os.ReadFile(file); err != nil {
			return fmt.Errorf("%w: %w", citronusher.ErrInvalid, err)
		}
	}
	ctx, cancel := callContext()
	defer cancel()
	response, err := g.client().Edit(ctx, connect.NewRequest(&peerpb.EditRequest{
		Part: part, Name: name, Expect: expect, Body: body,
	}))
	if err != nil {
		return fmt.Errorf("edit: %w", err)
	}
	m := response.Msg
	if m.GetConflict() {
		return fmt.Errorf("%w: the edit expected version %d, the current version is %d\nyours:\n%s\ncurrent:\n%s",
			citronusher.ErrConflict, expect, m.GetVersion(), body, m.GetBody())
	}
	return g.print(map[string]uint64{"version": m.GetVersion()}, fmt.Sprintf("accepted as version %d", m.GetVersion()))
}

type settingCommands struct {
	Check checkCommand `cmd:"" help:"Check a settings file."`
}

type checkCommand struct {
	File string `arg:"" help:"Settings file."`
}

// Run validates the settings file.
func (c *checkCommand) Run(g *Global) error {
	s, err := settings.Load(c.File)
	if err != nil {
		return err
	}
	return g.print(map[string]string{"name": s.Name(), "domain": s.Domain()},
		fmt.Sprintf("settings of %s in %s are valid", s.Name(), s.Domain()))
}
