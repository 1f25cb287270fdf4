package entry

import (
	"context"
	"crypto/tls"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/events"
	"citronusher.example/citronusher/pg"
	"citronusher.example/citronusher/profile"
	"citronusher.example/citronusher/session"
)

const (
	startupTimeout = 10 * time.Second // for TLS, start-up message and authentication
	maxMessage     = 16 << 20         // bytes of one message from a caller
	mechanism      = "SCRAM-SHA-256"
	serverVersion  = "15.0 (citronusher)"
	secretSize     = 4 // bytes of a cancel request's secret
)

// errStartup ends a connection without an error message: its socket failed, or it was a cancel request.
var errStartup = errors.New("connection ended during start-up")

// serve handles one connection from start-up to its end.
func (e *Entry) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(startupTimeout))
	s := &callerSession{entry: e, conn: conn, statements: map[string]citronusher.Message{}}
	start, err := s.receiveStart()
	if err != nil {
		s.reject(err)
		return
	}
	if err := s.authenticate(start); err != nil {
		events.Log(e.config.Logger, events.AuthenticationFailed, "user", start.Parameters["user"],
			"remote", conn.RemoteAddr().String(), "error", err)
		s.reject(err)
		return
	}
	if err := s.configure(start.Parameters); err != nil {
		s.reject(err)
		return
	}
	if !e.register(s) {
		s.reject(citronusher.NewNotRun(citronusher.ReasonLeaving, "the daemon is stopping; connect again to reach another"))
		return
	}
	defer e.unregister(s)
	_ = conn.SetDeadline(time.Time{})
	s.finishStartup()
	s.loop()
	s.closeConn()
}

// receiveStart reads the start-up message, after a TLS handshake if the caller requests one. It handles cancel requests.
func (s *callerSession) receiveStart() (*pgproto3.StartupMessage, error) {
	s.reader = &countingReader{conn: s.conn}
	s.backend = pgproto3.NewBackend(s.reader, s.conn)
	s.backend.SetMaxBodyLen(maxMessage)
	for {
		message, err := s.backend.ReceiveStartupMessage()
		if err != nil {
			return nil, citronusher.NewNotRun(citronusher.ReasonInput, "malformed start-up message: %v", err)
		}
		switch m := message.(type) {
		case *pgproto3.StartupMessage:
			return m, nil
		case *pgproto3.CancelRequest:
			if len(m.SecretKey) == secretSize {
				s.entry.cancelAnywhere(m.ProcessID, binary.BigEndian.Uint32(m.SecretKey))
			}
			return nil, errStartup
		case *pgproto3.SSLRequest:
			if err := s.upgrade(); err != nil {
				return nil, err
			}
		case *pgproto3.GSSEncRequest:
			if _, err := s.conn.Write([]byte{'N'}); err != nil {
				return nil, errStartup
			}
		}
	}
}

// upgrade answers a request for TLS, with a handshake if TLS is configured.
func (s *callerSession) upgrade() error {
	if s.entry.config.TLS == nil {
		if _, err := s.conn.Write([]byte{'N'}); err != nil {
			return errStartup
		}
		return nil
	}
	if _, err := s.conn.Write([]byte{'S'}); err != nil {
		return errStartup
	}
	secure := tls.Server(s.conn, s.entry.config.TLS)
	ctx, cancel := context.WithTimeout(s.entry.ctx, startupTimeout)
	defer cancel()
	if err := secure.HandshakeContext(ctx); err != nil {
		return errStartup
	}
	s.conn = secure
	s.reader = &countingReader{conn: s.conn}
	s.backend = pgproto3.NewBackend(s.reader, s.conn)
	s.backend.SetMaxBodyLen(maxMessage)
	return nil
}

// authenticate authenticates the caller by SCRAM-SHA-256.
func (s *callerSession) authenticate(start *pgproto3.StartupMessage) error {
	user := start.Parameters["user"]
	conversation, err := s.entry.users.conversation(user)
	if err != nil {
		return citronusher.NewNotRun(citronusher.ReasonAuth, "authentication of user %q failed", user)
	}
	s.backend.Send(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{mechanism}})
	if err := s.backend.Flush(); err != nil {
		return errStartup
	}
	if err := s.backend.SetAuthType(pgproto3.AuthTypeSASL); err != nil {
		return fmt.Errorf("authentication: %w", err)
	}
	message, err := s.backend.Receive()
	if err != nil {
		return errStartup
	}
	first, ok := message.(*pgproto3.SASLInitialResponse)
	if !ok || first.AuthMechanism != mechanism {
		return citronusher.NewNotRun(citronusher.ReasonAuth, "authentication requires %s", mechanism)
	}
	challenge, err := conversation.Step(string(first.Data))
	if err != nil {
		return citronusher.NewNotRun(citronusher.ReasonAuth, "authentication of user %q failed", user)
	}
	s.backend.Send(&pgproto3.AuthenticationSASLContinue{Data: []byte(challenge)})
	if err := s.backend.Flush(); err != nil {
		return errStartup
	}
	if err := s.backend.SetAuthType(pgproto3.AuthTypeSASLContinue); err != nil {
		return fmt.Errorf("authentication: %w", err)
	}
	message, err = s.backend.Receive()
	if err != nil {
		return errStartup
	}
	second, ok := message.(*pgproto3.SASLResponse)
	if !ok {
		return citronusher.NewNotRun(citronusher.ReasonAuth, "authentication of user %q failed", user)
	}
	proof, err := conversation.Step(string(second.Data))
	if err != nil || !conversation.Valid() {
		return citronusher.NewNotRun(citronusher.ReasonAuth, "password authentication failed for user %q", user)
	}
	s.user = user
	s.backend.Send(&pgproto3.AuthenticationSASLFinal{Data: []byte(proof)})
	s.backend.Send(&pgproto3.AuthenticationOk{})
	return nil
}

// configure applies the start-up parameters to the session.
func (s *callerSession) configure(parameters map[string]string) error {
	s.database = parameters["database"]
	if s.database == "" {
		s.database = s.user
	}
	if _, ok := s.entry.config.Document().Database(s.database); !ok {
		return citronusher.NewNotRun(citronusher.ReasonDatabase, "database %q does not exist", s.database)
	}
	options := parseOptions(parameters["options"])
	for _, name := range []string{"session", "token", "profile", "request"} {
		if value, ok := parameters[settingPrefix+name]; ok {
			options[settingPrefix+name] = value
		}
	}
	s.session = session.New(options[settingPrefix+"session"])
	s.profile = profile.Fresh
	for name, value := range options {
		if setting, ok := strings.CutPrefix(name, settingPrefix); ok && setting != "session" {
			if err := s.set(setting, value); err != nil {
				return err
			}
		}
	}
	s.caller = s.user + "/" + parameters["application_name"]
	if parameters["application_name"] == "" {
		host, _, _ := net.SplitHostPort(s.conn.RemoteAddr().String())
		s.caller = s.user + "/" + host
	}
	return nil
}

// parseOptions parses the start-up parameter options, of the forms -c name=value and --name=value.
func parseOptions(text string) map[string]string {
	options := map[string]string{}
	for _, field := range strings.Fields(text) {
		field = strings.TrimPrefix(strings.TrimPrefix(field, "--"), "-c")
		if name, value, ok := strings.Cut(field, "="); ok {
			options[name] = value
		}
	}
	return options
}

// reject sends the error that ends the connection, unless it is errStartup.
func (s *callerSession) reject(err error) {
	if errors.Is(err, errStartup) || s.backend == nil {
		return
	}
	failure := citronusher.AsFailure(err)
	s.entry.config.Meter.CountFailure(failure)
	s.backend.Send(pg.ErrorMessage(failure, "FATAL"))
	_ = s.backend.Flush()
}

// finishStartup sends the parameters and the cancellation key that end the start-up.
func (s *callerSession) finishStartup() {
	for _, parameter := range []pgproto3.ParameterStatus{
		{Name: "server_version", Value: serverVersion},
		{Name: "server_encoding", Value: "UTF8"},
		{Name: "client_encoding", Value: "UTF8"},
		{Name: "DateStyle", Value: "ISO, MDY"},
		{Name: "TimeZone", Value: "UTC"},
		{Name: "integer_datetimes", Value: "on"},
		{Name: "standard_conforming_strings", Value: "on"},
		{Name: settingPrefix + "token", Value: s.session.Token()},
	} {
		s.backend.Send(&parameter)
	}
	secret := binary.BigEndian.AppendUint32(nil, s.secret)
	s.backend.Send(&pgproto3.BackendKeyData{ProcessID: s.processID, SecretKey: secret})
	s.backend.Send(&pgproto3.ReadyForQuery{TxStatus: pg.StatusIdle})
	_ = s.backend.Flush()
}
