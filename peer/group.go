package peer

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"syscall"
	"time"

	"connectrpc.com/connect"
	"golang.org/x/sync/errgroup"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/peer/peerpb"
)

// groupDialTimeout is for the connections of lease calls, which are opened anew for each call.
const groupDialTimeout = 200 * time.Millisecond

// uncompressed disables the compression of responses. Large fields are already compressed, once for all daemons.
var uncompressed = connect.WithCompressMinBytes(maxMessageBytes)

// GroupHandler handles the calls of the other daemons that serve the same groups.
type GroupHandler interface {
	// ReleaseLease releases the leases on primaries of a group up to a term.
	ReleaseLease(group string, term uint64)
	// LeaseRenewalAge returns how long ago the request was sent with which a replica renewed the daemon's lease on a
	// group's primary of a term, and false when the daemon has no such lease.
	LeaseRenewalAge(group string, term uint64) (age time.Duration, ok bool)
	// AwaitUpdate returns what is newer than the request's versions and digests, as soon as there is something, or an
	// empty update after the request's maximum wait.
	AwaitUpdate(ctx context.Context, request citronusher.PeerUpdateRequest) citronusher.PeerUpdate
}

// GroupServer serves the calls of the other daemons that serve the same groups.
type GroupServer struct {
	handler GroupHandler
	tasks   citronusher.TaskHandler
	timer   citronusher.MonotonicClock
	logger  *slog.Logger

	encodings encodings

	listener net.Listener
	http     *http.Server
	serving  errgroup.Group
}

// NewGroupServer listens on the IP:PORT address and starts to serve. tasks runs the statements that other daemons forward.
func NewGroupServer(
	address string, handler GroupHandler, tasks citronusher.TaskHandler, timer citronusher.MonotonicClock, logger *slog.Logger,
) (*GroupServer, error) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	s := &GroupServer{handler: handler, tasks: tasks, timer: timer, logger: logger, listener: listener}
	mux := http.NewServeMux()
	mux.Handle(peerpb.NewGroupServiceHandler(s, connect.WithReadMaxBytes(maxMessageBytes), uncompressed))
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	s.http = &http.Server{
		Handler: mux, ReadHeaderTimeout: readHeaderTimeout, Protocols: &protocols,
		HTTP2: &http.HTTP2Config{MaxConcurrentStreams: maxStreams}, ErrorLog: slog.NewLogLogger(logger.Handler(), slog.LevelDebug),
	}
	s.serving.Go(func() error {
		if err := s.http.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	return s, nil
}

// Address returns the IP:PORT that the server listens on.
func (s *GroupServer) Address() string { return s.listener.Addr().String() }

// Yield releases the daemon's leases.
func (s *GroupServer) Yield(
	_ context.Context, request *connect.Request[peerpb.YieldRequest],
) (*connect.Response[peerpb.YieldResponse], error) {
	s.handler.ReleaseLease(request.Msg.GetGroup(), request.Msg.GetTerm())
	return connect.NewResponse(&peerpb.YieldResponse{}), nil
}

// Renew returns the age of the latest renewal of the daemon's lease.
func (s *GroupServer) Renew(
	_ context.Context, request *connect.Request[peerpb.RenewRequest],
) (*connect.Response[peerpb.RenewResponse], error) {
	age, ok := s.handler.LeaseRenewalAge(request.Msg.GetGroup(), request.Msg.GetTerm())
	return connect.NewResponse(&peerpb.RenewResponse{Valid: ok, Age: age.Microseconds()}), nil
}

// Learn returns the daemon's plan, members and instances as far as they differ from the sender's.
func (s *GroupServer) Learn(
	ctx context.Context, request *connect.Request[peerpb.LearnRequest],
) (*connect.Response[peerpb.LearnResponse], error) {
	m := request.Msg
	update := s.handler.AwaitUpdate(ctx, citronusher.PeerUpdateRequest{
		Plan: m.GetVersion(), Members: m.GetMembers(), Instances: m.GetInstances(), MaxWait: micros(m.GetWait()),
	})
	response := &peerpb.LearnResponse{
		PlanAge: update.PlanAge.Microseconds(), MembersAge: update.MembersAge.Microseconds(),
		Held: update.WaitedFor.Microseconds(), Era: update.Era,
	}
	var err error
	if update.Plan.Version > m.GetVersion() {
		if response.Plan, err = s.encodings.encodePlan(update.Plan); err != nil {
			return nil, connect.NewError(connect.CodeInternal, err)
		}
	}
	if update.Members != nil {
		if response.Members, err = s.encodings.encodeMembers(update.Members); err != nil {
			return nil, connect.NewError(connect.CodeInternal, err)
		}
	}
	for _, i := range update.Instances {
		response.Instances = append(response.Instances, &peerpb.LearntInstance{
			Name: i.Name(), Peer: i.PeerAddress(), Domain: i.Domain(), Cores: i.Capacity(),
		})
	}
	return connect.NewResponse(response), nil
}

// Close stops the server, closes its connections and waits for the serving goroutine.
func (s *GroupServer) Close() error { return errors.Join(s.http.Close(), s.serving.Wait()) }

// singleUseClient returns a client for one call on a new connection, because an existing one may be unresponsive. The
// returned function closes idle connections.
func (*GroupClient) singleUseClient(instance citronusher.Instance) (peerpb.GroupServiceClient, func()) {
	dialer := &net.Dialer{Timeout: groupDialTimeout}
	transport := &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}
	client := peerpb.NewGroupServiceClient(&http.Client{Transport: transport}, "http://"+instance.PeerAddress())
	return client, transport.CloseIdleConnections
}

// ReleaseLease asks a daemon to release its leases. Its error wraps ErrRefused when the connection was refused, and
// ErrUnavailable when the daemon did not respond.
func (c *GroupClient) ReleaseLease(
	ctx context.Context, instance citronusher.Instance, group string, claim citronusher.Claim, term uint64,
) error {
	client, done := c.singleUseClient(instance)
	defer done()
	_, err := client.Yield(ctx, connect.NewRequest(&peerpb.YieldRequest{
		Group: group, Term: term, Holder: claim.Holder, Token: claim.Token,
	}))
	if errors.Is(err, syscall.ECONNREFUSED) {
		return fmt.Errorf("%w: daemon %s", citronusher.ErrRefused, instance.Name())
	}
	if err != nil {
		return fmt.Errorf("%w: daemon %s: %w", citronusher.ErrUnavailable, instance.Name(), err)
	}
	return nil
}

// LeaseRenewalAge asks a daemon for the renewal age of its lease. Its error wraps ErrUnavailable, or ErrNotFound when the
// daemon has no such lease.
func (c *GroupClient) LeaseRenewalAge(
	ctx context.Context, instance citronusher.Instance, group string, term uint64,
) (time.Duration, error) {
	client, done := c.singleUseClient(instance)
	defer done()
	response, err := client.Renew(ctx, connect.NewRequest(&peerpb.RenewRequest{Group: group, Term: term}))
	if err != nil {
		return 0, fmt.Errorf("%w: daemon %s: %w", citronusher.ErrUnavailable, instance.Name(), err)
	}
	if !response.Msg.GetValid() {
		return 0, fmt.Errorf("%w: lease of daemon %s", citronusher.ErrNotFound, instance.Name())
	}
	return time.Duration(response.Msg.GetAge()) * time.Microsecond, nil
}

// FetchUpdate requests a daemon's newer plan, members and instances. Its error wraps ErrUnavailable, ErrNotDelivered or
// ErrInvalid.
func (c *GroupClient) FetchUpdate(
	ctx context.Context, instance citronusher.Instance, request citronusher.PeerUpdateRequest,
) (citronusher.PeerUpdate, error) {
	response, err := c.client(instance).Learn(ctx, connect.NewRequest(&peerpb.LearnRequest{
		Version: request.Plan, Members: request.Members, Instances: request.Instances, Wait: request.MaxWait.Microseconds(),
	}))
	if err != nil {
		return citronusher.PeerUpdate{}, forwardError(instance, err)
	}
	m := response.Msg
	update := citronusher.PeerUpdate{
		PlanAge: micros(m.GetPlanAge()), MembersAge: micros(m.GetMembersAge()), WaitedFor: micros(m.GetHeld()), Era: m.GetEra(),
	}
	if body := m.GetPlan(); len(body) > 0 {
		if err := decodeJSON(body, &update.Plan); err != nil {
			return update, fmt.Errorf("decode plan of daemon %s: %w", instance.Name(), err)
		}
	}
	if body := m.GetMembers(); len(body) > 0 {
		if err := decodeJSON(body, &update.Members); err != nil {
			return update, fmt.Errorf("decode members of daemon %s: %w", instance.Name(), err)
		}
	}
	for _, i := range m.GetInstances() {
		update.Instances = append(update.Instances,
			citronusher.NewInstance(i.GetName(), i.GetPeer(), i.GetDomain(), citronusher.InstanceLive).WithCapacity(i.GetCores()))
	}
	return update, nil
}
