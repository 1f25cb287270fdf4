package entry_test

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"io"
	"log/slog"
	"math/big"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"go.uber.org/goleak"
	"golang.org/x/sync/errgroup"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/entry"
	"citronusher.example/citronusher/meter"
	"citronusher.example/citronusher/pg"
	"citronusher.example/citronusher/profile"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeHome answers each exchange according to the next element of its script: a failure, or nil for a successful answer.
type fakeHome struct {
	mu     sync.Mutex
	script []error
	asked  []citronusher.Request
	closed int

	cancelled atomic.Int32 // cancel requests that the entry's router got
}

func (h *fakeHome) Open(context.Context, string) (citronusher.DatabaseConn, error) {
	return &fakeWork{home: h}, nil
}

type fakeWork struct {
	home *fakeHome
	open bool
}

func (w *fakeWork) Do(ctx context.Context, r citronusher.Request, sink citronusher.Sink) (citronusher.Result, error) {
	if pg.StatementText(r.Exchange.Messages[0]) == "SLOW" {
		<-ctx.Done()
		return citronusher.Result{}, citronusher.NewUnknown(citronusher.ReasonCancel, "cancelled")
	}
	w.home.mu.Lock()
	defer w.home.mu.Unlock()
	w.home.asked = append(w.home.asked, r)
	if len(w.home.script) > 0 {
		err := w.home.script[0]
		w.home.script = w.home.script[1:]
		if err != nil {
			return citronusher.Result{}, err
		}
	}
	sql := pg.StatementText(r.Exchange.Messages[0])
	switch {
	case strings.HasPrefix(strings.ToUpper(sql), "BEGIN"):
		w.open = true
	case strings.HasPrefix(strings.ToUpper(sql), "COMMIT"):
		w.open = false
	}
	for _, step := range r.Exchange.Messages {
		var m pgproto3.BackendMessage
		switch step.Kind {
		case pg.StepParse:
			m = &pgproto3.ParseComplete{}
		case pg.StepBind:
			m = &pgproto3.BindComplete{}
		case pg.StepDescribe:
			m = &pgproto3.NoData{}
		case pg.StepQuery, pg.StepExecute:
			m = &pgproto3.CommandComplete{CommandTag: []byte("INSERT 0 1")}
		default:
			continue
		}
		raw, err := m.Encode(nil)
		if err != nil {
			return citronusher.Result{}, err
		}
		if err := sink(raw); err != nil {
			return citronusher.Result{}, err
		}
	}
	status := pg.StatusIdle
	if w.open {
		status = pg.StatusActive
	}
	position := citronusher.NewPosition(1, uint64(len(w.home.asked)))
	return citronusher.Result{Status: status, Pinned: w.open || r.Exchange.Partial, Position: position}, nil
}

func (w *fakeWork) Close() error {
	w.home.mu.Lock()
	defer w.home.mu.Unlock()
	w.home.closed++
	return nil
}

// fakeRouter returns fixed hops.
type fakeRouter struct {
	hops      []entry.Hop
	cancelled *atomic.Int32 // cancel requests that were forwarded
}

func (r fakeRouter) Route(string, string, bool) []entry.Hop         { return r.hops }
func (r fakeRouter) PeerFailed(string)                              {}
func (r fakeRouter) Cancel(context.Context, uint16, uint32, uint32) { r.cancelled.Add(1) }

// newEntry starts an entry that forwards to two fake homes.
func newEntry(t *testing.T, config *tls.Config) (*entry.Entry, *fakeHome, *fakeHome) {
	t.Helper()
	first, second := &fakeHome{}, &fakeHome{}
	document, err := profile.New().Edit(profile.PartTarget, "guide-1", 0,
		[]byte(`{"connections": 16, "slots": 2, "members": [{"name": "m1", "address": "127.0.0.1:1", "domain": "oita"}]}`))
	if err != nil {
		t.Fatal(err)
	}
	e, err := entry.New(entry.Config{
		Self: "d1", Address: "127.0.0.1:0", TLS: config, Idle: time.Minute, Clock: citronusher.SystemClock{},
		Password: func(user string) (string, bool) { return "caller", user == "caller" },
		Document: func() profile.Document { return document },
		Router: fakeRouter{
			hops:      []entry.Hop{entry.NewHop("d1", first, true), entry.NewHop("d2", second, false)},
			cancelled: &first.cancelled,
		},
		Logger: slog.New(slog.DiscardHandler), Meter: meter.New(),
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = e.Close() })
	return e, first, second
}

func dial(t *testing.T, e *entry.Entry, options string) *pgx.Conn {
	t.Helper()
	config, err := pgx.ParseConfig("postgres://caller:caller@" + e.Address() + "/guide-1?sslmode=disable")
	if err != nil {
		t.Fatal(err)
	}
	if options != "" {
		config.RuntimeParams["options"] = options
	}
	conn, err := pgx.ConnectConfig(context.Background(), config)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

func state(err error) string {
	var answer *pgconn.PgError
	if errors.As(err, &answer) {
		return answer.Code + " " + answer.Detail
	}
	return ""
}

// TestNotRunIsRetriedAtAnotherHome guards against a request that fails although it did not run and another home could run
// it.
func TestNotRunIsRetriedAtAnotherHome(t *testing.T) {
	e, first, second := newEntry(t, nil)
	first.script = []error{citronusher.NewNotRun(citronusher.ReasonClosed, "x")}
	if _, err := dial(t, e, "").Exec(context.Background(), "INSERT"); err != nil {
		t.Fatal(err)
	}
	if len(first.asked) != 1 || len(second.asked) != 1 {
		t.Errorf("asked %d and %d times", len(first.asked), len(second.asked))
	}
}

// TestUnknownIsReportedAndNotRetried guards against a retry of a request that may have run: a write could take effect
// twice.
func TestUnknownIsReportedAndNotRetried(t *testing.T) {
	e, first, second := newEntry(t, nil)
	first.script = []error{citronusher.NewUnknown(citronusher.ReasonBroken, "x")}
	_, err := dial(t, e, "").Exec(context.Background(), "INSERT")
	if state(err) != "08007 outcome: unknown; reason: broken" {
		t.Errorf("error %v, %s", err, state(err))
	}
	if len(first.asked)+len(second.asked) != 1 {
		t.Error("a request with an unknown outcome was retried")
	}
}

// TestUnknownStaysUnknownAfterRetries guards against a request that may have run and is reported as not run, because a
// retry of it did not run. Only the marker tells that no attempt did.
func TestUnknownStaysUnknownAfterRetries(t *testing.T) {
	unknown := citronusher.NewUnknown(citronusher.ReasonPeer, "x")
	for name, c := range map[string]struct {
		last error
		want string
	}{
		"rejected retry":   {citronusher.NewNotRun(citronusher.ReasonQueue, "x"), "08007 outcome: unknown; reason: peer"},
		"void marker":      {citronusher.NewNotRun(citronusher.ReasonRepeat, "x"), "UC002 outcome: not run; reason: repeat"},
		"successful retry": {nil, ""},
	} {
		t.Run(name, func(t *testing.T) {
			e, first, second := newEntry(t, nil)
			first.script, second.script = []error{unknown}, []error{c.last}
			conn := dial(t, e, "-c citronusher.profile=never -c citronusher.request=order-1")
			if _, err := conn.Exec(context.Background(), "INSERT"); state(err) != c.want {
				t.Errorf("%s, want %s", state(err), c.want)
			}
			if len(first.asked) != 1 || len(second.asked) != 1 {
				t.Errorf("asked %d and %d times", len(first.asked), len(second.asked))
			}
		})
	}
}

// TestClosingStatementsNeedsNoHome guards against a Close message that is rejected because the target is overloaded. A
// driver that received such an error no longer matched answers to its requests. The entry must answer it without a home.
func TestClosingStatementsNeedsNoHome(t *testing.T) {
	e, first, second := newEntry(t, nil)
	conn := dial(t, e, "")
	if _, err := conn.Prepare(context.Background(), "s1", "INSERT"); err != nil {
		t.Fatal(err)
	}
	asked := len(first.asked) + len(second.asked)
	if err := conn.Deallocate(context.Background(), "s1"); err != nil {
		t.Error(err)
	}
	if len(first.asked)+len(second.asked) != asked {
		t.Error("a home was asked to close a statement")
	}
}

// TestLostTransactionMustBeEnded guards against statements that run outside their transaction after it lost its
// connection: they must be rejected until the caller ends the transaction.
func TestLostTransactionMustBeEnded(t *testing.T) {
	e, first, _ := newEntry(t, nil)
	first.script = []error{nil, citronusher.NewNotRun(citronusher.ReasonBroken, "x")}
	conn := dial(t, e, "")
	ctx := context.Background()
	if _, err := conn.Exec(ctx, "BEGIN"); err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Exec(ctx, "INSERT"); state(err) != "57P03 outcome: not run; reason: broken" {
		t.Errorf("statement: %s", state(err))
	}
	if _, err := conn.Exec(ctx, "INSERT"); state(err) != "25P02 outcome: not run; reason: gone" {
		t.Errorf("later statement: %s", state(err))
	}
	if tag, err := conn.Exec(ctx, "COMMIT"); err != nil || tag.String() != "ROLLBACK" {
		t.Errorf("commit: %s %v", tag, err)
	}
	if _, err := conn.Exec(ctx, "INSERT"); err != nil {
		t.Errorf("after the transaction: %v", err)
	}
	if len(first.asked) != 3 {
		t.Errorf("the home was asked %d times", len(first.asked))
	}
}

// TestLostFlushIsNoTransaction guards against a session that must end a transaction which it has never begun: it lost its
// connection between a Flush and Sync, outside an explicit transaction.
func TestLostFlushIsNoTransaction(t *testing.T) {
	e, first, _ := newEntry(t, nil)
	first.script = []error{nil, citronusher.NewNotRun(citronusher.ReasonBroken, "x")}
	conn := dial(t, e, "")
	pipeline := conn.PgConn().StartPipeline(t.Context())
	pipeline.SendQueryParams("INSERT", nil, nil, nil, nil)
	pipeline.SendFlushRequest()
	if err := pipeline.Flush(); err != nil {
		t.Fatal(err)
	}
	if _, err := pipeline.GetResults(); err != nil {
		t.Fatal(err)
	}
	pipeline.SendQueryParams("INSERT", nil, nil, nil, nil)
	if err := pipeline.Sync(); err != nil {
		t.Fatal(err)
	}
	if err := pipeline.Close(); state(err) != "57P03 outcome: not run; reason: broken" {
		t.Errorf("second statement: %v", err)
	}
	if status := conn.PgConn().TxStatus(); status != pg.StatusIdle {
		t.Errorf("status %c after the loss", status)
	}
	if _, err := conn.Exec(t.Context(), "INSERT"); err != nil {
		t.Errorf("after the loss: %v", err)
	}
}

// TestTokenFollowsTheSession guards against stale reads in a session that continues with a token: the home must receive the
// token's position, and an older position must not replace it.
func TestTokenFollowsTheSession(t *testing.T) {
	e, first, _ := newEntry(t, nil)
	conn := dial(t, e, "-c citronusher.session=editor -c citronusher.token=guide-1=1/7")
	if _, err := conn.Exec(context.Background(), "INSERT"); err != nil {
		t.Fatal(err)
	}
	if got := first.asked[0]; !got.PositionKnown || got.MinPosition != citronusher.NewPosition(1, 7) {
		t.Errorf("the home received position %s, known %t", got.MinPosition, got.PositionKnown)
	}
	if token := conn.PgConn().ParameterStatus("citronusher.token"); token != "guide-1=1/7" {
		t.Errorf("the caller received token %q", token)
	}
}

// TestTLS guards against a broken TLS upgrade: a caller connects over TLS, with a self-signed certificate.
func TestTLS(t *testing.T) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour)}
	certificate, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	pair := tls.Certificate{Certificate: [][]byte{certificate}, PrivateKey: key}
	e, _, _ := newEntry(t, &tls.Config{Certificates: []tls.Certificate{pair}, MinVersion: tls.VersionTLS12})
	conn, err := pgx.Connect(context.Background(), "postgres://caller:caller@"+e.Address()+"/guide-1?sslmode=require")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close(context.Background()) }()
	if _, err := conn.Exec(context.Background(), "INSERT"); err != nil {
		t.Error(err)
	}
}

// TestBadInputCostsOneError guards against malformed input that affects other callers. Invalid start-up messages and
// statements each get one error, and other callers are still served.
func TestBadInputCostsOneError(t *testing.T) {
	e, _, _ := newEntry(t, nil)
	other := dial(t, e, "")
	for name, c := range map[string]struct{ url, want string }{
		"wrong password":   {"postgres://caller:wrong@%s/guide-1", "28P01"},
		"unknown user":     {"postgres://nobody:wrong@%s/guide-1", "28P01"},
		"unknown database": {"postgres://caller:caller@%s/nope", "3D000"},
		"unknown profile":  {"postgres://caller:caller@%s/guide-1?options=-c%%20citronusher.profile=nope", "22023"},
		"broken token":     {"postgres://caller:caller@%s/guide-1?options=-c%%20citronusher.token=x", "0A000"},
	} {
		url := strings.Replace(strings.ReplaceAll(c.url, "%%", "%"), "%s", e.Address(), 1)
		_, err := pgx.Connect(context.Background(), url)
		if !strings.HasPrefix(state(err), c.want) {
			t.Errorf("%s: %v", name, err)
		}
	}
	for _, sql := range []string{"SET search_path = x", "LISTEN x", "SET citronusher.colour = 'x'"} {
		if _, err := other.Exec(context.Background(), sql); !strings.HasPrefix(state(err), "0A000 outcome: not run") {
			t.Errorf("%s: %v", sql, err)
		}
	}
	if _, err := other.Exec(context.Background(), strings.Repeat("x", 20<<20)); err == nil {
		t.Error("an oversized message was accepted")
	}
	if _, err := dial(t, e, "").Exec(context.Background(), "INSERT"); err != nil {
		t.Errorf("another caller: %v", err)
	}
}

// TestDrainEndsIdleSessions guards against a drain that aborts open transactions, or reports a wrong outcome to idle
// sessions. The idle session must end with not run; the open transaction must be able to commit.
func TestDrainEndsIdleSessions(t *testing.T) {
	e, _, _ := newEntry(t, nil)
	idle, busy := dial(t, e, ""), dial(t, e, "")
	ctx := context.Background()
	if _, err := busy.Exec(ctx, "BEGIN"); err != nil {
		t.Fatal(err)
	}
	var drain errgroup.Group
	drain.Go(func() error { e.Drain(ctx); return nil })
	_, err := idle.Exec(ctx, "INSERT")
	for err == nil {
		_, err = idle.Exec(ctx, "INSERT")
	}
	if got := state(err); got != "" && !strings.HasPrefix(got, "57P01 outcome: not run") {
		t.Errorf("idle session: %s", got)
	}
	for _, sql := range []string{"INSERT", "COMMIT"} {
		if _, err := busy.Exec(ctx, sql); err != nil {
			t.Errorf("%s: %v", sql, err)
		}
	}
	_ = drain.Wait()
}

// TestCloseAnswersEveryCaller guards against a caller whose connection ends without an answer because the daemon stops
// while its statement runs, or between two statements of its transaction.
func TestCloseAnswersEveryCaller(t *testing.T) {
	e, _, _ := newEntry(t, nil)
	running, open := dial(t, e, ""), dial(t, e, "")
	ctx := context.Background()
	if _, err := open.Exec(ctx, "BEGIN"); err != nil {
		t.Fatal(err)
	}
	var statement errgroup.Group
	statement.Go(func() error {
		_, err := running.Exec(ctx, "SLOW")
		return err
	})
	time.Sleep(50 * time.Millisecond) // until it runs
	if err := e.Close(); err != nil {
		t.Error(err)
	}
	if got := state(statement.Wait()); !strings.Contains(got, "outcome: unknown") {
		t.Errorf("running statement: %q", got)
	}
	received, err := io.ReadAll(open.PgConn().Conn())
	if err != nil || !bytes.Contains(received, []byte("57P01")) {
		t.Errorf("open transaction: %q, %v", received, err)
	}
}

// TestCancelReachesDaemonsWithTheSameTag guards against a cancel request that is lost because the session's daemon and the
// one that received the request have names with the same tag.
func TestCancelReachesDaemonsWithTheSameTag(t *testing.T) {
	e, home, _ := newEntry(t, nil)
	process := uint32(entry.InstanceTag("d1"))<<16 | 7
	conn, err := net.Dial("tcp", e.Address()) //nolint:noctx // test
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	raw, err := (&pgproto3.CancelRequest{ProcessID: process, SecretKey: []byte{0, 0, 0, 9}}).Encode(nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Write(raw); err != nil {
		t.Fatal(err)
	}
	_, _ = io.ReadAll(conn) // until the entry has handled the request
	if got := home.cancelled.Load(); got != 1 {
		t.Errorf("the request was forwarded %d times", got)
	}
}
