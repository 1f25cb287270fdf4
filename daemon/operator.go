package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"connectrpc.com/connect"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/events"
	"citronusher.example/citronusher/home"
	"citronusher.example/citronusher/peer/peerpb"
	"citronusher.example/citronusher/profile"
)

// Status is one daemon's status report for operators.
type Status struct {
	Instance  string           `json:"instance"`
	Domain    string           `json:"domain"`
	Ready     bool             `json:"ready"`
	Version   uint64           `json:"version"`
	Instances []InstanceStatus `json:"instances"`
	Databases []home.Report    `json:"databases"`
}

// InstanceStatus is one instance in a daemon's membership view.
type InstanceStatus struct {
	Name      string `json:"name"`
	Peer      string `json:"peer"`
	Domain    string `json:"domain"`
	Live      bool   `json:"live"`
	Suspected bool   `json:"suspected"`
}

// Show returns the active configuration document.
func (d *Daemon) Show(
	context.Context, *connect.Request[peerpb.ShowRequest],
) (*connect.Response[peerpb.ShowResponse], error) {
	version, body, err := d.Document()
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	return connect.NewResponse(&peerpb.ShowResponse{Version: version, Body: body}), nil
}

// Edit replaces one entry of the configuration document. On a version conflict the response holds the current version
// and entry; invalid input is CodeInvalidArgument, any other error CodeUnavailable.
func (d *Daemon) Edit(
	ctx context.Context, request *connect.Request[peerpb.EditRequest],
) (*connect.Response[peerpb.EditResponse], error) {
	m := request.Msg
	document, err := d.spreader.Edit(ctx, m.GetPart(), m.GetName(), m.GetExpect(), m.GetBody())
	if err != nil {
		events.Log(d.logger, events.EditRejected, "part", m.GetPart(), "name", m.GetName(), "error", err)
	}
	switch {
	case err == nil:
		events.Log(d.logger, events.EditAccepted, "part", m.GetPart(), "name", m.GetName(), "version", document.Version())
		return connect.NewResponse(&peerpb.EditResponse{Version: document.Version()}), nil
	case errors.Is(err, citronusher.ErrConflict):
		return connect.NewResponse(&peerpb.EditResponse{
			Version: document.Version(), Conflict: true, Body: encodePart(document, m.GetPart(), m.GetName()),
		}), nil
	case errors.Is(err, citronusher.ErrInvalid):
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	default:
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
}

// encodePart returns one entry of a document in JSON; nil when the entry does not exist.
func encodePart(document profile.Document, part, name string) []byte {
	var entry any
	var ok bool
	if part == profile.PartProfile {
		entry, ok = document.Profile(name)
	} else {
		entry, ok = document.Database(name)
	}
	if !ok {
		return nil
	}
	body, err := json.Marshal(entry)
	if err != nil {
		return nil
	}
	return body
}

// Status returns this daemon's Status in JSON.
func (d *Daemon) Status(
	context.Context, *connect.Request[peerpb.StatusRequest],
) (*connect.Response[peerpb.StatusResponse], error) {
	now := d.clock.Now()
	status := Status{
		Instance: d.settings.Name(), Domain: d.settings.Domain(), Ready: d.ready.Load(),
		Version: d.spreader.Document().Version(), Databases: d.homes.Report(),
	}
	d.mu.Lock()
	live := map[string]bool{}
	for _, instance := range d.view.Live(now) {
		live[instance.Name()] = true
	}
	for _, instance := range d.view.Listed() {
		status.Instances = append(status.Instances, InstanceStatus{
			Name: instance.Name(), Peer: instance.PeerAddress(), Domain: instance.Domain(), Live: live[instance.Name()],
			Suspected: d.view.Suspected(instance.Name(), now),
		})
	}
	d.mu.Unlock()
	body, err := json.Marshal(status)
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	return connect.NewResponse(&peerpb.StatusResponse{Body: body}), nil
}

// operatorService adapts the daemon to the operator service, whose Drain only signals the program to stop the daemon.
type operatorService struct{ *Daemon }

// Drain signals the daemon's program to stop it gracefully. It returns at once.
func (o operatorService) Drain(
	context.Context, *connect.Request[peerpb.DrainRequest],
) (*connect.Response[peerpb.DrainResponse], error) {
	o.drainOnce.Do(func() {
		events.Log(o.logger, events.DrainRequested)
		close(o.drainRequested)
	})
	return connect.NewResponse(&peerpb.DrainResponse{}), nil
}

// Explain returns the homes and members that a request with a profile would be routed to, one line each.
func (d *Daemon) Explain(
	_ context.Context, request *connect.Request[peerpb.ExplainRequest],
) (*connect.Response[peerpb.ExplainResponse], error) {
	m := request.Msg
	document := d.spreader.Document()
	p, ok := document.Profile(m.GetProfile())
	if !ok {
		return nil, connect.NewError(connect.CodeNotFound, fmt.Errorf("%w: profile %q", citronusher.ErrNotFound, m.GetProfile()))
	}
	if _, ok := document.Database(m.GetDatabase()); !ok {
		return nil, connect.NewError(connect.CodeNotFound,
			fmt.Errorf("%w: database %q", citronusher.ErrNotFound, m.GetDatabase()))
	}
	lines := []string{"entry " + d.settings.Name() + " in " + d.settings.Domain()}
	for i, hop := range d.Route(m.GetDatabase(), "", p.Class() == profile.ClassLong) {
		lines = append(lines, fmt.Sprintf("home %d: %s", i+1, hop.Name()))
	}
	members, err := d.homes.Explain(m.GetDatabase(), m.GetProfile())
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&peerpb.ExplainResponse{Lines: append(lines, members...)}), nil
}
