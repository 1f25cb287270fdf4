package operator

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"strings"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/profile"
)

type profileCommands struct {
	List profileList `cmd:"" help:"List the profiles."`
	Show profileShow `cmd:"" help:"Show a profile."`
	Set  profileSet  `cmd:"" help:"Replace a profile from a file of JSON with comments."`
	Drop profileDrop `cmd:"" help:"Remove a profile."`
	Diff profileDiff `cmd:"" help:"Compare a file with the active profile."`
}

type profileList struct{}

// Run lists the profiles.
func (profileList) Run(g *Global) error {
	d, err := g.document()
	if err != nil {
		return err
	}
	lines := []string{fmt.Sprintf("version %d", d.Version())}
	profiles := map[string]profile.Profile{}
	for _, name := range d.Profiles() {
		p, _ := d.Profile(name)
		profiles[name] = p
		lines = append(lines, fmt.Sprintf("%-10s replica %-5t age %-6s repeat %-5s copy %-5t class %-5s limit %s", name,
			p.Replica(), p.MaxAge(), p.RetryPolicy(), p.MajorityAck(), p.Class(), p.Timeout()))
	}
	return g.print(map[string]any{"version": d.Version(), "profiles": profiles}, strings.Join(lines, "\n"))
}

type profileShow struct {
	Name string `arg:"" help:"Profile name."`
}

// Run shows a profile.
func (c profileShow) Run(g *Global) error {
	d, body, err := g.profileBody(c.Name)
	if err != nil {
		return err
	}
	return g.print(map[string]any{"version": d.Version(), "profile": json.RawMessage(body)},
		fmt.Sprintf("version %d\n%s", d.Version(), body))
}

func (g *Global) profileBody(name string) (profile.Document, []byte, error) {
	d, err := g.document()
	if err != nil {
		return d, nil, err
	}
	p, ok := d.Profile(name)
	if !ok {
		return d, nil, fmt.Errorf("%w: profile %q", citronusher.ErrNotFound, name)
	}
	body, err := json.MarshalIndent(p, "", "  ")
	return d, body, err
}

type profileSet struct {
	Name   string `arg:"" help:"Profile name."`
	File   string `arg:"" help:"File of JSON with comments."`
	Expect uint64 `required:"" help:"Version that you have seen; if another one is active, the edit is a conflict."`
}

// Run replaces a profile.
func (c profileSet) Run(g *Global) error {
	return g.edit(profile.PartProfile, c.Name, c.Expect, c.File)
}

type profileDrop struct {
	Name   string `arg:"" help:"Profile name."`
	Expect uint64 `required:"" help:"Version that you have seen; if another one is active, the edit is a conflict."`
}

// Run removes a profile.
func (c profileDrop) Run(g *Global) error { return g.edit(profile.PartProfile, c.Name, c.Expect, "") }

type profileDiff struct {
	Name string `arg:"" help:"Profile name."`
	File string `arg:"" help:"File of JSON with comments."`
}

// Run shows the lines that differ between the active profile and the file.
func (c profileDiff) Run(g *Global) error {
	d, current, err := g.profileBody(c.Name)
	if err != nil {
		return err
	}
	body, err := os.ReadFile(c.File)
	if err != nil {
		return fmt.Errorf("%w: %w", citronusher.ErrInvalid, err)
	}
	next, err := d.Edit(profile.PartProfile, c.Name, d.Version(), body)
	if err != nil {
		return err
	}
	p, _ := next.Profile(c.Name)
	edited, err := json.MarshalIndent(p, "", "  ")
	if err != nil {
		return fmt.Errorf("diff: %w", err)
	}
	lines := diffLines(current, edited)
	return g.print(map[string]any{"version": d.Version(), "diff": lines}, strings.Join(lines, "\n"))
}

// diffLines returns the lines that only one of the texts has, prefixed with - for current and + for edited.
func diffLines(current, edited []byte) []string {
	lines := []string{}
	for _, line := range bytes.Split(current, []byte("\n")) {
		if !bytes.Contains(append(edited, '\n'), append(bytes.Clone(line), '\n')) {
			lines = append(lines, "- "+string(line))
		}
	}
	for _, line := range bytes.Split(edited, []byte("\n")) {
		if !bytes.Contains(append(current, '\n'), append(bytes.Clone(line), '\n')) {
			lines = append(lines, "+ "+string(line))
		}
	}
	return lines
}

type targetCommands struct {
	List targetList `cmd:"" help:"List the databases and their members."`
	Set  targetSet  `cmd:"" help:"Replace a database from a file of JSON with comments."`
	Drop targetDrop `cmd:"" help:"Remove a database."`
}

type targetList struct{}

// Run lists the databases.
func (targetList) Run(g *Global) error {
	d, err := g.document()
	if err != nil {
		return err
	}
	lines := []string{fmt.Sprintf("version %d", d.Version())}
	databases := map[string]profile.Database{}
	for _, name := range d.Databases() {
		database, _ := d.Database(name)
		databases[name] = database
		lines = append(lines, fmt.Sprintf("%s: %d connections, %d slots, %d homes", name, database.Connections(),
			database.Slots(), database.Homes()))
		for _, m := range database.Members() {
			lines = append(lines, fmt.Sprintf("  %-14s %-21s %-10s leaving %t", m.Name(), m.Address(), m.Domain(),
				m.Leaving()))
		}
	}
	return g.print(map[string]any{"version": d.Version(), "databases": databases}, strings.Join(lines, "\n"))
}

type targetSet struct {
	Name   string `arg:"" help:"Database name."`
	File   string `arg:"" help:"File of JSON with comments."`
	Expect uint64 `required:"" help:"Version that you have seen; if another one is active, the edit is a conflict."`
}

// Run replaces a database.
func (c targetSet) Run(g *Global) error { return g.edit(profile.PartTarget, c.Name, c.Expect, c.File) }

type targetDrop struct {
	Name   string `arg:"" help:"Database name."`
	Expect uint64 `required:"" help:"Version that you have seen; if another one is active, the edit is a conflict."`
}

// Run removes a database.
func (c targetDrop) Run(g *Global) error { return g.edit(profile.PartTarget, c.Name, c.Expect, "") }
