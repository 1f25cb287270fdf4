package settings_test

import (
	"errors"
	"strings"
	"testing"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/settings"
)

const valid = `{
	// a comment
	"name": "d1", "domain": "fukuoka", "target": {"user": "u"},
	"keys": {"peer": "12345678", "operator": "12345678"},
}`

// TestDefaults guards against defaults that listen on other interfaces than loopback.
func TestDefaults(t *testing.T) {
	s, err := settings.Parse([]byte(valid))
	if err != nil {
		t.Fatal(err)
	}
	for _, address := range []string{s.Entry(), s.Peer(), s.Health()} {
		if !strings.HasPrefix(address, "127.0.0.1:") {
			t.Errorf("%s is not on loopback", address)
		}
	}
}

// TestErrorsNameTheField guards against errors that an operator cannot act on, or that leak a secret: each must name the
// field and its allowed values, and never contain a credential.
func TestErrorsNameTheField(t *testing.T) {
	for change, want := range map[string]string{
		`"name": "D 1",`:                             `name: "D 1" is not allowed`,
		`"entry": {"address": "localhost:1"},`:       `entry.address: "localhost:1" is not allowed (allowed: IP:PORT)`,
		`"drain": "2h",`:                             `drain: "2h" is not allowed (allowed: 100ms to 1h0m0s)`,
		`"limit": "best",`:                           `limit: "best"`,
		`"colour": 1,`:                               `unknown field "colour"`,
		`"keys": {"peer": "secret", "operator":""},`: `a key of `,
	} {
		_, err := settings.Parse([]byte(strings.TrimSuffix(valid, "}") + change + "}"))
		if !errors.Is(err, citronusher.ErrInvalid) || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", change, err)
		}
		if err != nil && strings.Contains(err.Error(), "secret") {
			t.Errorf("%s: the error repeats a secret", change)
		}
	}
}

// FuzzParse checks that every error of Parse wraps ErrInvalid.
func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Fuzz(func(t *testing.T, body []byte) {
		if _, err := settings.Parse(body); err != nil && !errors.Is(err, citronusher.ErrInvalid) {
			t.Errorf("error does not wrap ErrInvalid: %v", err)
		}
	})
}
