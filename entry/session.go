package entry

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/events"
	"citronusher.example/citronusher/pg"
	"citronusher.example/citronusher/session"
)

const (
	writeTimeout    = 30 * time.Second // for writing a part of an answer to a caller
	flushSize       = 32 << 10         // bytes of an answer that are written at once
	homeIdleTimeout = 10 * time.Second // after which an unused connection to a home is closed
)

// countingReader counts the bytes that were read since the last complete exchange, to distinguish an idle session from
// one in the middle of a message.
type countingReader struct {
	conn    net.Conn
	pending int
}

func (r *countingReader) Read(p []byte) (int, error) {
	n, err := r.conn.Read(p)
	r.pending += n
	return n, err
}

// callerSession is one caller's connection. Its loop is the only user of the fields that mu does not guard.
type callerSession struct {
	entry     *Entry
	conn      net.Conn
	reader    *countingReader
	backend   *pgproto3.Backend
	user      string
	caller    string
	database  string
	processID uint32
	secret    uint32

	session      *session.Session
	profile      string
	request      string // identity of the next non-repeatable request
	statements   map[string]citronusher.Message
	status       byte
	aborted      bool // the open transaction's target connection was lost
	hop          Hop
	databaseConn citronusher.DatabaseConn
	pinned       bool
	partial      bool // the last exchange ended with Flush
	out          []byte
	streamed     bool
	exchange     collector

	mu      sync.Mutex
	running context.CancelFunc
}

// cancelRunning cancels the request in progress.
func (s *callerSession) cancelRunning() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running != nil {
		s.running()
	}
}

// interruptRead interrupts a session that waits for its caller, so that it checks whether the entry drains.
func (s *callerSession) interruptRead() { _ = s.conn.SetReadDeadline(time.Now()) }

// loop serves exchanges until the connection ends.
func (s *callerSession) loop() {
	s.status = pg.StatusIdle
	for {
		message, err := s.receive()
		if err != nil {
			s.closeAfter(err)
			return
		}
		if _, ok := message.(*pgproto3.Terminate); ok {
			return
		}
		complete, err := s.exchange.add(message, s.statements)
		if err != nil {
			err = s.failMessage(citronusher.AsFailure(err))
		}
		if err != nil {
			return
		}
		if !complete {
			continue
		}
		if err := s.serveExchange(); err != nil {
			events.Log(s.entry.config.Logger, events.CallerFailed, "user", s.user, "error", err)
			return
		}
		s.reader.pending = 0
	}
}

// failMessage sends the failure of an invalid message. The caller's messages are discarded until Sync.
func (s *callerSession) failMessage(f *citronusher.Failure) error {
	s.entry.config.Meter.CountFailure(f)
	s.exchange = collector{discarding: true}
	if err := s.send(pg.ErrorMessage(f, "ERROR")); err != nil {
		return err
	}
	return s.flush()
}

// errDraining ends an idle session of a draining entry, and errStopping a session with an open transaction when the entry
// closes; errIdle ends a session whose transaction was idle too long.
var (
	errDraining = errors.New("the entry is draining")
	errStopping = errors.New("the entry is closing")
	errIdle     = errors.New("the transaction was idle too long")
)

// receive reads the next message. The wait is interrupted by a drain, by the idle timeout of a transaction, and to close
// an unused connection to a home.
func (s *callerSession) receive() (pgproto3.FrontendMessage, error) {
	idleDeadline := time.Now().Add(s.entry.config.Idle)
	for {
		idle := s.reader.pending == 0 && s.exchange.empty()
		if idle && !s.open() && s.entry.isDraining() {
			return nil, errDraining
		}
		s.armDeadline(idle, idleDeadline)
		message, err := s.backend.Receive()
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return message, err
		}
		switch {
		case s.open() && s.entry.ctx.Err() != nil:
			return nil, errStopping
		case s.open() && !time.Now().Before(idleDeadline):
			return nil, errIdle
		case !s.open() && s.reader.pending == 0:
			s.closeConn()
		}
	}
}

// armDeadline sets the read deadline for the next message.
func (s *callerSession) armDeadline(idle bool, idleDeadline time.Time) {
	deadline := time.Time{}
	switch {
	case s.open():
		deadline = idleDeadline
	case idle && s.databaseConn != nil:
		deadline = time.Now().Add(homeIdleTimeout)
	}
	_ = s.conn.SetReadDeadline(deadline)
	interrupted := s.entry.isDraining() && !s.open() || s.entry.ctx.Err() != nil
	if interrupted && s.reader.pending == 0 {
		s.interruptRead() // a drain or a close that began before the deadline was set
	}
}

// open reports whether a transaction is open.
func (s *callerSession) open() bool { return s.pinned || s.status != pg.StatusIdle }

// closeAfter sends the caller the failure for err, if there is one, before the session ends.
func (s *callerSession) closeAfter(err error) {
	switch {
	case errors.Is(err, errDraining):
		s.fatal(citronusher.NewNotRun(citronusher.ReasonLeaving,
			"the daemon is stopping and the session is idle; connect again to reach another"))
	case errors.Is(err, errStopping):
		s.fatal(citronusher.NewNotRun(citronusher.ReasonLeaving,
			"the daemon is stopping and the transaction is rolled back; connect again to reach another"))
	case errors.Is(err, errIdle):
		s.fatal(citronusher.NewNotRun(citronusher.ReasonDeadline,
			"the transaction was idle too long and is rolled back"))
	default:
		var oversized *pgproto3.ExceededMaxBodyLenErr
		if errors.As(err, &oversized) {
			s.fatal(citronusher.NewNotRun(citronusher.ReasonInput, "message of %d bytes is too large (allowed: up to %d bytes)",
				oversized.ActualBodyLen, maxMessage))
		}
	}
}

// fatal sends an error that ends the session.
func (s *callerSession) fatal(f *citronusher.Failure) {
	s.entry.config.Meter.CountFailure(f)
	_ = s.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	s.backend.Send(pg.ErrorMessage(f, "FATAL"))
	_ = s.backend.Flush()
}

// sink buffers encoded answers and writes them once flushSize is reached.
func (s *callerSession) sink(raw []byte) error {
	s.out = append(s.out, raw...)
	if len(s.out) < flushSize {
		return nil
	}
	return s.flush()
}

func (s *callerSession) flush() error {
	if len(s.out) == 0 {
		return nil
	}
	_ = s.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := s.conn.Write(s.out)
	s.out = s.out[:0]
	s.streamed = true
	return err
}

// send appends messages to the answer.
func (s *callerSession) send(messages ...pgproto3.BackendMessage) error {
	for _, message := range messages {
		raw, err := message.Encode(s.out)
		if err != nil {
			return err
		}
		s.out = raw
	}
	return nil
}

// finish sends ReadyForQuery, unless the exchange ended with Flush, and writes the buffered answer.
func (s *callerSession) finish(partial bool) error {
	if !partial {
		if err := s.send(&pgproto3.ReadyForQuery{TxStatus: s.status}); err != nil {
			return err
		}
	}
	return s.flush()
}

// closeConn closes the connection to the home, which rolls back an open transaction.
func (s *callerSession) closeConn() {
	if s.databaseConn != nil {
		_ = s.databaseConn.Close()
	}
	s.databaseConn, s.hop, s.pinned = nil, Hop{}, false
}
