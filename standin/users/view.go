package users

import (
	"net/http"
	"net/http/httptest"
)

// Translate returns the value that a view shows in place of a row's.
type Translate func(table, key string, value []byte) []byte

// View starts another address of the store and of the promotion call, which shows translated values, and returns it as
// IP:PORT. It must not be called while the store is being closed.
func (s *Store) View(translate Translate) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.handler.ServeHTTP(viewWriter{ResponseWriter: w, translate: translate}, r)
	}))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.views = append(s.views, server)
	return server.Listener.Addr().String()
}

// viewWriter is the response writer of a view.
type viewWriter struct {
	http.ResponseWriter
	translate Translate
}

// translateRows returns rows with translated values.
func (v viewWriter) translateRows(rows []row) []row {
	translated := make([]row, len(rows))
	for i, r := range rows {
		if !r.Deleted {
			r.Value = v.translate(r.Table, r.Key, r.Value)
		}
		translated[i] = r
	}
	return translated
}
