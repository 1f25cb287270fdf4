package profile

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/tailscale/hujson"

	"citronusher.example/citronusher"
)

// The parts of a document that an edit can name.
const (
	PartProfile = "profile"
	PartTarget  = "target"
)

// Document is one version of the configuration. A Document is immutable.
type Document struct {
	version   uint64
	profiles  map[string]Profile
	databases map[string]Database
}

type documentFields struct {
	Version   uint64                    `json:"version"`
	Profiles  map[string]fields         `json:"profiles"`
	Databases map[string]databaseFields `json:"databases"`
}

// New returns version 0: the built-in profiles and no databases.
func New() Document {
	return Document{profiles: builtin(), databases: map[string]Database{}}
}

// Parse decodes and validates a document. Its error wraps ErrInvalid.
func Parse(body []byte) (Document, error) {
	var f documentFields
	if err := decodeStrict(body, &f); err != nil {
		return Document{}, err
	}
	d := Document{version: f.Version, profiles: map[string]Profile{}, databases: map[string]Database{}}
	for name, p := range f.Profiles {
		validated, err := newProfile(name, p)
		if err != nil {
			return Document{}, err
		}
		d.profiles[name] = validated
	}
	for name, db := range f.Databases {
		validated, err := newDatabase(name, db)
		if err != nil {
			return Document{}, err
		}
		d.databases[name] = validated
	}
	return d, nil
}

// decodeStrict decodes JSON with comments and rejects unknown fields and trailing data.
func decodeStrict(body []byte, into any) error {
	standard, err := hujson.Standardize(bytes.Clone(body))
	if err != nil {
		return fmt.Errorf("%w: %w", citronusher.ErrInvalid, err)
	}
	decoder := json.NewDecoder(bytes.NewReader(standard))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return fmt.Errorf("%w: %w", citronusher.ErrInvalid, err)
	}
	if decoder.More() {
		return fmt.Errorf("%w: data after the end of the document", citronusher.ErrInvalid)
	}
	return nil
}

// Encode encodes the document in JSON.
func (d Document) Encode() ([]byte, error) {
	f := documentFields{
		Version: d.version, Profiles: make(map[string]fields, len(d.profiles)),
		Databases: make(map[string]databaseFields, len(d.databases)),
	}
	for name, p := range d.profiles {
		f.Profiles[name] = p.fields
	}
	for name, db := range d.databases {
		f.Databases[name] = db.fields
	}
	body, err := json.Marshal(f)
	if err != nil {
		return nil, fmt.Errorf("encode document: %w", err)
	}
	return body, nil
}

// Version returns the document's version.
func (d Document) Version() uint64 { return d.version }

// Profile returns the profile called name.
func (d Document) Profile(name string) (Profile, bool) {
	p, ok := d.profiles[name]
	return p, ok
}

// Database returns the database called name.
func (d Document) Database(name string) (Database, bool) {
	db, ok := d.databases[name]
	return db, ok
}

// Profiles returns the names of the profiles, sorted.
func (d Document) Profiles() []string { return slices.Sorted(maps.Keys(d.profiles)) }

// Databases returns the names of the databases, sorted.
func (d Document) Databases() []string { return slices.Sorted(maps.Keys(d.databases)) }

// Edit returns the next version with one profile or target replaced by body, or removed when body is empty. Its error
// wraps ErrInvalid, or ErrConflict when the document's version is not expect.
func (d Document) Edit(part, name string, expect uint64, body []byte) (Document, error) {
	if expect != d.version {
		return Document{}, fmt.Errorf("%w: expected version %d, current version %d", citronusher.ErrConflict, expect,
			d.version)
	}
	next := Document{version: d.version + 1, profiles: maps.Clone(d.profiles), databases: maps.Clone(d.databases)}
	var err error
	switch part {
	case PartProfile:
		err = edit(next.profiles, name, body, newProfile)
	case PartTarget:
		old, existed := next.databases[name]
		err = edit(next.databases, name, body, newDatabase)
		if edited, ok := next.databases[name]; err == nil && existed && ok {
			err = checkMemberChange(old, edited)
		}
	default:
		err = invalid("part", part, PartProfile+", "+PartTarget)
	}
	return next, err
}

// edit replaces one entry of a map after validation, or removes it.
func edit[F, T any](entries map[string]T, name string, body []byte, validate func(string, F) (T, error)) error {
	if len(body) == 0 {
		if _, ok := entries[name]; !ok {
			return fmt.Errorf("%w: %s does not exist", citronusher.ErrInvalid, name)
		}
		delete(entries, name)
		return nil
	}
	var f F
	if err := decodeStrict(body, &f); err != nil {
		return err
	}
	validated, err := validate(name, f)
	if err != nil {
		return err
	}
	entries[name] = validated
	return nil
}
