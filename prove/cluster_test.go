package prove

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"citronusher.example/citronusher/operator"
	"citronusher.example/citronusher/profile"
	"citronusher.example/citronusher/standin/member"
	"citronusher.example/citronusher/standin/platform"
)

const (
	waitTimeout  = 30 * time.Second
	pollInterval = 20 * time.Millisecond
	operatorKey  = "proof-operator"
	database     = "guide-1"
)

var domains = []string{"fukuoka", "kumamoto", "oita", "kagoshima"}

// cluster is a simulated platform, one database group of three members and several daemons, each a separate process.
type cluster struct {
	t        testing.TB
	platform *process
	members  []*process
	daemons  []*process
	entries  []string
	peers    []string
	health   []string
	version  uint64
}

// clusterOptions configure a cluster. Databases beyond the first use the same members. Zero homes means 2. A nil relays
// connects the processes directly.
type clusterOptions struct {
	daemons     int
	databases   int
	connections int
	mutant      string
	homes       int
	relays      *relays
}

// newCluster starts a cluster and waits until every daemon has the latest version of the settings and serves the
// database.
func newCluster(t testing.TB, s clusterOptions) *cluster {
	t.Helper()
	c := &cluster{t: t}
	platformAddress := freePort(t)
	var instances []platform.InstanceEntry
	for i := range s.daemons {
		c.entries = append(c.entries, freePort(t))
		c.peers = append(c.peers, freePort(t))
		c.health = append(c.health, freePort(t))
		instances = append(instances, platform.InstanceEntry{
			Name: daemonName(i), Peer: s.relays.addressFor(c.t, "peer", c.peers[i]), Domain: domains[i%len(domains)], State: "live",
		})
	}
	c.platform = startProcess(t, "platform", "platform", spec{Address: platformAddress, Instances: instances})
	c.startMembers(s)
	c.waitFor("the platform", func() bool { return get(c.platformURL("")) != "" })
	for i := range s.daemons {
		c.daemons = append(c.daemons, startProcess(t, daemonName(i), "daemon", spec{
			Settings: c.settings(i, s.relays.addressFor(c.t, "platform", platformAddress)), Mutant: s.mutant,
		}))
	}
	for i := range c.daemons {
		c.waitForReady(i)
	}
	c.edit(0, profile.PartTarget, database, c.target(s, -1))
	for i := 1; i < s.databases; i++ {
		c.edit(0, profile.PartTarget, fmt.Sprintf("db-%d", i), c.target(s, -1))
	}
	c.edit(0, profile.PartProfile, "strong", `{"copy": true, "limit": "4s"}`)
	for i := range c.daemons {
		c.waitFor("the latest version at every daemon", func() bool { return c.documentVersion(i) >= c.version })
		c.waitFor("a served statement", func() bool { return c.exec(i, "", "SELECT 1") == nil })
	}
	return c
}

func daemonName(i int) string { return fmt.Sprintf("d%d", i+1) }

func (c *cluster) startMembers(s clusterOptions) {
	upstream := ""
	for i := range 3 {
		options := member.Options{
			Name: fmt.Sprintf("%s/%d", database, i+1), Address: freePort(c.t), FaultAddress: freePort(c.t), Upstream: upstream,
			Connections: max(16, s.connections), Slots: 4,
		}
		c.members = append(c.members, startProcess(c.t, fmt.Sprintf("member-%d", i+1), "member", spec{Member: options}))
		if i == 0 {
			upstream = options.Address
		}
	}
	for i := range c.members {
		c.waitFor("a member", func() bool { return c.controlMember(i, "") != "" })
	}
}

func (c *cluster) settings(i int, platformAddress string) string {
	seeds, err := json.Marshal(c.peers)
	if err != nil {
		c.t.Fatal(err)
	}
	return fmt.Sprintf(`{
		"name": %q, "domain": %q, "entry": {"address": %q}, "peer": {"address": %q}, "health": %q,
		"users": {"caller": "caller"}, "target": {"user": "citronusher", "password": "x"},
		"keys": {"peer": "proof-peer", "operator": %q}, "drain": "20s", "seeds": %s,
		"platform": {"table": "http://%[8]s/table", "objects": "http://%[8]s/objects", "list": "http://%[8]s/instances"},
	}`, daemonName(i), domains[i%len(domains)], c.entries[i], c.peers[i], c.health[i], operatorKey, seeds, platformAddress)
}

// target returns the database's part of the settings document. The member with the index leaving, if any, has the state
// "leaving".
func (c *cluster) target(s clusterOptions, leaving int) string {
	var members []map[string]string
	for i, m := range c.members {
		entry := map[string]string{
			"name": m.spec.Member.Name, "address": s.relays.addressFor(c.t, "target", m.spec.Member.Address), "domain": domains[i],
		}
		if i == leaving {
			entry["state"] = "leaving"
		}
		members = append(members, entry)
	}
	homes := s.homes
	if homes == 0 {
		homes = 2
	}
	body, err := json.Marshal(map[string]any{
		"members": members, "connections": 16, "slots": 4, "homes": homes,
	})
	if err != nil {
		c.t.Fatal(err)
	}
	return string(body)
}

// edit changes one part of the settings document through daemon i with the operator's command, and fails the test when
// the edit is rejected.
func (c *cluster) edit(i int, part, name, body string) {
	c.t.Helper()
	if err := c.tryEdit(i, part, name, body, c.version); err != nil {
		c.t.Fatal(err)
	}
	c.version++
}

// tryEdit makes an edit that expects the given document version and returns the error of the command.
func (c *cluster) tryEdit(i int, part, name, body string, expect uint64) error {
	path := filepath.Join(c.t.TempDir(), "edit.json")
	if err := os.WriteFile(path, []byte(body), 0o600); err != nil {
		return err
	}
	_, err := c.runOperator(i, part, "set", name, path, "--expect", fmt.Sprint(expect))
	return err
}

// runOperator runs the operator's command line against daemon i and returns its output.
func (c *cluster) runOperator(i int, arguments ...string) (string, error) {
	var out bytes.Buffer
	arguments = append([]string{"-d", c.peers[i], "--key", operatorKey, "-o", "json"}, arguments...)
	err := operator.Run(arguments, &out)
	return out.String(), err
}

func (c *cluster) documentVersion(i int) uint64 {
	text, err := c.runOperator(i, "profile", "list")
	if err != nil {
		return 0
	}
	var answer struct {
		Version uint64 `json:"version"`
	}
	_ = json.Unmarshal([]byte(text), &answer)
	return answer.Version
}

// waitFor polls until the condition holds. It fails the test after waitTimeout.
func (c *cluster) waitFor(what string, condition func() bool) {
	c.t.Helper()
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if condition() {
			return
		}
	}
	c.t.Fatalf("timed out after %[2]s waiting for %[1]s", what, waitTimeout)
}

func (c *cluster) waitForReady(i int) {
	c.t.Helper()
	c.waitFor("readiness", func() bool { return get("http://"+c.health[i]+"/ready") == "ready\n" })
}

// get returns the body of a GET with status 200, and an empty string on any failure.
func get(url string) string {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return ""
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return ""
	}
	defer func() { _ = response.Body.Close() }()
	body, _ := io.ReadAll(response.Body)
	if response.StatusCode != http.StatusOK {
		return ""
	}
	return string(body)
}

func (c *cluster) platformURL(query string) string {
	return "http://" + c.platform.spec.Address + "/switch?" + query
}

// controlMember sets the fault switches of member i from the query and returns its counters.
func (c *cluster) controlMember(i int, query string) string {
	return get("http://" + c.members[i].spec.Member.FaultAddress + "/?" + query)
}

// dial connects a caller to entry i. The options are startup options such as "-c citronusher.profile=stale".
func (c *cluster) dial(i int, options string) (*pgx.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	config, err := pgx.ParseConfig("postgres://caller:caller@" + c.entries[i] + "/" + database + "?sslmode=disable")
	if err != nil {
		return nil, err
	}
	if options != "" {
		config.RuntimeParams["options"] = options
	}
	return pgx.ConnectConfig(ctx, config)
}

func (c *cluster) mustDial(i int, options string) *pgx.Conn {
	c.t.Helper()
	conn, err := c.dial(i, options)
	if err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

// exec runs one statement on a new connection to entry i.
func (c *cluster) exec(i int, options, sql string) error {
	conn, err := c.dial(i, options)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	defer func() { _ = conn.Close(ctx) }()
	_, err = conn.Exec(ctx, sql)
	return err
}

// mustExec runs one statement through the first entry.
func (c *cluster) mustExec(sql string) {
	c.t.Helper()
	if err := c.exec(0, "", sql); err != nil {
		c.t.Fatalf("%s: %v", sql, err)
	}
}

// primary returns the index of the member that a daemon reports as the primary, or -1 when no daemon reports one.
func (c *cluster) primary() int {
	for _, role := range c.primaries() {
		for i, m := range c.members {
			if m.spec.Member.Name == role {
				return i
			}
		}
	}
	return -1
}

// primaries returns the names of the primaries that the daemons report.
func (c *cluster) primaries() []string {
	var names []string
	for i := range c.daemons {
		text, err := c.runOperator(i, "status")
		if err != nil {
			continue
		}
		var status struct {
			Databases []struct {
				Primary string `json:"primary"`
			} `json:"databases"`
		}
		_ = json.Unmarshal([]byte(text), &status)
		for _, d := range status.Databases {
			if d.Primary != "" {
				names = append(names, d.Primary)
			}
		}
	}
	return names
}

// outcome is the outcome of a request as reported to the caller.
type outcome int

const (
	ran outcome = iota
	notRun
	unknown
)

// outcomeOf derives the outcome from the driver's error. Without an answer from the proxy the outcome is unknown.
func outcomeOf(err error) outcome {
	var answer *pgconn.PgError
	switch {
	case err == nil:
		return ran
	case !errors.As(err, &answer):
		return unknown
	case answer.Code == "08007":
		return unknown
	case len(answer.Detail) > len("outcome: not run") && answer.Detail[:len("outcome: not run")] == "outcome: not run":
		return notRun
	case answer.Detail == "":
		return notRun // an error of the target itself, which rolled the statement back
	default:
		return unknown
	}
}

// counter counts events by name. It is safe for concurrent use.
type counter struct {
	mu     sync.Mutex
	values map[string]int
}

func newCounter() *counter { return &counter{values: map[string]int{}} }

func (c *counter) add(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.values[name]++
}

func (c *counter) get(name string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.values[name]
}
