package session_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/session"
)

func position(t *testing.T, text string) citronusher.Position {
	t.Helper()
	var term, offset uint64
	if _, err := fmt.Sscanf(text, "%d/%d", &term, &offset); err != nil {
		t.Fatal(err)
	}
	return citronusher.NewPosition(term, offset)
}

// TestSession checks the positions and the token of a session. A position that is lost or too low would let a caller read
// data without its own writes.
func TestSession(t *testing.T) {
	datadriven.RunTest(t, "testdata/session.txt", func(t *testing.T, d *datadriven.TestData) string {
		name := ""
		if len(d.CmdArgs) > 0 {
			name = d.CmdArgs[0].Key
		}
		s := session.New(name)
		var out strings.Builder
		for _, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
			fields := strings.Fields(line)
			switch fields[0] {
			case "merge":
				if err := s.MergeToken(strings.Join(fields[1:], "")); err != nil {
					fmt.Fprintf(&out, "%v, invalid %t\n", err, errors.Is(err, citronusher.ErrInvalid))
				}
			case "advance":
				fmt.Fprintf(&out, "changed %t\n", s.Advance(fields[1], position(t, fields[2])))
			case "position":
				minimum, known := s.Position(fields[1])
				fmt.Fprintf(&out, "%s known %t\n", minimum, known)
			case "token":
				fmt.Fprintf(&out, "%q\n", s.Token())
			}
		}
		return out.String()
	})
}

// TestFirstLostTerm checks whether a promotion discarded records of a session. A loss that is not detected would let the
// caller continue as if its writes still existed.
func TestFirstLostTerm(t *testing.T) {
	starts := []citronusher.TermStart{
		citronusher.NewTermStart(1, 0), citronusher.NewTermStart(4, 100), citronusher.NewTermStart(6, 90),
	}
	for text, want := range map[string]uint64{"1/100": 6, "1/90": 0, "4/101": 6, "4/90": 0, "6/500": 0, "3/101": 4, "0/0": 0} {
		start, lost := session.FirstLostTerm(position(t, text), starts)
		if lost != (want != 0) || start.Term() != want {
			t.Errorf("%s: lost %t at term %d, want term %d", text, lost, start.Term(), want)
		}
	}
}

// FuzzMergeToken checks that a valid token is encoded again to a token that is valid and stable.
func FuzzMergeToken(f *testing.F) {
	f.Add("guide-1=1/2,guide-2=3/4")
	f.Fuzz(func(t *testing.T, token string) {
		s := session.New("caller")
		if s.MergeToken(token) != nil {
			return
		}
		again := session.New("caller")
		if err := again.MergeToken(s.Token()); err != nil || again.Token() != s.Token() {
			t.Errorf("token %q became %q, %v", s.Token(), again.Token(), err)
		}
	})
}

func ExampleSession() {
	s := session.New("editor-1")
	s.Advance("guide-1", citronusher.NewPosition(4, 120))
	fmt.Println(s.Token())
	// Output: guide-1=4/120
}
