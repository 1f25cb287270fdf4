// Package profile holds the configuration document: the named profiles that callers select and the databases that they
// connect to, under one version number.
//
// It parses, validates, edits and compares documents. It does not store or distribute them.
package profile

import (
	"encoding/json"
	"fmt"
	"regexp"
	"time"

	"citronusher.example/citronusher"
)

// RetryPolicy says when a request may be retried.
type RetryPolicy string

// The retry policies.
const (
	// RetryIdempotent marks idempotent requests: they are also retried after an unknown outcome.
	RetryIdempotent RetryPolicy = "free"
	// RetryNotRun requests are retried only when they did not run.
	RetryNotRun RetryPolicy = "safe"
	// RetryNever requests run at most once: a request with an identifier leaves a marker in its transaction, and a
	// second request with the same identifier returns the first one's outcome.
	RetryNever RetryPolicy = "never"
)

// Class is a work class of the admission queue.
type Class string

// The work classes.
const (
	ClassShort Class = "short"
	ClassLong  Class = "long"
)

// The names of the built-in profiles.
const (
	Fresh  = "fresh"  // fresh reads
	Stale  = "stale"  // reads that may be a minute old
	Never  = "never"  // requests that run at most once
	Report = "report" // long reads
)

// Limits of the document's fields.
const (
	minLimit       = 10 * time.Millisecond
	maxLimit       = 1 * time.Hour
	maxAge         = 24 * time.Hour
	maxConnections = 10_000
	maxSlots       = 10_000
	maxMembers     = 15
	maxHomes       = 9
	defaultHomes   = 3
	defaultLimit   = "5s"
)

var namePattern = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)

// fields is the JSON form of a profile.
type fields struct {
	Replica   bool        `json:"replica,omitempty"`
	Age       string      `json:"age,omitempty"`
	Monotonic bool        `json:"monotonic,omitempty"`
	Repeat    RetryPolicy `json:"repeat,omitempty"`
	Copy      bool        `json:"copy,omitempty"`
	Class     Class       `json:"class,omitempty"`
	Limit     string      `json:"limit,omitempty"`
}

// Profile says how a request is served.
type Profile struct {
	name   string
	fields fields
	age    time.Duration
	limit  time.Duration
}

// Name returns the profile's name.
func (p Profile) Name() string { return p.name }

// Replica reports whether replicas may serve the request.
func (p Profile) Replica() bool { return p.fields.Replica }

// MaxAge returns the maximum age of a replica's data.
func (p Profile) MaxAge() time.Duration { return p.age }

// Monotonic reports whether a read never returns older data than the session's earlier reads.
func (p Profile) Monotonic() bool { return p.fields.Monotonic }

// RetryPolicy returns when a request may be retried.
func (p Profile) RetryPolicy() RetryPolicy { return p.fields.Repeat }

// MajorityAck reports whether a write is acknowledged only once a majority of the members has it.
func (p Profile) MajorityAck() bool { return p.fields.Copy }

// Class returns the request's work class.
func (p Profile) Class() Class { return p.fields.Class }

// Timeout returns the total time that a request may take.
func (p Profile) Timeout() time.Duration { return p.limit }

// newProfile validates f and sets the defaults.
func newProfile(name string, f fields) (Profile, error) {
	if !namePattern.MatchString(name) {
		return Profile{}, invalid("profile name", name, namePattern.String())
	}
	if f.Repeat == "" {
		f.Repeat = RetryNotRun
	}
	if f.Class == "" {
		f.Class = ClassShort
	}
	if f.Limit == "" {
		f.Limit = defaultLimit
	}
	switch f.Repeat {
	case RetryIdempotent, RetryNotRun, RetryNever:
	default:
		return Profile{}, invalid(name+".repeat", string(f.Repeat), "free, safe, never")
	}
	if f.Class != ClassShort && f.Class != ClassLong {
		return Profile{}, invalid(name+".class", string(f.Class), "short, long")
	}
	limit, err := parseDuration(name+".limit", f.Limit, minLimit, maxLimit)
	if err != nil {
		return Profile{}, err
	}
	p := Profile{name: name, fields: f, limit: limit}
	if f.Age != "" {
		if p.age, err = parseDuration(name+".age", f.Age, 0, maxAge); err != nil {
			return Profile{}, err
		}
	}
	if f.Replica && f.Repeat == RetryNever {
		return Profile{}, invalid(name+".replica", "true", "false with repeat never")
	}
	return p, nil
}

func parseDuration(field, value string, low, high time.Duration) (time.Duration, error) {
	duration, err := time.ParseDuration(value)
	if err != nil || duration < low || duration > high {
		return 0, invalid(field, value, fmt.Sprintf("%s to %s", low, high))
	}
	return duration, nil
}

func invalid(field, value, allowed string) error {
	return fmt.Errorf("%w: %s: %q is not allowed (allowed: %s)", citronusher.ErrInvalid, field, value, allowed)
}

// builtin returns the default profiles.
func builtin() map[string]Profile {
	all := map[string]fields{
		Fresh:  {},
		Stale:  {Replica: true, Age: "1m", Repeat: RetryIdempotent},
		Never:  {Repeat: RetryNever, Copy: true, Limit: "10s"},
		Report: {Replica: true, Age: "10m", Repeat: RetryIdempotent, Class: ClassLong, Limit: "10m"},
	}
	profiles := make(map[string]Profile, len(all))
	for name, f := range all {
		p, err := newProfile(name, f)
		if err != nil {
			panic(err) // the built-in profiles are constants
		}
		profiles[name] = p
	}
	return profiles
}

// MarshalJSON encodes the profile in the form in which it is edited.
func (p Profile) MarshalJSON() ([]byte, error) { return json.Marshal(p.fields) }
