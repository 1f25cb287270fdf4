package home_test

import (
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/jackc/pgx/v5/pgproto3"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/admission"
	"citronusher.example/citronusher/group"
	"citronusher.example/citronusher/home"
	"citronusher.example/citronusher/meter"
	"citronusher.example/citronusher/pg"
	"citronusher.example/citronusher/profile"
	"citronusher.example/citronusher/standin/member"
	"citronusher.example/citronusher/term"
)

const (
	testedHome    = "home"  // name of the home under test
	otherHome     = "other" // name of the home that promotes m2
	testDatabase  = "guide-1"
	setupDeadline = 20 * time.Second
	readDeadline  = 400 * time.Millisecond // of a request that can't be confirmed
	never         = 24 * time.Hour
	replicaAge    = 3 * time.Second // of the data that the profile aged accepts
	stepPage      = 'p'             // kind of an exchange that begins a transaction and reads a page; no message has it
	stepLast      = 'l'             // kind of an exchange that reads a page and rolls back; no message has it
)

type systemClock struct{}

func (systemClock) Now() time.Time { return time.Now() }

// groupScript runs the lines of a script against a home and a group of members; m1 is the primary of term 1.
type groupScript struct {
	t       *testing.T
	set     *home.Set
	members []*member.Member
	control []*group.Target // connections of the other home
	conns   map[string]citronusher.DatabaseConn
	// superseded is set once m1 is no longer the primary, so that no request can be confirmed.
	superseded bool
}

func newGroupScript(t *testing.T, members int) *groupScript {
	t.Helper()
	s := &groupScript{t: t, conns: map[string]citronusher.DatabaseConn{}}
	upstream := ""
	for i := range members {
		m, err := member.New(member.Options{
			Name: fmt.Sprintf("m%d", i+1), Address: "127.0.0.1:0", Upstream: upstream, Connections: 16, Slots: 4,
			Logger: slog.New(slog.DiscardHandler),
		})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = m.Close() })
		s.members = append(s.members, m)
		upstream = s.members[0].Address()
		c := group.New(pg.NewLogin("u", "p", otherHome, nil), m.Address(), testDatabase, systemClock{})
		t.Cleanup(func() { _ = c.Close() })
		s.control = append(s.control, c)
	}
	s.openHome()
	s.run("setup", "strong", "", pg.StepQuery, "CREATE TABLE register (key INTEGER PRIMARY KEY, value TEXT)")
	s.run("setup", "strong", "", pg.StepQuery, "INSERT INTO register VALUES (1, 'old')")
	for i := range members {
		s.waitForLog(i)
	}
	return s
}

// openHome opens a home of the group that promotes nobody itself.
func (s *groupScript) openHome() {
	s.set = home.New(home.Config{
		Self: testedHome, Login: pg.NewLogin("u", "p", testedHome, nil), Clock: systemClock{},
		Logger: slog.New(slog.DiscardHandler), Meter: meter.New(), OnPromoted: func(string, uint64, string) {},
		Policy: home.Policy{
			Queue: true, Homes: true, Replicas: true, PromotionTimeouts: term.Timeouts{Unresponsive: never, Refused: never},
			Limiter: func(int, int, int) admission.Limiter { return admission.Fixed(8) },
		},
	})
	s.t.Cleanup(func() { _ = s.set.Close() })
	var members []string
	for i, m := range s.members {
		members = append(members, fmt.Sprintf(`{"name": "m%d", "address": %q, "domain": "oita"}`, i+1, m.Address()))
	}
	database := fmt.Sprintf(`{"connections": 16, "slots": 4, "homes": 1, "members": [%s]}`, strings.Join(members, ", "))
	document, err := profile.New().Edit(profile.PartTarget, testDatabase, 0, []byte(database))
	if err != nil {
		s.t.Fatal(err)
	}
	document, err = document.Edit(profile.PartProfile, "strong", 1, []byte(`{"copy": true, "limit": "4s"}`))
	if err != nil {
		s.t.Fatal(err)
	}
	aged := fmt.Sprintf(`{"replica": true, "age": %q}`, replicaAge)
	document, err = document.Edit(profile.PartProfile, "aged", 2, []byte(aged))
	if err != nil {
		s.t.Fatal(err)
	}
	s.set.Apply(document)
	s.set.SetRanks(map[string]int{testDatabase: 0}, 1)
	s.waitFor("the primary", func() bool {
		return s.run("setup", "strong", "", pg.StepQuery, "SELECT 1") == "1 rows: 1; ran"
	})
}

func (s *groupScript) waitFor(what string, condition func() bool) {
	s.t.Helper()
	for deadline := time.Now().Add(setupDeadline); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return
		}
	}
	s.t.Fatalf("timed out waiting for %s: %+v", what, s.set.Report())
}

// waitForLog waits until the member with the index i has the log of the first one.
func (s *groupScript) waitForLog(i int) {
	s.t.Helper()
	s.waitFor("replication", func() bool {
		first, err := s.control[0].State(s.t.Context())
		if err != nil {
			return false
		}
		state, err := s.control[i].State(s.t.Context())
		return err == nil && !state.Position().Less(first.Position())
	})
}

// supersede cuts the home from a majority without m1, and has the other home promote m2 to term 2 with it and write there.
func (s *groupScript) supersede() {
	s.t.Helper()
	s.superseded = true
	for i := 1; i <= term.Majority(len(s.members)); i++ {
		s.fault(i, "cut="+testedHome)
		if _, err := s.control[i].Fence(s.t.Context(), 2, otherHome); err != nil {
			s.t.Fatal(err)
		}
	}
	if _, err := s.control[1].Promote(s.t.Context(), 2, otherHome); err != nil {
		s.t.Fatal(err)
	}
	conn, err := pg.NewLogin("u", "p", otherHome, nil).Dial(s.t.Context(), s.members[1].Address(), testDatabase)
	if err != nil {
		s.t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_, answer, err := conn.Query(s.t.Context(), "UPDATE register SET value = 'new' WHERE key = 1")
	if err != nil || answer.ErrorCode != "" {
		s.t.Fatal(answer.Message, err)
	}
}

// fault sets a fault of the member with the index i.
func (s *groupScript) fault(i int, query string) {
	request := httptest.NewRequestWithContext(s.t.Context(), http.MethodGet, "/?"+query, nil)
	s.members[i].FaultHandler().ServeHTTP(httptest.NewRecorder(), request)
}

// run runs one exchange on the connection called name, and describes the rows that it passed on and its outcome.
func (s *groupScript) run(name, profileName, id string, kind byte, sql string) string {
	s.t.Helper()
	conn := s.conns[name]
	if conn == nil {
		var err error
		if conn, err = s.set.Open(s.t.Context(), testDatabase); err != nil {
			s.t.Fatal(err)
		}
		s.t.Cleanup(func() { _ = conn.Close() })
		s.conns[name] = conn
	}
	deadline := time.Now().Add(setupDeadline)
	if s.superseded {
		deadline = time.Now().Add(readDeadline)
	}
	answer := &answerText{}
	request := citronusher.Request{
		Database: testDatabase, Profile: profileName, Caller: name, ID: id, Deadline: deadline, Exchange: exchange(s.t, kind, sql),
		PositionKnown: true,
	}
	result, err := conn.Do(s.t.Context(), request, answer.add)
	switch {
	case err != nil:
		return answer.String() + citronusher.AsFailure(err).Outcome().String()
	case result.Failed != "":
		return answer.String() + "error " + result.Failed
	case result.Replica:
		return answer.String() + "ran at a replica"
	default:
		return answer.String() + "ran"
	}
}

// exchange returns a simple query, or for other kinds than StepQuery a prepared statement that ends with Sync or Flush.
func exchange(t *testing.T, kind byte, sql string) citronusher.Exchange {
	t.Helper()
	switch kind {
	case stepPage:
		return join(exchange(t, pg.StepSync, "BEGIN"), page(t, sql))
	case stepLast:
		return join(page(t, sql), exchange(t, pg.StepSync, "ROLLBACK"))
	}
	messages := []pgproto3.FrontendMessage{&pgproto3.Query{String: sql}}
	kinds := []byte{pg.StepQuery}
	if kind != pg.StepQuery {
		messages = []pgproto3.FrontendMessage{
			&pgproto3.Parse{Name: sql, Query: sql}, &pgproto3.Bind{PreparedStatement: sql}, &pgproto3.Execute{}, &pgproto3.Sync{},
		}
		kinds = []byte{pg.StepParse, pg.StepBind, pg.StepExecute, pg.StepSync}
	}
	partial := kind == pg.StepExecute
	if partial {
		messages = messages[:len(messages)-1]
	}
	var e citronusher.Exchange
	for i, m := range messages {
		raw, err := m.Encode(nil)
		if err != nil {
			t.Fatal(err)
		}
		step := citronusher.Message{Kind: kinds[i], Raw: raw, Statement: pg.StatementKind(sql)}
		if kinds[i] == pg.StepParse {
			step.Name = sql
		}
		e.Messages = append(e.Messages, step)
	}
	e.Partial = partial
	return e
}

// page returns an exchange that reads the first row of a prepared statement's portal.
func page(t *testing.T, sql string) citronusher.Exchange {
	t.Helper()
	e := exchange(t, pg.StepSync, sql)
	for i, m := range e.Messages {
		if m.Kind != pg.StepExecute {
			continue
		}
		raw, err := (&pgproto3.Execute{MaxRows: 1}).Encode(nil)
		if err != nil {
			t.Fatal(err)
		}
		e.Messages[i].Raw = raw
	}
	return e
}

// join returns one exchange with the messages of two, up to the Sync of the second.
func join(first, second citronusher.Exchange) citronusher.Exchange {
	messages := first.Messages[:len(first.Messages)-1]
	return citronusher.Exchange{Messages: append(messages, second.Messages...)}
}

// answerText collects the first value of each row that reaches the caller.
type answerText struct{ values []string }

func (a *answerText) add(raw []byte) error {
	for len(raw) > 0 {
		size := 1 + int(raw[1])<<24 + int(raw[2])<<16 + int(raw[3])<<8 + int(raw[4])
		if raw[0] == 'D' {
			var row pgproto3.DataRow
			if err := row.Decode(raw[5:size]); err != nil {
				return err
			}
			a.values = append(a.values, string(row.Values[0]))
		}
		raw = raw[size:]
	}
	return nil
}

func (a *answerText) String() string {
	if len(a.values) == 0 {
		return "no rows; "
	}
	return fmt.Sprintf("%d rows: %s; ", len(a.values), a.values[0])
}

// line runs one line of a script: supersede, await-replicas (until they serve reads), wait (for as long as the profile aged
// accepts data, and more), lose-answer (of the next commit), CONNECTION close, or CONNECTION HOW SQL, where HOW is query,
// aged, prepared, flush, page, last, or marked, also marked-prepared and so on. Marked requests on one connection have the
// same ID.
func (s *groupScript) line(text string) string {
	switch text {
	case "supersede":
		s.supersede()
		return "m2 is the primary of term 2\n"
	case "await-replicas":
		s.waitFor("replicas", func() bool {
			return s.run("setup", "aged", "", pg.StepQuery, "SELECT 1") == "1 rows: 1; ran at a replica"
		})
		return ""
	case "wait":
		time.Sleep(replicaAge + replicaAge/4)
		return ""
	case "lose-answer":
		s.fault(0, "mute=1")
		return ""
	}
	name, rest, _ := strings.Cut(text, " ")
	if rest == "close" {
		_ = s.conns[name].Close()
		delete(s.conns, name)
		return ""
	}
	how, sql, _ := strings.Cut(rest, " ")
	id, kind, profileName := "", pg.StepQuery, profile.Fresh
	if marked, ok := strings.CutPrefix(how, "marked"); ok {
		id, profileName = "request-"+name, profile.Never
		how = strings.TrimPrefix(marked, "-")
	}
	switch how {
	case "aged":
		profileName = "aged"
	case "prepared":
		kind = pg.StepSync
	case "flush":
		kind = pg.StepExecute
	case "page": // BEGIN and the first row of a prepared statement, in one exchange
		kind = stepPage
	case "last": // the first row of a prepared statement and ROLLBACK, in one exchange
		kind = stepLast
	}
	sql = strings.ReplaceAll(sql, "LONG", "SELECT value FROM register, (WITH RECURSIVE n(i) AS (SELECT 1 UNION ALL "+
		"SELECT i + 1 FROM n WHERE i < 5000) SELECT i FROM n) AS many")
	return fmt.Sprintf("%s: %s\n", name, s.run(name, profileName, id, kind, sql))
}

// runScripts runs the scripts of a file, each against a group of its own.
func runScripts(t *testing.T, path string) {
	datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
		members := 3
		d.MaybeScanArgs(t, "members", &members)
		s := newGroupScript(t, members)
		var out strings.Builder
		for _, text := range strings.Split(strings.TrimSpace(d.Input), "\n") {
			out.WriteString(s.line(text))
		}
		return out.String()
	})
}

// TestSupersededPrimaryAnswersNothing guards against rows and commits of a superseded primary that reach a caller through a
// home that can't see the promotion.
func TestSupersededPrimaryAnswersNothing(t *testing.T) { runScripts(t, "testdata/superseded.txt") }

// TestVanishedCallerLeavesNoTransaction guards against an open transaction on a connection that serves the next caller.
func TestVanishedCallerLeavesNoTransaction(t *testing.T) { runScripts(t, "testdata/vanished.txt") }

// TestMarkedRequestRunsOnce guards against a marked request that is reported as not run or as run although it is not so, and
// against one that a repetition with its ID runs again.
func TestMarkedRequestRunsOnce(t *testing.T) { runScripts(t, "testdata/marked.txt") }

// TestReplicaOfSupersededPrimary guards against reads that go on for ever at a replica of a superseded primary, by a home
// that can't see the promotion: they lack what was acknowledged since, whatever age their profile accepts.
func TestReplicaOfSupersededPrimary(t *testing.T) { runScripts(t, "testdata/replica.txt") }
