package timeline_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"citronusher.example/citronusher/timeline"
)

// TestStories reads logs as a bench prints them and tells stories from them.
func TestStories(t *testing.T) {
	var lines []timeline.Line
	datadriven.RunTest(t, "testdata/story.txt", func(t *testing.T, d *datadriven.TestData) string {
		var chosen []timeline.Line
		switch d.Cmd {
		case "read":
			read, err := timeline.Read(strings.NewReader(d.Input))
			if err != nil {
				t.Fatal(err)
			}
			lines = read
			timeline.Sort(lines)
			return fmt.Sprintf("%d lines\n", len(lines))
		case "request":
			chosen = timeline.Request(lines, d.CmdArgs[0].Key, time.Second, time.Second)
		case "belief":
			var group, member string
			d.MaybeScanArgs(t, "group", &group)
			d.MaybeScanArgs(t, "member", &member)
			chosen = timeline.GroupState(lines, time.Time{}, group, member)
		}
		var out strings.Builder
		for _, line := range chosen {
			fmt.Fprintln(&out, line)
		}
		return out.String()
	})
}
