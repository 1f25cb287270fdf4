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

// groupDial is how long a connection to a daemon before the same groups may take.
const groupDial = 200 * time.Millisecond

// uncompressed keeps answers as they are: what is large is compressed once, not again for each daemon.
var uncompressed = connect.WithCompressMinBytes(maxBody)

// GroupHandler is what a daemon does for the daemons before the same groups.
type GroupHandler interface {
	// ReleaseLease gives up the rights to primaries of a group up to a term.
	ReleaseLease(group string, term uint64)
	// LeaseRenewalAge returns how long ago a replica was asked that renewed the daemon's right to a group's primary of a term, and
	// false when it has no such right.
	LeaseRenewalAge(group string, term uint64) (age time.Duration, ok bool)
	// AwaitUpdate returns what the daemon knows besides what is known already, as soon as there is something, or after the wait.
	AwaitUpdate(ctx context.Context, known citronusher.PeerUpdateRequest) citronusher.PeerUpdate
}

// GroupServer answers the daemons before the same groups.
type GroupServer struct {
	handler GroupHandler
	tasks   citronusher.TaskHandler
	timer   citronusher.MonotonicClock

	encodings encodings

	listener net.Listener
	http     *http.Server
	serving  errgroup.Group
}

// NewGroupServer starts listening at the IP:PORT address. tasks runs the statements that other daemons send.
func NewGroupServer(
	address string, handler GroupHandler, tasks citronusher.TaskHandler, timer citronusher.MonotonicClock, logger *slog.Logger,
) (*GroupServer, error) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	s := &GroupServer{handler: handler, tasks: tasks, timer: timer, listener: listener}
	mux := http.NewServeMux()
	mux.Handle(peerpb.NewGroupServiceHandler(s, connect.WithReadMaxBytes(maxBody), uncompressed))
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	s.http = &http.Server{
		Handler: mux, ReadHeaderTimeout: headerLimit, Protocols: &protocols,
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

// Yield gives the daemon's rights up.
func (s *GroupServer) Yield(
	_ context.Context, request *connect.Request[peerpb.YieldRequest],
) (*connect.Response[peerpb.YieldResponse], error) {
	s.handler.ReleaseLease(request.Msg.GetGroup(), request.Msg.GetTerm())
	return connect.NewResponse(&peerpb.YieldResponse{}), nil
}

// Renew tells of the daemon's right.
func (s *GroupServer) Renew(
	_ context.Context, request *connect.Request[peerpb.RenewRequest],
) (*connect.Response[peerpb.RenewResponse], error) {
	age, ok := s.handler.LeaseRenewalAge(request.Msg.GetGroup(), request.Msg.GetTerm())
	return connect.NewResponse(&peerpb.RenewResponse{Valid: ok, Age: age.Microseconds()}), nil
}

// Learn tells what the daemon knows.
func (s *GroupServer) Learn(
	ctx context.Context, request *connect.Request[peerpb.LearnRequest],
) (*connect.Response[peerpb.LearnResponse], error) {
	m := request.Msg
	known := s.handler.AwaitUpdate(ctx, citronusher.PeerUpdateRequest{
		Plan: m.GetVersion(), Members: m.GetMembers(), Instances: m.GetInstances(), MaxWait: micros(m.GetWait()),
	})
	answer := &peerpb.LearnResponse{
		PlanAge: known.PlanAge.Microseconds(), MembersAge: known.MembersAge.Microseconds(), Held: known.WaitedFor.Microseconds(),
	}
	var err error
	if known.Plan.Version > m.GetVersion() {
		if answer.Plan, err = s.encodings.ofPlan(known.Plan); err != nil {
			return nil, connect.NewError(connect.CodeInternal, err)
		}
	}
	if known.Members != nil {
		if answer.Members, err = s.encodings.ofMembers(known.Members); err != nil {
			return nil, connect.NewError(connect.CodeInternal, err)
		}
	}
	for _, i := range known.Instances {
		answer.Instances = append(answer.Instances, &peerpb.LearntInstance{
			Name: i.Name(), Peer: i.PeerAddress(), Domain: i.Domain(), Cores: i.Capacity(),
		})
	}
	return connect.NewResponse(answer), nil
}

// Close stops the server and waits.
func (s *GroupServer) Close() error { return errors.Join(s.http.Close(), s.serving.Wait()) }

// call returns a client for one call on a connection of its own: an older one may have gone silent.
func (*GroupClient) call(instance citronusher.Instance) (peerpb.GroupServiceClient, func()) {
	dialer := &net.Dialer{Timeout: groupDial}
	transport := &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}
	client := peerpb.NewGroupServiceClient(&http.Client{Transport: transport}, "http://"+instance.PeerAddress())
	return client, transport.CloseIdleConnections
}

// ReleaseLease asks a daemon to give its rights up. Its error wraps ErrRefused when the daemon does not run: it then has none.
func (c *GroupClient) ReleaseLease(
	ctx context.Context, instance citronusher.Instance, group string, claim citronusher.Claim, term uint64,
) error {
	client, done := c.call(instance)
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

// LeaseRenewalAge asks a daemon for its right. Its error wraps ErrUnavailable, or ErrNotFound when it has none.
func (c *GroupClient) LeaseRenewalAge(
	ctx context.Context, instance citronusher.Instance, group string, term uint64,
) (time.Duration, error) {
	client, done := c.call(instance)
	defer done()
	response, err := client.Renew(ctx, connect.NewRequest(&peerpb.RenewRequest{Group: group, Term: term}))
	if err != nil {
		return 0, fmt.Errorf("%w: daemon %s: %w", citronusher.ErrUnavailable, instance.Name(), err)
	}
	if !response.Msg.GetValid() {
		return 0, fmt.Errorf("%w: right of daemon %s", citronusher.ErrNotFound, instance.Name())
	}
	return time.Duration(response.Msg.GetAge()) * time.Microsecond, nil
}

// FetchUpdate asks a daemon what it knows. Its error wraps ErrUnavailable, ErrNotDelivered or ErrInvalid.
func (c *GroupClient) FetchUpdate(
	ctx context.Context, instance citronusher.Instance, known citronusher.PeerUpdateRequest,
) (citronusher.PeerUpdate, error) {
	response, err := c.client(instance).Learn(ctx, connect.NewRequest(&peerpb.LearnRequest{
		Version: known.Plan, Members: known.Members, Instances: known.Instances, Wait: known.MaxWait.Microseconds(),
	}))
	if err != nil {
		return citronusher.PeerUpdate{}, carryError(instance, err)
	}
	m := response.Msg
	learnt := citronusher.PeerUpdate{
		PlanAge: micros(m.GetPlanAge()), MembersAge: micros(m.GetMembersAge()), WaitedFor: micros(m.GetHeld()),
	}
	if body := m.GetPlan(); len(body) > 0 {
		if err := expand(body, &learnt.Plan); err != nil {
			return learnt, fmt.Errorf("plan of daemon %s: %w", instance.Name(), err)
		}
	}
	if body := m.GetMembers(); len(body) > 0 {
		if err := expand(body, &learnt.Members); err != nil {
			return learnt, fmt.Errorf("members of daemon %s: %w", instance.Name(), err)
		}
	}
	for _, i := range m.GetInstances() {
		learnt.Instances = append(learnt.Instances,
			citronusher.NewInstance(i.GetName(), i.GetPeer(), i.GetDomain(), citronusher.InstanceLive).WithCapacity(i.GetCores()))
	}
	return learnt, nil
}
