// Package pg implements the PostgreSQL protocol, as a client of targets and as a server for callers, with the codec
// pgproto3.
//
// It tracks how much of a request was sent, so that a request on a lost connection is reported as not run only if it
// cannot have taken effect, and as unknown otherwise. Routing and retries are decided by other packages.
package pg

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"citronusher.example/citronusher"
)

const (
	maxPreparedStatements  = 500                    // prepared statements on one connection before it is replaced
	cancelTimeout          = 1 * time.Second        // for the answer to a request after its cancellation
	cancelSendTimeout      = 500 * time.Millisecond // for sending a cancel request
	codeTooManyConnections = "53300"
)

// CodeReadOnly is the SQLSTATE with which a replica rejects a write.
const CodeReadOnly = "25006"

// Login holds the credentials, application name and TLS settings for connections to targets.
type Login struct {
	user     string
	password string
	name     string
	tls      *tls.Config
}

// NewLogin returns a login with user and password; name is sent to targets as the application name. A nil config means
// plain TCP.
func NewLogin(user, password, name string, config *tls.Config) Login {
	return Login{user: user, password: password, name: name, tls: config}
}

// config returns the pgconn settings for one target.
func (l Login) config(address, database string) (*pgconn.Config, error) {
	config, err := pgconn.ParseConfig("sslmode=disable")
	if err != nil {
		return nil, fmt.Errorf("target settings: %w", err)
	}
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return nil, fmt.Errorf("target address: %w", err)
	}
	if _, err := fmt.Sscan(port, &config.Port); err != nil {
		return nil, fmt.Errorf("target port: %w", err)
	}
	config.Host, config.User, config.Password, config.Database = host, l.user, l.password, database
	config.TLSConfig = l.tls
	config.Fallbacks = nil
	config.RuntimeParams = map[string]string{"application_name": l.name}
	return config, nil
}

// Connect opens a pgconn connection to a target, for control statements.
func (l Login) Connect(ctx context.Context, address, database string) (*pgconn.PgConn, error) {
	config, err := l.config(address, database)
	if err != nil {
		return nil, err
	}
	return pgconn.ConnectConfig(ctx, config)
}

// Conn is one connection to a target. It is used by one goroutine at a time.
type Conn struct {
	conn       net.Conn
	frontend   *pgproto3.Frontend
	address    string
	processID  uint32
	secretKey  []byte
	status     byte
	discarding bool // the target discards messages until Sync, because of an error
	unsynced   bool // an exchange ended with Flush: its implicit transaction is open until Sync
	prepared   map[string]bool
	dirty      bool // carries session state or is in an unknown protocol state: must not be reused
}

// Dial opens a connection to a target. Its error is a *citronusher.Failure with the outcome not run.
func (l Login) Dial(ctx context.Context, address, database string) (*Conn, error) {
	library, err := l.Connect(ctx, address, database)
	if err != nil {
		return nil, dialFailure(address, err)
	}
	hijacked, err := library.Hijack()
	if err != nil {
		return nil, dialFailure(address, err)
	}
	return &Conn{
		conn: hijacked.Conn, frontend: hijacked.Frontend, address: address, processID: hijacked.PID,
		secretKey: hijacked.SecretKey, status: hijacked.TxStatus, prepared: map[string]bool{},
	}, nil
}

// dialFailure returns the failure for a connection that could not be opened.
func dialFailure(address string, err error) error {
	if ConnectionLimitReached(err) {
		return citronusher.NewNotRun(citronusher.ReasonLimit, "target %s has reached its connection limit", address)
	}
	return citronusher.NewNotRun(citronusher.ReasonConnect, "connect to target %s: %v", address, err)
}

// ConnectionLimitReached reports whether err is a target's answer that its connection limit is reached.
func ConnectionLimitReached(err error) bool {
	var answer *pgconn.PgError
	return errors.As(err, &answer) && answer.Code == codeTooManyConnections
}

// ConnectionRefused reports whether a connection failed with ECONNREFUSED, so that no process listens at the address.
func ConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// Usable reports whether the connection may be used for another request: it is outside a transaction, carries no
// session state, has room for prepared statements, and the target has not closed it.
func (c *Conn) Usable() bool {
	inTransaction := c.status != StatusIdle || c.unsynced || c.discarding
	return !c.dirty && !inTransaction && len(c.prepared) < maxPreparedStatements && c.idleSocket()
}

// idleSocket reports whether the socket is open and holds no unread byte.
func (c *Conn) idleSocket() bool {
	inner := c.conn
	if wrapped, ok := inner.(*tls.Conn); ok {
		inner = wrapped.NetConn()
	}
	source, ok := inner.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return false
	}
	idleSocket := false
	var peek [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), peek[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		idleSocket = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && idleSocket
}

// Status returns the transaction status byte of the last ReadyForQuery.
func (c *Conn) Status() byte { return c.status }

// cancel sends the target a cancel request for the running statement. Errors are ignored: the request is best effort.
func (c *Conn) cancel() {
	ctx, stop := context.WithTimeout(context.Background(), cancelSendTimeout)
	defer stop()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", c.address)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	request, err := (&pgproto3.CancelRequest{ProcessID: c.processID, SecretKey: c.secretKey}).Encode(nil)
	if err != nil {
		return
	}
	_, _ = conn.Write(request)
}

// Interrupt closes the socket, so that an exchange in progress fails. It may be called while another goroutine uses the
// connection.
func (c *Conn) Interrupt() { _ = c.conn.Close() }

// Close closes the connection; the target rolls back an open transaction.
func (c *Conn) Close() error {
	c.dirty = true
	return c.conn.Close()
}
