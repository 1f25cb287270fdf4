package profile_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/profile"
)

// TestDocument edits a document by the lines of a script: part, name, expected version and body. An invalid or conflicting
// edit that is accepted would reach every daemon.
func TestDocument(t *testing.T) {
	datadriven.RunTest(t, "testdata/document.txt", func(_ *testing.T, d *datadriven.TestData) string {
		document := profile.New()
		var out strings.Builder
		for _, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
			var part, name string
			var expect uint64
			_, _ = fmt.Sscan(line, &part, &name, &expect)
			_, body, _ := strings.Cut(line, "{")
			if body != "" {
				body = "{" + body
			}
			next, err := document.Edit(part, name, expect, []byte(body))
			if err != nil {
				fmt.Fprintf(&out, "conflict %t, invalid %t: %v\n", errors.Is(err, citronusher.ErrConflict),
					errors.Is(err, citronusher.ErrInvalid), err)
				continue
			}
			document = next
			fmt.Fprintf(&out, "version %d: %s; %s\n", document.Version(), strings.Join(document.Profiles(), " "),
				strings.Join(document.Databases(), " "))
		}
		return out.String()
	})
}

// TestEncodeRoundTrip checks that an encoded document is parsed to the same document.
func TestEncodeRoundTrip(t *testing.T) {
	document, err := profile.New().Edit(profile.PartTarget, "guide-1", 0,
		[]byte(`{"connections": 16, "slots": 2, "members": [{"name": "m1", "address": "127.0.0.1:1", "domain": "oita"}]}`))
	if err != nil {
		t.Fatal(err)
	}
	body, err := document.Encode()
	if err != nil {
		t.Fatal(err)
	}
	again, err := profile.Parse(body)
	if err != nil {
		t.Fatal(err)
	}
	second, _ := again.Encode()
	if again.Version() != 1 || string(second) != string(body) {
		t.Errorf("%s became %s", body, second)
	}
}

// FuzzParse checks that every error of Parse wraps ErrInvalid, so that it is reported as invalid input.
func FuzzParse(f *testing.F) {
	body, _ := profile.New().Encode()
	f.Add(body)
	f.Fuzz(func(t *testing.T, body []byte) {
		if _, err := profile.Parse(body); err != nil && !errors.Is(err, citronusher.ErrInvalid) {
			t.Errorf("error does not wrap ErrInvalid: %v", err)
		}
	})
}
