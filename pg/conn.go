// Package pg speaks the PostgreSQL protocol: to targets as a client, and to callers as a server. The codec is pgproto3.
//
// It tracks how far a request's bytes went, so that a broken connection ends as not run or unknown truthfully. It never
// decides where a request goes or whether it is repeated.
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
	maxPrepared = 500                    // prepared statements kept on one connection
	cancelWait  = 1 * time.Second        // how long a cancelled request may still answer
	cancelLimit = 500 * time.Millisecond // for sending a cancel request
	codeTooMany = "53300"
)

// CodeReadOnly is the SQLSTATE with which a replica refuses a write.
const CodeReadOnly = "25006"

// Login is how the daemon signs in to targets.
type Login struct {
	user     string
	password string
	name     string
	tls      *tls.Config
}

// NewLogin returns the credentials of user; name is the application name that targets see. config is nil for plain TCP.
func NewLogin(user, password, name string, config *tls.Config) Login {
	return Login{user: user, password: password, name: name, tls: config}
}

// config returns the library's settings for one target.
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

// Connect opens a library connection to a target, for control statements.
func (l Login) Connect(ctx context.Context, address, database string) (*pgconn.PgConn, error) {
	config, err := l.config(address, database)
	if err != nil {
		return nil, err
	}
	return pgconn.ConnectConfig(ctx, config)
}

// Conn is one connection to a target. It is used by one goroutine at a time.
type Conn struct {
	conn     net.Conn
	frontend *pgproto3.Frontend
	address  string
	process  uint32
	secret   []byte
	status   byte
	skipping bool // after an error the target ignores messages until Sync
	prepared map[string]bool
	dirty    bool // must not serve another request
}

// Dial opens a connection to a target. Its error is a *citronusher.Failure that did not run.
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
		conn: hijacked.Conn, frontend: hijacked.Frontend, address: address, process: hijacked.PID,
		secret: hijacked.SecretKey, status: hijacked.TxStatus, prepared: map[string]bool{},
	}, nil
}

func dialFailure(address string, err error) error {
	if Busy(err) {
		return citronusher.NewNotRun(citronusher.ReasonLimit, "target %s has no connection left", address)
	}
	return citronusher.NewNotRun(citronusher.ReasonConnect, "no connection to target %s: %v", address, err)
}

// Busy reports whether err says that a target is alive but has no connection left.
func Busy(err error) bool {
	var answer *pgconn.PgError
	return errors.As(err, &answer) && answer.Code == codeTooMany
}

// Refused reports whether err says that a machine refused the connection, so that no process listens there.
func Refused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// Usable reports whether the connection may serve another request: it is idle, carries no session state and the target
// has not closed it.
func (c *Conn) Usable() bool {
	return !c.dirty && c.status == StatusIdle && !c.skipping && len(c.prepared) < maxPrepared && c.quiet()
}

// quiet reports whether the socket is open and holds no unread byte.
func (c *Conn) quiet() bool {
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
	quiet := false
	var peek [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), peek[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// Status returns the transaction status byte of the last ReadyForQuery.
func (c *Conn) Status() byte { return c.status }

// cancel asks the target to cancel what the connection runs.
func (c *Conn) cancel() {
	ctx, stop := context.WithTimeout(context.Background(), cancelLimit)
	defer stop()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", c.address)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	request, err := (&pgproto3.CancelRequest{ProcessID: c.process, SecretKey: c.secret}).Encode(nil)
	if err != nil {
		return
	}
	_, _ = conn.Write(request)
}

// Break makes the exchange in progress fail. It may be called while another goroutine uses the connection.
func (c *Conn) Break() { _ = c.conn.Close() }

// Close drops the connection; the target rolls back what is open on it.
func (c *Conn) Close() error {
	c.dirty = true
	return c.conn.Close()
}
