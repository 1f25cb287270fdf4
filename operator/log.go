package operator

import (
	"errors"
	"fmt"
	"os"
	"time"

	"citronusher.example/citronusher/timeline"
)

// errNoMatchingLines reports logs without lines that match the flags.
var errNoMatchingLines = errors.New("no matching lines in the logs")

// logCommand shows the timeline of a request or of a group's state events from the logs of several daemons.
type logCommand struct {
	Files  []string      `arg:"" type:"existingfile" help:"Log files of daemons; lines may have a prefix."`
	ID     string        `help:"Show the timeline of the request with this id."`
	Before time.Duration `default:"3s" help:"How long before the request the timeline begins."`
	After  time.Duration `default:"500ms" help:"How long after the request the timeline ends."`
	Since  time.Duration `help:"Without an id: how long after the first line the timeline begins."`
	Group  string        `help:"Without an id: only lines about this group."`
	Member string        `help:"Without an id: only lines about this member."`
}

// Run prints the timeline.
func (c *logCommand) Run(g *Global) error {
	var lines []timeline.Line
	for _, name := range c.Files {
		file, err := os.Open(name)
		if err != nil {
			return fmt.Errorf("log: %w", err)
		}
		read, err := timeline.Read(file)
		if err := errors.Join(err, file.Close()); err != nil {
			return fmt.Errorf("log %s: %w", name, err)
		}
		lines = append(lines, read...)
	}
	timeline.Sort(lines)
	selected := c.selectLines(lines)
	if len(selected) == 0 {
		return errNoMatchingLines
	}
	for _, line := range selected {
		fmt.Fprintln(g.out, line)
	}
	return nil
}

func (c *logCommand) selectLines(lines []timeline.Line) []timeline.Line {
	if c.ID != "" {
		return timeline.Request(lines, c.ID, c.Before, c.After)
	}
	if len(lines) == 0 {
		return nil
	}
	return timeline.GroupState(lines, lines[0].At().Add(c.Since), c.Group, c.Member)
}
