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
	rowKey         = "config"
	lookUpInterval = 100 * time.Millisecond // between reads of the row after a write without an answer
	lookUpTimeout  = 3 * time.Second
)

// store reads and writes documents on the platform. Each version is a separate object; one row of the table holds the key
// of the current one, and the row's version is the document's.
type store struct {
	table   citronusher.Table
	objects citronusher.ObjectStore
}

// readNewer returns the stored document if it is newer than version, and the zero document if it is not. If nothing is
// stored yet, it returns a new document at version 0.
func (s *store) readNewer(ctx context.Context, version uint64) (profile.Document, error) {
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
		return profile.Document{}, fmt.Errorf("%w: object %s holds a document of version %d, but its row has version %d",
			citronusher.ErrInvalid, row.Value(), document.Version(), row.Version())
	}
	return document, nil
}

// write stores the document as the next version. If the write of the row fails, it reads the row until it can determine
// whose write took effect: the object's key is unique to this call.
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

// put stores the object. Its key is unique, so that the write can be repeated safely if an answer was lost.
func (s *store) put(ctx context.Context, key string, body []byte) error {
	err := s.objects.Put(ctx, key, body)
	if err == nil {
		return nil
	}
	if again := s.objects.Put(ctx, key, body); again != nil {
		return fmt.Errorf("the edit was not stored: the write of its object failed twice: %w", err)
	}
	return nil
}

// lookUp determines whether row was stored after its write failed with cause. It returns nil if it was, ErrConflict if
// another write was stored instead, and cause if lookUpTimeout passed without a result.
func (s *store) lookUp(ctx context.Context, row citronusher.Row, cause error) error {
	ctx, cancel := context.WithTimeout(ctx, lookUpTimeout)
	defer cancel()
	for {
		stored, err := s.table.Read(ctx, rowKey)
		switch {
		case err == nil && stored.Version() == row.Version() && stored.Value() == row.Value():
			return nil
		case err == nil && stored.Version() >= row.Version():
			return fmt.Errorf("%w: version %d was stored first", citronusher.ErrConflict, stored.Version())
		case err == nil || errors.Is(err, citronusher.ErrNotFound):
			// Not stored so far. Writing again is safe: the condition on the version allows only one write.
			if again := s.table.Write(ctx, row); again == nil {
				return nil
			}
		}
		select {
		case <-time.After(lookUpInterval):
		case <-ctx.Done():
			return fmt.Errorf("the edit's outcome is unknown: %w", cause)
		}
	}
}
