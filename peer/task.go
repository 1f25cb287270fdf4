package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"time"

	"connectrpc.com/connect"
	"golang.org/x/sys/unix"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/guard"
	"citronusher.example/citronusher/peer/peerpb"
)

const (
	forwardDialTimeout    = 250 * time.Millisecond // for a connection on which tasks are forwarded
	unacknowledgedTimeout = 1 * time.Second        // without acknowledgement of sent data, after which a connection is closed
	forwardIdleTimeout    = 10 * time.Second       // after which an unused connection is closed
)

// GroupClient calls the other daemons that serve the same groups. It implements citronusher.Peers and
// citronusher.TaskForwarder.
type GroupClient struct {
	http  *http.Client
	timer citronusher.MonotonicClock
}

// NewGroupClient returns a client without connections.
func NewGroupClient(timer citronusher.MonotonicClock) *GroupClient {
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	dialer := &net.Dialer{Timeout: forwardDialTimeout, Control: setUserTimeout}
	transport := &http.Transport{
		Protocols: &protocols, IdleConnTimeout: forwardIdleTimeout,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, &dialError{cause: err}
			}
			return conn, nil
		},
	}
	return &GroupClient{http: &http.Client{Transport: transport}, timer: timer}
}

// setUserTimeout sets TCP_USER_TIMEOUT, so that a connection fails when the other side does not acknowledge sent data within
// unacknowledgedTimeout.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var set error
	err := raw.Control(func(fd uintptr) {
		set = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, //nolint:gosec // a file descriptor fits an int
			int(unacknowledgedTimeout.Milliseconds()))
	})
	return errors.Join(err, set)
}

// Close closes the idle connections.
func (c *GroupClient) Close() error {
	c.http.CloseIdleConnections()
	return nil
}

func (c *GroupClient) client(home citronusher.Instance) peerpb.GroupServiceClient {
	return peerpb.NewGroupServiceClient(c.http, "http://"+home.PeerAddress(), connect.WithReadMaxBytes(maxMessageBytes))
}

// forwardError wraps the error of a call in ErrNotDelivered when the call certainly did not reach the daemon, and in
// ErrUnavailable when it may have. It also wraps ErrRefused when the daemon does not run on its machine.
func forwardError(home citronusher.Instance, err error) error {
	if errors.Is(err, syscall.ECONNREFUSED) && notDelivered(err) {
		return fmt.Errorf("%w: %w: daemon %s", citronusher.ErrNotDelivered, citronusher.ErrRefused, home.Name())
	}
	if notDelivered(err) {
		return fmt.Errorf("%w: daemon %s: %w", citronusher.ErrNotDelivered, home.Name(), err)
	}
	return fmt.Errorf("%w: daemon %s: %w", citronusher.ErrUnavailable, home.Name(), err)
}

// Execute forwards a task to a daemon.
func (c *GroupClient) Execute(
	ctx context.Context, home citronusher.Instance, session citronusher.SessionKey, task citronusher.Task,
) (citronusher.TaskResult, error) {
	response, err := c.client(home).Execute(ctx, connect.NewRequest(toTask(session, task, c.timer.Instant())))
	if err != nil {
		return citronusher.TaskResult{}, forwardError(home, err)
	}
	m := response.Msg
	done := citronusher.TaskResult{
		Answer: citronusher.Answer{
			Payload: m.GetPayload(), Refusal: citronusher.Refusal(m.GetRefusal()),
			State: citronusher.TransactionState(m.GetState()), Position: fromPosition(m.GetPosition()),
		},
		SessionPosition: fromPosition(m.GetSeen()),
		Trace: citronusher.Trace{
			Home: home.Name(), Group: task.Route.Group, Member: m.GetMember(), Term: m.GetTerm(), After: fromPosition(m.GetAfter()),
			Attempts: int(m.GetTries()),
		},
	}
	if m.GetFailure() != nil {
		return done, fromFailure(m.GetFailure())
	}
	return done, nil
}

// Rollback asks a daemon to roll back a session's open transaction.
func (c *GroupClient) Rollback(ctx context.Context, home citronusher.Instance, session citronusher.SessionKey) error {
	_, err := c.client(home).Rollback(ctx, connect.NewRequest(&peerpb.RollbackRequest{
		Instance: session.Instance, Session: session.Number,
	}))
	if err != nil {
		return forwardError(home, err)
	}
	return nil
}

// Ping checks whether a daemon responds.
func (c *GroupClient) Ping(ctx context.Context, home citronusher.Instance) error {
	if _, err := c.client(home).Ping(ctx, connect.NewRequest(&peerpb.PingRequest{})); err != nil {
		return forwardError(home, err)
	}
	return nil
}

// Execute runs a task that another daemon has forwarded.
func (s *GroupServer) Execute(
	_ context.Context, request *connect.Request[peerpb.ExecuteRequest],
) (*connect.Response[peerpb.ExecuteResponse], error) {
	session, task := fromTask(request.Msg, s.timer.Instant())
	done := citronusher.TaskResult{SessionPosition: task.SessionPosition}
	err := error(citronusher.NewUnknown(citronusher.ReasonBroken, "the group's home failed unexpectedly"))
	guard.Run(s.logger, "forwarded task", func() { done, err = s.tasks.Execute(session, task) })
	response := &peerpb.ExecuteResponse{
		Payload: done.Answer.Payload, Refusal: uint32(done.Answer.Refusal), //nolint:gosec // a small number
		State:    uint32(done.Answer.State), //nolint:gosec // a small number
		Position: toPosition(done.Answer.Position), Seen: toPosition(done.SessionPosition), Member: done.Trace.Member,
		Term: done.Trace.Term, After: toPosition(done.Trace.After),
		Tries: uint32(done.Trace.Attempts), //nolint:gosec // a small number
	}
	if err != nil {
		response.Failure = toFailure(citronusher.AsFailure(err))
	}
	return connect.NewResponse(response), nil
}

// Rollback rolls back the open transaction of another daemon's session.
func (s *GroupServer) Rollback(
	_ context.Context, request *connect.Request[peerpb.RollbackRequest],
) (*connect.Response[peerpb.RollbackResponse], error) {
	s.tasks.Rollback(citronusher.SessionKey{Instance: request.Msg.GetInstance(), Number: request.Msg.GetSession()})
	return connect.NewResponse(&peerpb.RollbackResponse{}), nil
}

// Ping returns an empty response.
func (s *GroupServer) Ping(
	context.Context, *connect.Request[peerpb.PingRequest],
) (*connect.Response[peerpb.PingResponse], error) {
	return connect.NewResponse(&peerpb.PingResponse{}), nil
}

// toTask encodes a task. Instants are sent as durations relative to now, because every daemon has its own clock.
func toTask(session citronusher.SessionKey, t citronusher.Task, now citronusher.Instant) *peerpb.ExecuteRequest {
	//nolint:gosec // kinds and parts are small numbers
	return &peerpb.ExecuteRequest{
		Instance: session.Instance, Session: session.Number,
		Route: &peerpb.Route{
			Name: t.Route.Name, Group: t.Route.Group, Consistency: uint32(t.Route.Consistency),
			Age: t.Route.Age.Microseconds(), Limit: t.Route.Limit.Microseconds(), Goal: t.Route.Goal.Microseconds(),
			Priority: int32(t.Route.Priority),
		},
		Statement: &peerpb.GroupStatement{
			Id: t.Statement.ID, Kind: uint32(t.Statement.Kind), Name: t.Statement.Name, Value: t.Statement.Value,
			Writes: t.Statement.Writes, Text: t.Statement.Text,
		},
		Writes: t.Writes, Part: uint32(t.Part), ReadOnly: t.ReadOnly, Values: t.Values,
		Prepared: &peerpb.Definition{Shape: t.Prepared.Text, Writes: t.Prepared.Writes},
		Seen:     toPosition(t.SessionPosition), Arrived: now.Sub(t.ArrivedAt).Microseconds(),
		Began:   now.Sub(t.BeganAt).Microseconds(),
		Version: t.Version, Patience: t.MemberWaitDeadline.Sub(now).Microseconds(),
	}
}

func fromTask(m *peerpb.ExecuteRequest, now citronusher.Instant) (citronusher.SessionKey, citronusher.Task) {
	route, statement, prepared := m.GetRoute(), m.GetStatement(), m.GetPrepared()
	return citronusher.SessionKey{Instance: m.GetInstance(), Number: m.GetSession()}, citronusher.Task{
		Route: citronusher.Route{
			Name: route.GetName(), Group: route.GetGroup(), Consistency: citronusher.Consistency(route.GetConsistency()),
			Age: micros(route.GetAge()), Limit: micros(route.GetLimit()), Goal: micros(route.GetGoal()),
			Priority: int(route.GetPriority()),
		},
		Statement: citronusher.Statement{
			ID: statement.GetId(), Kind: citronusher.StatementKind(statement.GetKind()), Name: statement.GetName(),
			Value: statement.GetValue(), Writes: statement.GetWrites(), Text: statement.GetText(),
		},
		Version: m.GetVersion(), Writes: m.GetWrites(), Part: citronusher.TransactionPart(m.GetPart()), ReadOnly: m.GetReadOnly(),
		Values: m.GetValues(),
		Prepared: citronusher.PreparedStatement{
			Text: prepared.GetShape(), Writes: prepared.GetWrites(),
		},
		SessionPosition: fromPosition(m.GetSeen()), ArrivedAt: now.Add(-micros(m.GetArrived())),
		BeganAt:            now.Add(-micros(m.GetBegan())),
		MemberWaitDeadline: now.Add(micros(m.GetPatience())),
	}
}

func micros(n int64) time.Duration { return time.Duration(n) * time.Microsecond }
