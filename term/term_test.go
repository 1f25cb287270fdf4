package term_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/term"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(milliseconds int) time.Time { return start.Add(time.Duration(milliseconds) * time.Millisecond) }

// monitorScript applies the lines of a script to a monitor.
type monitorScript struct {
	monitor *term.Monitor
	now     int
}

func (s *monitorScript) run(d *datadriven.TestData) string {
	var out strings.Builder
	for _, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
		fields := strings.Fields(line)
		switch fields[0] {
		case "at":
			_, _ = fmt.Sscan(fields[1], &s.now)
		case "answer": // answer MEMBER ROLE TERM OFFSET AGE: received from its primary AGE milliseconds ago
			var memberTerm, offset uint64
			var age int
			_, _ = fmt.Sscan(strings.Join(fields[3:], " "), &memberTerm, &offset, &age)
			state := citronusher.NewMemberState(citronusher.Role(fields[2]), memberTerm,
				citronusher.NewPosition(memberTerm, offset), nil, at(s.now))
			s.monitor.Observe(fields[1], state.WithReplication(at(s.now-age), at(s.now-age)), at(s.now))
		case "unresponsive":
			s.monitor.ObserveFailure(fields[1], false)
		case "busy":
			s.monitor.ObserveBusy(fields[1], at(s.now))
		case "refused":
			s.monitor.ObserveFailure(fields[1], true)
		case "leaving":
			s.monitor.SetLeaving(fields[1], true, at(s.now))
		case "members":
			s.monitor.SetMembers(fields[1:], nil, at(s.now))
		case "rank":
			var rank int
			_, _ = fmt.Sscan(fields[1], &rank)
			s.monitor.SetRank(rank)
		case "held": // held TERM SINCE
			var heldTerm uint64
			var since int
			_, _ = fmt.Sscan(strings.Join(fields[1:], " "), &heldTerm, &since)
			fmt.Fprintf(&out, "%d: term %d held since %d: %t\n", s.now, heldTerm, since, s.monitor.HeldSince(heldTerm, at(since)))
		case "decide":
			a := s.monitor.Decide(at(s.now))
			switch {
			case a.Promote > 0 && a.Planned:
				fmt.Fprintf(&out, "%d: planned promotion to term %d\n", s.now, a.Promote)
			case a.Promote > 0:
				fmt.Fprintf(&out, "%d: promote to term %d\n", s.now, a.Promote)
			case len(a.Follow) > 0:
				fmt.Fprintf(&out, "%d: %s follow %s under term %d\n", s.now, strings.Join(a.Follow, " "), a.Primary, a.Term)
			default:
				fmt.Fprintf(&out, "%d: nothing\n", s.now)
			}
		default:
			d.Fatalf(nil, "unknown line %q", line)
		}
	}
	return out.String()
}

// TestMonitor checks when a home promotes a member and which members it commands to follow. A promotion that starts too
// early replaces a primary that is available, one that starts too late leaves the group without one.
func TestMonitor(t *testing.T) {
	datadriven.RunTest(t, "testdata/monitor.txt", func(_ *testing.T, d *datadriven.TestData) string {
		s := &monitorScript{monitor: term.NewMonitor([]string{"m1", "m2", "m3"}, term.DefaultTimeouts(), start)}
		return s.run(d)
	})
}

// TestConfirm checks that a round confirms a term only by a majority that includes the primary. Otherwise commits of a
// replaced primary would be acknowledged.
func TestConfirm(t *testing.T) {
	datadriven.RunTest(t, "testdata/confirm.txt", func(_ *testing.T, d *datadriven.TestData) string {
		r := term.NewRound(4, "m1", 3)
		for _, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
			fields := strings.Fields(line)
			if fields[1] == "missing" {
				r.AddMissing(fields[0])
				continue
			}
			var answered, offset, logTerm uint64 // the log's last term is the member's, unless it is given
			_, _ = fmt.Sscan(fields[2], &answered)
			_, _ = fmt.Sscan(fields[3], &offset)
			logTerm = answered
			if len(fields) > 4 {
				_, _ = fmt.Sscan(fields[4], &logTerm)
			}
			r.AddAnswer(fields[0], citronusher.NewMemberState(citronusher.Role(fields[1]), answered,
				citronusher.NewPosition(logTerm, offset), nil, start))
		}
		verdicts := map[term.Verdict]string{
			term.Pending: "pending", term.Confirmed: "confirmed", term.Superseded: "superseded",
		}
		return fmt.Sprintf("%s at %s, copied %t\n", verdicts[r.Verdict()], r.Position(), r.HeldByMajority(r.LogEnd()))
	})
}

// fencedMember implements the members' rule: a new term must be higher than the member's own.
type fencedMember struct{ term uint64 }

func (m *fencedMember) fence(memberTerm uint64) bool {
	if memberTerm <= m.term {
		return false
	}
	m.term = memberTerm
	return true
}

// TestElectionsExclude checks that no term has two winners and that no round confirms an older term after an election is
// won, for random interleavings of two claimants. Otherwise two primaries could be used at once.
func TestElectionsExclude(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.SampledFrom([]int{3, 5}).Draw(t, "members")
		members := make([]fencedMember, count)
		for i := range members {
			members[i].term = 1
		}
		winners := map[uint64]string{}
		elections := map[string]*term.Election{}
		terms := map[string]uint64{"a": 2, "b": 2}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			claimant := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "claimant")
			if elections[claimant] == nil || rapid.IntRange(0, 5).Draw(t, "again") == 0 {
				terms[claimant] += uint64(rapid.IntRange(0, 1).Draw(t, "bump"))
				elections[claimant] = term.NewElection(terms[claimant], count)
			}
			i := rapid.IntRange(0, count-1).Draw(t, "member")
			if members[i].fence(terms[claimant]) {
				elections[claimant].AddFenced(fmt.Sprint(i), citronusher.MemberState{})
			}
			if !elections[claimant].Won() {
				continue
			}
			won := terms[claimant]
			if other, ok := winners[won]; ok && other != claimant {
				t.Fatalf("term %d was won by %s and %s", won, other, claimant)
			}
			winners[won] = claimant
			old := term.NewRound(won-1, "0", count)
			for j := range members {
				old.AddAnswer(fmt.Sprint(j), citronusher.NewMemberState(citronusher.RolePrimary, members[j].term,
					citronusher.Position{}, nil, start))
			}
			if old.Verdict() == term.Confirmed {
				t.Fatalf("term %d was confirmed after %d was won", won-1, won)
			}
		}
	})
}

// TestCandidateHasTheLatestLog checks that the candidate has the latest position of a majority: any other one would lose
// acknowledged writes.
func TestCandidateHasTheLatestLog(t *testing.T) {
	c := term.NewElection(5, 3)
	state := func(logTerm, offset uint64) citronusher.MemberState {
		return citronusher.NewMemberState(citronusher.RoleReplica, 5, citronusher.NewPosition(logTerm, offset), nil, start)
	}
	c.AddFenced("m1", state(3, 90))
	if _, ok := c.Candidate(func(string) bool { return true }); ok {
		t.Error("a minority elected a candidate")
	}
	c.AddFenced("m2", state(4, 80))
	c.AddFenced("m3", state(4, 85))
	if name, ok := c.Candidate(func(string) bool { return true }); !ok || name != "m3" {
		t.Errorf("candidate %q, %t", name, ok)
	}
	if name, _ := c.Candidate(func(name string) bool { return name != "m3" }); name != "m3" {
		t.Errorf("candidate when the only member with the whole log is leaving: %q", name)
	}
	c.AddFenced("m4", state(4, 85))
	if name, _ := c.Candidate(func(name string) bool { return name != "m3" }); name != "m4" {
		t.Errorf("candidate among the remaining members with the whole log: %q", name)
	}
}
