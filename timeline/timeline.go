// Package timeline merges the logs of several daemons into the timeline of one request, or of the state events of a
// group.
//
// It reads lines of JSON, with or without a prefix, sorts them by time and selects the relevant ones.
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

// At returns when the line was written, by the clock of its daemon.
func (l Line) At() time.Time { return l.at }

// Event returns the event's number.
func (l Line) Event() int { return l.event }

// Field returns the value of a field as text; empty when the line lacks the field.
func (l Line) Field(name string) string {
	if value, ok := l.fields[name]; ok {
		return fmt.Sprint(value)
	}
	return ""
}

// String formats the line for display: time, instance, event number, message, and the other fields by name.
func (l Line) String() string {
	var out strings.Builder
	fmt.Fprintf(&out, "%s  %-18s %d %s", l.at.Format("15:04:05.000"), l.instance, l.event, l.text)
	for _, name := range slices.Sorted(maps.Keys(l.fields)) {
		fmt.Fprintf(&out, " %s=%v", name, l.fields[name])
	}
	return out.String()
}

// maxLineBytes is the longest line that is read, in bytes.
const maxLineBytes = 1 << 20

// Read returns the log lines in r. It skips the prefix before a line's first brace, and lines that are not JSON or lack a
// time or an event number. With an error it returns the lines before it.
func Read(r io.Reader) ([]Line, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
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

// The range of events that report a daemon's state, which a request's timeline includes: from firstStateEvent up to, but
// not including, endStateEvent.
const (
	firstStateEvent = 100
	endStateEvent   = 500
)

func (l Line) isStateEvent() bool { return l.event >= firstStateEvent && l.event < endStateEvent }

// Request returns the lines of the request id and, in the time from before its first line until after its last, the state
// events of its group on all daemons and those without a group on the daemon of its first line. lines must be sorted.
func Request(lines []Line, id string, before, after time.Duration) []Line {
	var requestLines []Line
	for _, l := range lines {
		if l.Field("id") == id {
			requestLines = append(requestLines, l)
		}
	}
	if len(requestLines) == 0 {
		return nil
	}
	group := requestLines[0].Field("group")
	from, until := requestLines[0].at.Add(-before), requestLines[len(requestLines)-1].at.Add(after)
	return slices.DeleteFunc(slices.Clone(lines), func(l Line) bool {
		if l.Field("id") == id {
			return false
		}
		inWindow := !l.at.Before(from) && !l.at.After(until)
		related := l.Field("group") == group || l.Field("group") == "" && l.instance == requestLines[0].instance
		return !inWindow || !l.isStateEvent() || !related
	})
}

// GroupState returns the state events since a time about a group, or about a member or primary; empty names match all.
func GroupState(lines []Line, since time.Time, group, member string) []Line {
	return slices.DeleteFunc(slices.Clone(lines), func(l Line) bool {
		return !l.isStateEvent() || l.at.Before(since) ||
			group != "" && l.Field("group") != group || member != "" && l.Field("member") != member && l.Field("primary") != member
	})
}
