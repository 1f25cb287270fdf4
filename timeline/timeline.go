// Package timeline tells from the logs of several daemons what happened to one request, or to what the daemons believed
// of a group.
//
// It reads lines of JSON, with or without a prefix, puts them in the order of their times and picks the ones that
// matter. It decides nothing else.
package timeline

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// Line is one log line.
type Line struct {
	at       time.Time
	instance string
	event    int
	text     string
	fields   map[string]any
}

// At returns when the line was written, by its daemon's clock.
func (l Line) At() time.Time { return l.at }

// Event returns the event's number.
func (l Line) Event() int { return l.event }

// Field returns a field as text; empty when the line lacks it.
func (l Line) Field(name string) string {
	if value, ok := l.fields[name]; ok {
		return fmt.Sprint(value)
	}
	return ""
}

// String formats the line for reading.
func (l Line) String() string {
	var out strings.Builder
	fmt.Fprintf(&out, "%s  %-18s %d %s", l.at.Format("15:04:05.000"), l.instance, l.event, l.text)
	for _, name := range slices.Sorted(maps.Keys(l.fields)) {
		fmt.Fprintf(&out, " %s=%v", name, l.fields[name])
	}
	return out.String()
}

// maxLine is the longest line that is read, in bytes.
const maxLine = 1 << 20

// Read returns the log lines in r. What stands before a line's first brace, and lines that are no JSON, are left out.
func Read(r io.Reader) ([]Line, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	var lines []Line
	for scanner.Scan() {
		text := scanner.Text()
		start := strings.IndexByte(text, '{')
		if start < 0 {
			continue
		}
		if line, ok := parse(text[start:]); ok {
			lines = append(lines, line)
		}
	}
	if err := scanner.Err(); err != nil {
		return lines, fmt.Errorf("read log: %w", err)
	}
	return lines, nil
}

func parse(text string) (Line, bool) {
	var fields map[string]any
	if json.Unmarshal([]byte(text), &fields) != nil {
		return Line{}, false
	}
	at, err := time.Parse(time.RFC3339Nano, fmt.Sprint(fields["time"]))
	number, ok := fields["event"].(float64)
	if err != nil || !ok {
		return Line{}, false
	}
	line := Line{at: at, event: int(number), fields: fields}
	line.text, _ = fields["msg"].(string)
	line.instance, _ = fields["instance"].(string)
	for _, name := range []string{"time", "level", "msg", "event", "instance"} {
		delete(fields, name)
	}
	return line, true
}

// Sort orders lines by time.
func Sort(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.at.Compare(b.at) })
}

// The events that say what daemons believe, which a request's story needs.
const (
	firstBelief = 100
	lastBelief  = 500
)

func (l Line) belief() bool { return l.event >= firstBelief && l.event < lastBelief }

// Request returns the lines about the request id, and what the daemons said about its group and their own state from
// before until after it. lines must be sorted.
func Request(lines []Line, id string, before, after time.Duration) []Line {
	var own []Line
	for _, l := range lines {
		if l.Field("id") == id {
			own = append(own, l)
		}
	}
	if len(own) == 0 {
		return nil
	}
	group := own[0].Field("group")
	from, until := own[0].at.Add(-before), own[len(own)-1].at.Add(after)
	return slices.DeleteFunc(slices.Clone(lines), func(l Line) bool {
		if l.Field("id") == id {
			return false
		}
		near := !l.at.Before(from) && !l.at.After(until)
		about := l.Field("group") == group || l.Field("group") == "" && l.instance == own[0].instance
		return !near || !l.belief() || !about
	})
}

// GroupState returns the lines since a time about a group or a member; empty names match all.
func GroupState(lines []Line, since time.Time, group, member string) []Line {
	return slices.DeleteFunc(slices.Clone(lines), func(l Line) bool {
		return !l.belief() || l.at.Before(since) ||
			group != "" && l.Field("group") != group || member != "" && l.Field("member") != member && l.Field("primary") != member
	})
}
