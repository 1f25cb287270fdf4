package operator

import (
	"errors"
	"fmt"
	"os"
	"time"

	"citronusher.example/citronusher/timeline"
)

// errNoLines reports logs that hold nothing of what was asked for.
var errNoLines = errors.New("the logs hold no such lines")

// logCommand tells a request's or a belief's story from the logs of several daemons.
type logCommand struct {
	Files  []string      `arg:"" type:"existingfile" help:"Log files of daemons; lines may have a prefix."`
	ID     string        `help:"Tell the story of the request with this id."`
	Before time.Duration `default:"3s" help:"How long before the request the story begins."`
	After  time.Duration `default:"500ms" help:"How long after the request the story ends."`
	Since  time.Duration `help:"Without an id: how long after the first line the story begins."`
	Group  string        `help:"Without an id: only lines about this group."`
	Member string        `help:"Without an id: only lines about this member."`
}

// Run prints the story.
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
	chosen := c.choose(lines)
	if len(chosen) == 0 {
		return errNoLines
	}
	for _, line := range chosen {
		fmt.Fprintln(g.out, line)
	}
	return nil
}

func (c *logCommand) choose(lines []timeline.Line) []timeline.Line {
	if c.ID != "" {
		return timeline.Request(lines, c.ID, c.Before, c.After)
	}
	if len(lines) == 0 {
		return nil
	}
	return timeline.GroupState(lines, lines[0].At().Add(c.Since), c.Group, c.Member)
}
