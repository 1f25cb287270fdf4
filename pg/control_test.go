package pg_test

import (
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/pg"
)

// query returns the exchange of a simple query.
func query(t *testing.T, sql string) citronusher.Exchange {
	t.Helper()
	return exchange(t, &pgproto3.Query{String: sql})
}

// exchange returns the exchange of the given messages.
func exchange(t *testing.T, messages ...pgproto3.FrontendMessage) citronusher.Exchange {
	t.Helper()
	var e citronusher.Exchange
	for _, m := range messages {
		raw, err := m.Encode(nil)
		if err != nil {
			t.Fatal(err)
		}
		e.Messages = append(e.Messages, citronusher.Message{Kind: raw[0], Raw: raw})
	}
	return e
}

// extended returns the messages that run statements one after the other, up to Sync.
func extended(t *testing.T, statements ...string) citronusher.Exchange {
	t.Helper()
	var messages []pgproto3.FrontendMessage
	for _, sql := range statements {
		messages = append(messages, &pgproto3.Parse{Query: sql}, &pgproto3.Bind{}, &pgproto3.Execute{})
	}
	return exchange(t, append(messages, &pgproto3.Sync{})...)
}

// TestControlOfQueries guards against an exchange that runs on after the end of its transaction and is not recognized, so
// that its marker tells nothing of what it ran, and against one that only holds such words.
func TestControlOfQueries(t *testing.T) {
	const (
		stays   = "stays"
		opens   = "opens"
		commits = "commits"
		runsOn  = "runs on"
		both    = "commits and runs on"
	)
	for sql, want := range map[string]string{
		"INSERT INTO x VALUES (1)":                  stays,
		"INSERT INTO x VALUES (1); COMMIT":          commits,
		"insert into x values (1); commit work; ; ": commits,
		"END":                                       commits,
		"PREPARE TRANSACTION 'x'":                   commits,
		"COMMIT AND NO CHAIN":                       commits,
		"COMMIT; -- SELECT 1":                       commits,
		"COMMIT /* ; SELECT 1 */":                   commits,
		"ROLLBACK":                                  stays,
		"INSERT INTO x VALUES (1); ABORT":           stays,
		"ROLLBACK AND CHAIN":                        stays,
		"ROLLBACK TO a; INSERT INTO x VALUES (1)":   stays + ", undoes a part",
		"ROLLBACK WORK TO SAVEPOINT a; COMMIT":      commits + ", undoes a part",
		"ROLLBACK; SAVEPOINT to_a":                  runsOn,
		"BEGIN; INSERT INTO x VALUES (1); COMMIT":   commits,
		"BEGIN; INSERT INTO x VALUES (1); ROLLBACK": stays,
		"BEGIN":                               opens,
		"/* x */ Start Transaction READ ONLY": opens,
		"SELECT 1; BEGIN; INSERT INTO x VALUES (1)":  opens,
		"BEGIN; SAVEPOINT a; ROLLBACK TO a":          opens + ", undoes a part",
		"PREPARE p AS SELECT 1; EXECUTE p":           stays,
		"SELECT CASE WHEN true THEN 1 END; SELECT 2": stays,
		"SELECT 'commit; select'; SELECT 2":          stays,
		"SELECT 'it''s; commit; x', 1; SELECT 2":     stays,
		`SELECT "end; x"; SELECT 2`:                  stays,
		"DO $$ BEGIN COMMIT; END $$; SELECT 2":       stays,
		"DO $a$ BEGIN $$ ; COMMIT; END $a$":          stays,
		"SELECT a$b$ ; COMMIT; SELECT $b$":           both, // a$b$ is a name
		"SELECT €$$ ; COMMIT; SELECT $$":             both, // €$$ is a name
		"SELECT $1; COMMIT":                          commits,
		"ROLLBACK; INSERT INTO x VALUES (1)":         runsOn,
		"rollback /* ; */;\n insert into x default":  runsOn,
		"--\nABORT;INSERT INTO x VALUES (1)":         runsOn,
		"ROLLBACK; BEGIN; SELECT 1; COMMIT":          both,
		"COMMIT; INSERT INTO x VALUES (1)":           both,
		"COMMIT; BEGIN; SELECT 1; COMMIT":            both,
		"COMMIT AND CHAIN":                           both,
		"PREPARE TRANSACTION 'x'; SELECT 1":          both,
		"COMMIT/**/;SELECT 1":                        both,
		"SELECT '''; '; COMMIT; SELECT 1":            both,
		`SELECT '\'; COMMIT; SELECT 1`:               both, // the backslash may quote
		`SELECT E'\'; COMMIT; SELECT 1'`:             both,
		"/* /* */ ; COMMIT; SELECT 1 */":             both, // the comment may end at the first */
		"SELECT 'x; COMMIT; SELECT 1":                both,
	} {
		if got := describe(pg.ControlOf(query(t, sql))); got != want {
			t.Errorf("%s: %s, want %s", sql, got, want)
		}
	}
}

func describe(c pg.Control) string {
	if c.RollsBackTo {
		c.RollsBackTo = false
		return describe(c) + ", undoes a part"
	}
	switch {
	case c.Opens:
		return "opens"
	case c.Commits && c.RunsOn:
		return "commits and runs on"
	case c.Commits:
		return "commits"
	case c.RunsOn:
		return "runs on"
	default:
		return "stays"
	}
}

// TestControlOfMessages guards against the same in extended messages, where each execution can end a transaction.
func TestControlOfMessages(t *testing.T) {
	const insert = "INSERT INTO x VALUES (1)"
	flushed := extended(t, insert, "COMMIT")
	flushed.Partial = true
	insertFlushed := extended(t, insert, insert)
	insertFlushed.Partial = true
	required := exchange(t, &pgproto3.Bind{PreparedStatement: "c"}, &pgproto3.Execute{}, &pgproto3.Sync{})
	required.RequiredStatements = exchange(t, &pgproto3.Parse{Name: "c", Query: "COMMIT"}).Messages
	twice := exchange(t,
		&pgproto3.Parse{Name: "c", Query: "COMMIT"}, &pgproto3.Parse{Name: "i", Query: insert},
		&pgproto3.Bind{DestinationPortal: "1", PreparedStatement: "i"},
		&pgproto3.Bind{DestinationPortal: "2", PreparedStatement: "c"},
		&pgproto3.Execute{Portal: "2"}, &pgproto3.Execute{Portal: "1"}, &pgproto3.Sync{})
	unrun := exchange(t, &pgproto3.Parse{Query: "COMMIT"}, &pgproto3.Bind{DestinationPortal: "1"}, &pgproto3.Sync{})
	for name, c := range map[string]struct {
		exchange citronusher.Exchange
		want     string
	}{
		"inserts":                  {extended(t, insert, insert), "stays"},
		"begin and insert":         {extended(t, "BEGIN", insert), "opens"},
		"inserts and commit":       {extended(t, "BEGIN", insert, insert, "COMMIT"), "commits"},
		"commit and insert":        {extended(t, insert, "COMMIT", insert), "commits and runs on"},
		"rollback and insert":      {extended(t, "ROLLBACK", insert), "runs on"},
		"commit of the session":    {required, "commits"},
		"order of executions":      {twice, "commits and runs on"},
		"commit that ends a flush": {flushed, "commits and runs on"},
		"flush":                    {insertFlushed, "stays"},
		"commit to be run later":   {unrun, "runs on"},
	} {
		t.Run(name, func(t *testing.T) {
			if got := describe(pg.ControlOf(c.exchange)); got != c.want {
				t.Errorf("%s, want %s", got, c.want)
			}
		})
	}
}
