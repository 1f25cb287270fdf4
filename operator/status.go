package operator

import (
	"encoding/json"
	"fmt"
	"strings"

	"connectrpc.com/connect"

	"citronusher.example/citronusher/daemon"
	"citronusher.example/citronusher/peer/peerpb"
)

func (g *Global) status() (daemon.Status, error) {
	ctx, cancel := callContext()
	defer cancel()
	var status daemon.Status
	response, err := g.client().Status(ctx, connect.NewRequest(&peerpb.StatusRequest{}))
	if err != nil {
		return status, fmt.Errorf("status: %w", err)
	}
	if err := json.Unmarshal(response.Msg.GetBody(), &status); err != nil {
		return status, fmt.Errorf("status: %w", err)
	}
	return status, nil
}

type statusCommand struct{}

// Run shows the daemon's status.
func (statusCommand) Run(g *Global) error {
	status, err := g.status()
	if err != nil {
		return err
	}
	lines := []string{fmt.Sprintf("%s in %s: ready %t, version %d", status.Instance, status.Domain, status.Ready,
		status.Version)}
	lines = append(lines, instanceLines(status.Instances)...)
	for _, database := range status.Databases {
		lines = append(lines, fmt.Sprintf("%s: home %d, primary %s, term %d, writes closed %t", database.Database,
			database.Rank+1, database.Primary, database.Term, database.Closed))
		for _, m := range database.Members {
			lines = append(lines, fmt.Sprintf("  %-14s %-8s term %d at %s, complete up to %s ago, reachable %t, "+
				"running %d of %d, waiting %d, connections %d", m.Name, m.Role, m.Term, m.Position, m.Age, m.Reachable,
				m.Running, m.Limit, m.Waiting, m.Connections))
		}
	}
	return g.print(status, strings.Join(lines, "\n"))
}

func instanceLines(instances []daemon.InstanceStatus) []string {
	lines := make([]string, len(instances))
	for i, instance := range instances {
		lines[i] = fmt.Sprintf("instance %-8s %-21s %-10s live %t, suspected %t", instance.Name, instance.Peer,
			instance.Domain, instance.Live, instance.Suspected)
	}
	return lines
}

type memberCommands struct {
	List memberList `cmd:"" help:"List the instances in the daemon's membership view."`
}

type memberList struct{}

// Run lists the instances.
func (memberList) Run(g *Global) error {
	status, err := g.status()
	if err != nil {
		return err
	}
	return g.print(status.Instances, strings.Join(instanceLines(status.Instances), "\n"))
}

type drainCommand struct{}

// Run requests a graceful stop of the daemon.
func (drainCommand) Run(g *Global) error {
	ctx, cancel := callContext()
	defer cancel()
	if _, err := g.client().Drain(ctx, connect.NewRequest(&peerpb.DrainRequest{})); err != nil {
		return fmt.Errorf("drain: %w", err)
	}
	return g.print(map[string]bool{"draining": true}, "the daemon is draining")
}

type routeCommands struct {
	Explain explainCommand `cmd:"" help:"Show the homes and members that a request would be routed to."`
}

type explainCommand struct {
	Database string `arg:"" help:"Database name."`
	Profile  string `arg:"" help:"Profile name."`
}

// Run shows the route of a request with a profile.
func (c explainCommand) Run(g *Global) error {
	ctx, cancel := callContext()
	defer cancel()
	response, err := g.client().Explain(ctx, connect.NewRequest(&peerpb.ExplainRequest{
		Database: c.Database, Profile: c.Profile,
	}))
	if err != nil {
		return fmt.Errorf("explain: %w", err)
	}
	return g.print(response.Msg.GetLines(), strings.Join(response.Msg.GetLines(), "\n"))
}
