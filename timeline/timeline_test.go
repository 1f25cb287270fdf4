package timeline_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"citronusher.example/citronusher/timeline"
)

// TestTimelines reads prefixed logs of several daemons and checks which lines belong to the timeline of a request or a
// group, in which order.
func TestTimelines(t *testing.T) {
	var lines []timeline.Line
	datadriven.RunTest(t, "testdata/story.txt", func(t *testing.T, d *datadriven.TestData) string {
		var selected []timeline.Line
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
			selected = timeline.Request(lines, d.CmdArgs[0].Key, time.Second, time.Second)
		case "state":
			var group, member string
			d.MaybeScanArgs(t, "group", &group)
			d.MaybeScanArgs(t, "member", &member)
			selected = timeline.GroupState(lines, time.Time{}, group, member)
		}
		var out strings.Builder
		for _, line := range selected {
			fmt.Fprintln(&out, line)
		}
		return out.String()
	})
}
