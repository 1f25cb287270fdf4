package gossip

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"time"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/profile"
)

const (
	rowKey     = "config"
	lookPause  = 100 * time.Millisecond // between looks for the fate of a write
	lookupTime = 3 * time.Second
)

// store keeps documents on the platform: each version is an object of its own, and one row of the table names the
// current one. The row's version is the document's.
type store struct {
	table   citronusher.Table
	objects citronusher.ObjectStore
}

// newer returns the stored document if it is newer than version, and an empty document when it is not.
func (s *store) newer(ctx context.Context, version uint64) (profile.Document, error) {
	row, err := s.table.Read(ctx, rowKey)
	if errors.Is(err, citronusher.ErrNotFound) {
		return profile.New(), nil
	}
	if err != nil {
		return profile.Document{}, err
	}
	if row.Version() <= version {
		return profile.Document{}, nil
	}
	body, err := s.objects.Get(ctx, row.Value())
	if err != nil {
		return profile.Document{}, err
	}
	document, err := profile.Parse(body)
	if err != nil {
		return profile.Document{}, err
	}
	if document.Version() != row.Version() {
		return profile.Document{}, fmt.Errorf("%w: object %s holds version %d, its row %d", citronusher.ErrInvalid,
			row.Value(), document.Version(), row.Version())
	}
	return document, nil
}

// write stores the document as the next version. When an answer is lost, it looks until it knows whose write took
// effect: the object's name is unique to this call.
func (s *store) write(ctx context.Context, document profile.Document) error {
	body, err := document.Encode()
	if err != nil {
		return err
	}
	key := fmt.Sprintf("%s/%d-%s", rowKey, document.Version(), rand.Text())
	if err := s.put(ctx, key, body); err != nil {
		return err
	}
	row := citronusher.NewRow(rowKey, document.Version(), key)
	err = s.table.Write(ctx, row)
	if err == nil {
		return nil
	}
	return s.lookUp(ctx, row, err)
}

// put stores the object. Its name is unique, so that a lost answer is repeated without harm.
func (s *store) put(ctx context.Context, key string, body []byte) error {
	err := s.objects.Put(ctx, key, body)
	if err == nil {
		return nil
	}
	if again := s.objects.Put(ctx, key, body); again != nil {
		return fmt.Errorf("edit was not stored: %w", err)
	}
	return nil
}

// lookUp finds out whether row was stored after its write failed with cause.
func (s *store) lookUp(ctx context.Context, row citronusher.Row, cause error) error {
	ctx, cancel := context.WithTimeout(ctx, lookupTime)
	defer cancel()
	for {
		stored, err := s.table.Read(ctx, rowKey)
		switch {
		case err == nil && stored.Version() == row.Version() && stored.Value() == row.Value():
			return nil
		case err == nil && stored.Version() >= row.Version():
			return fmt.Errorf("%w: version %d was stored first", citronusher.ErrConflict, stored.Version())
		case err == nil || errors.Is(err, citronusher.ErrNotFound):
			// Not stored so far. Writing again is safe: the condition lets one write through.
			if again := s.table.Write(ctx, row); again == nil {
				return nil
			}
		}
		select {
		case <-time.After(lookPause):
		case <-ctx.Done():
			return fmt.Errorf("the edit's outcome is unknown: %w", cause)
		}
	}
}
