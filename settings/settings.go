// Package settings reads and validates a daemon's settings file, which is JSON with comments.
package settings

import (
	"bytes"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"regexp"
	"time"

	"github.com/tailscale/hujson"

	"citronusher.example/citronusher"
)

// Settings is the validated content of a settings file.
type Settings struct{ fields fields }

type fields struct {
	Protocol string            `json:"protocol"`
	Name     string            `json:"name"`
	Domain   string            `json:"domain"`
	Cores    float64           `json:"cores"`
	First    bool              `json:"first"`
	Entry    listener          `json:"entry"`
	Peer     listener          `json:"peer"`
	Health   string            `json:"health"`
	Users    map[string]string `json:"users"`
	Target   target            `json:"target"`
	Keys     keys              `json:"keys"`
	Platform platform          `json:"platform"`
	Log      string            `json:"log"`
	Drain    string            `json:"drain"`
	Idle     string            `json:"idle"`
	Limit    string            `json:"limit"`
	Seeds    []string          `json:"seeds"`
	Policy   policy            `json:"policy"`
}

type listener struct {
	Address string `json:"address"`
	Cert    string `json:"cert,omitempty"`
	Key     string `json:"key,omitempty"`
}

type target struct {
	User     string `json:"user"`
	Password string `json:"password"`
	TLS      bool   `json:"tls,omitempty"`
}

type keys struct {
	Peer     string `json:"peer"`
	Operator string `json:"operator"`
}

type platform struct {
	Table   string `json:"table"`
	Objects string `json:"objects"`
	List    string `json:"list"`
	Region  string `json:"region"`
	Access  string `json:"access"`
	Secret  string `json:"secret"`
	// Store and Promotion are the IP:PORT of the metadata store and of the promotion API, for the protocol line.
	Store     string `json:"store"`
	Promotion string `json:"promotion"`
}

// policy switches parts of the load policy off, for baseline measurements.
type policy struct {
	Replicas bool `json:"replicas"`
	Queue    bool `json:"queue"`
	Homes    bool `json:"homes"`
}

const (
	minKeyLength = 8 // characters
	defaultPeer  = "127.0.0.1:7071"
	defaultEntry = "127.0.0.1:5432"
	minDuration  = 100 * time.Millisecond
	maxDuration  = 1 * time.Hour
	minCores     = 0.01
	maxCores     = 1024.0
)

// The protocols that a daemon speaks with callers and targets.
const (
	ProtocolPostgres = "postgres"
	ProtocolLine     = "line"
)

var (
	namePattern  = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)
	limitPattern = regexp.MustCompile(`^(gradient|aimd|fixed)$`)
	logPattern   = regexp.MustCompile(`^(debug|info|warn|error)$`)

	protocolPattern = regexp.MustCompile(`^(` + ProtocolPostgres + `|` + ProtocolLine + `)$`)
)

func defaults() fields {
	return fields{
		Entry: listener{Address: defaultEntry}, Peer: listener{Address: defaultPeer}, Health: "127.0.0.1:7072",
		Log: "info", Cores: 1, Drain: "30s", Idle: "60s", Limit: "gradient", Protocol: ProtocolPostgres,
		Platform: platform{Region: "local", Access: "local", Secret: "local"},
		Policy:   policy{Replicas: true, Queue: true, Homes: true},
	}
}

// Load reads and validates the file at path. Its error is ErrInvalid or comes from the file system.
func Load(path string) (Settings, error) {
	body, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	return Parse(body)
}

// Parse decodes and validates a settings document. Its error is ErrInvalid and names the field, the value and the allowed
// range.
func Parse(body []byte) (Settings, error) {
	standard, err := hujson.Standardize(body)
	if err != nil {
		return Settings{}, fmt.Errorf("%w: settings: %w", citronusher.ErrInvalid, err)
	}
	f := defaults()
	decoder := json.NewDecoder(bytes.NewReader(standard))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&f); err != nil {
		return Settings{}, fmt.Errorf("%w: settings: %w", citronusher.ErrInvalid, err)
	}
	if err := f.check(); err != nil {
		return Settings{}, err
	}
	return Settings{fields: f}, nil
}

func (f fields) check() error {
	for _, c := range []struct {
		field, value string
		pattern      *regexp.Regexp
	}{
		{"name", f.Name, namePattern},
		{"domain", f.Domain, namePattern},
		{"log", f.Log, logPattern},
		{"limit", f.Limit, limitPattern},
		{"protocol", f.Protocol, protocolPattern},
	} {
		if !c.pattern.MatchString(c.value) {
			return invalid(c.field, c.value, c.pattern.String())
		}
	}
	for field, address := range map[string]string{
		"entry.address": f.Entry.Address, "peer.address": f.Peer.Address, "health": f.Health,
	} {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return invalid(field, address, "IP:PORT")
		}
	}
	for _, seed := range f.Seeds {
		if _, err := netip.ParseAddrPort(seed); err != nil {
			return invalid("seeds", seed, "IP:PORT")
		}
	}
	for field, text := range map[string]string{"drain": f.Drain, "idle": f.Idle} {
		parsed, err := time.ParseDuration(text)
		if err != nil || parsed < minDuration || parsed > maxDuration {
			return invalid(field, text, fmt.Sprintf("%s to %s", minDuration, maxDuration))
		}
	}
	if f.Cores < minCores || f.Cores > maxCores {
		return invalid("cores", fmt.Sprint(f.Cores), fmt.Sprintf("%g to %g", minCores, maxCores))
	}
	if f.Protocol == ProtocolLine {
		return f.checkLine()
	}
	return f.checkSecrets()
}

// checkLine checks the fields that only the line protocol needs.
func (f fields) checkLine() error {
	for field, address := range map[string]string{
		"platform.store": f.Platform.Store, "platform.promotion": f.Platform.Promotion,
	} {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return invalid(field, address, "IP:PORT")
		}
	}
	return nil
}

// checkSecrets checks the credentials. Its errors never contain their values.
func (f fields) checkSecrets() error {
	for field, key := range map[string]string{"keys.peer": f.Keys.Peer, "keys.operator": f.Keys.Operator} {
		if len(key) < minKeyLength {
			return fmt.Errorf("%w: %s: a key of %d characters is not allowed (allowed: %d characters or more)",
				citronusher.ErrInvalid, field, len(key), minKeyLength)
		}
	}
	if f.Target.User == "" {
		return invalid("target.user", "", "1 character or more")
	}
	for user, password := range f.Users {
		if password == "" {
			return fmt.Errorf("%w: users.%s: an empty password is not allowed", citronusher.ErrInvalid, user)
		}
	}
	return nil
}

func invalid(field, value, allowed string) error {
	return fmt.Errorf("%w: %s: %q is not allowed (allowed: %s)", citronusher.ErrInvalid, field, value, allowed)
}

// Name returns the instance's name.
func (s Settings) Name() string { return s.fields.Name }

// Domain returns the instance's failure domain.
func (s Settings) Domain() string { return s.fields.Domain }

// Cores returns the number of cores that the daemon may use.
func (s Settings) Cores() float64 { return s.fields.Cores }

// FirstStart reports whether the whole fleet starts for the first time, so that no daemon is registered yet.
func (s Settings) FirstStart() bool { return s.fields.First }

// Entry returns the IP:PORT for callers.
func (s Settings) Entry() string { return s.fields.Entry.Address }

// EntryTLS returns the certificate for callers; nil means plain TCP.
func (s Settings) EntryTLS() (*tls.Config, error) { return s.fields.Entry.tls("entry") }

// Peer returns the IP:PORT for peers and operators.
func (s Settings) Peer() string { return s.fields.Peer.Address }

// PeerTLS returns the certificate for peers and operators; nil means plain TCP.
func (s Settings) PeerTLS() (*tls.Config, error) { return s.fields.Peer.tls("peer") }

func (l listener) tls(field string) (*tls.Config, error) {
	if l.Cert == "" && l.Key == "" {
		return nil, nil //nolint:nilnil // no certificate means plain TCP
	}
	certificate, err := tls.LoadX509KeyPair(l.Cert, l.Key)
	if err != nil {
		return nil, fmt.Errorf("%w: %s.cert: %w", citronusher.ErrInvalid, field, err)
	}
	return &tls.Config{Certificates: []tls.Certificate{certificate}, MinVersion: tls.VersionTLS12}, nil
}

// Health returns the IP:PORT of the liveness, readiness and metrics endpoints.
func (s Settings) Health() string { return s.fields.Health }

// Password returns the password of a caller's user.
func (s Settings) Password(user string) (string, bool) {
	password, ok := s.fields.Users[user]
	return password, ok
}

// TargetCredentials returns the user and password for connections to targets.
func (s Settings) TargetCredentials() (user, password string) {
	return s.fields.Target.User, s.fields.Target.Password
}

// TargetTLS reports whether connections to targets use TLS.
func (s Settings) TargetTLS() bool { return s.fields.Target.TLS }

// PeerKey returns the shared credential of the daemons.
func (s Settings) PeerKey() string { return s.fields.Keys.Peer }

// OperatorKey returns the credential of operators.
func (s Settings) OperatorKey() string { return s.fields.Keys.Operator }

// Protocol returns the protocol that the daemon speaks with callers and targets: ProtocolPostgres or ProtocolLine.
func (s Settings) Protocol() string { return s.fields.Protocol }

// Store returns the IP:PORT of the metadata store.
func (s Settings) Store() string { return s.fields.Platform.Store }

// Promotion returns the IP:PORT of the promotion API.
func (s Settings) Promotion() string { return s.fields.Platform.Promotion }

// Table returns the URL of the table service.
func (s Settings) Table() string { return s.fields.Platform.Table }

// Objects returns the URL of the object store.
func (s Settings) Objects() string { return s.fields.Platform.Objects }

// List returns the URL of the instance list.
func (s Settings) List() string { return s.fields.Platform.List }

// SeedPeers returns the IP:PORT of some peers, from which a daemon that starts during a platform outage fetches the
// instances and the configuration.
func (s Settings) SeedPeers() []string { return s.fields.Seeds }

// Region returns the platform's region.
func (s Settings) Region() string { return s.fields.Platform.Region }

// PlatformCredentials returns the platform's access key and secret.
func (s Settings) PlatformCredentials() (access, secret string) {
	return s.fields.Platform.Access, s.fields.Platform.Secret
}

// LogLevel returns the minimum level of log messages: debug, info, warn or error.
func (s Settings) LogLevel() string { return s.fields.Log }

// DrainTimeout returns how long a planned stop waits for running requests and transactions.
func (s Settings) DrainTimeout() time.Duration { return durationOf(s.fields.Drain) }

// IdleTimeout returns how long a caller may leave a transaction idle.
func (s Settings) IdleTimeout() time.Duration { return durationOf(s.fields.Idle) }

func durationOf(text string) time.Duration {
	parsed, _ := time.ParseDuration(text) // checked by Parse
	return parsed
}

// Limiter returns the algorithm of the concurrency limit: gradient, aimd or fixed.
func (s Settings) Limiter() string { return s.fields.Limit }

// UseReplicas reports whether replicas serve reads. It is off only in baseline measurements.
func (s Settings) UseReplicas() bool { return s.fields.Policy.Replicas }

// UseQueue reports whether admission uses classes, fair queueing and early rejection. It is off only in baseline
// measurements.
func (s Settings) UseQueue() bool { return s.fields.Policy.Queue }

// UseHomes reports whether statements are forwarded to homes. When it is off, in baseline measurements only, every daemon
// opens an even share of the connections itself.
func (s Settings) UseHomes() bool { return s.fields.Policy.Homes }
