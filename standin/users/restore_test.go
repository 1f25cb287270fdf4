package users

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// storeCall sends a request to the store, and returns its status, its era and its rows as KEY=VALUE@VERSION.
func storeCall(t *testing.T, s *Store, method, path, body string) (int, string, string) {
	t.Helper()
	request, err := http.NewRequestWithContext(
		t.Context(), method, "http://"+s.Address()+path, bytes.NewReader([]byte(body)))
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, "", ""
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, "", ""
	}
	var p page
	if len(answer) > 0 {
		if err := json.Unmarshal(answer, &p); err != nil {
			t.Fatalf("%s: %v", answer, err)
		}
	}
	var rows []string
	for _, r := range p.Rows {
		rows = append(rows, fmt.Sprintf("%s=%s@%d", r.Key, r.Value, r.Version))
	}
	return response.StatusCode, response.Header.Get(headerEra), strings.Join(rows, " ")
}

func expectCall(t *testing.T, s *Store, path string, status int, era, rows string) {
	t.Helper()
	gotStatus, gotEra, gotRows := storeCall(t, s, http.MethodGet, path, "")
	if gotStatus != status || gotEra != era || gotRows != rows {
		t.Errorf("%s: %d, era %s, %q; want %d, era %s, %q", path, gotStatus, gotEra, gotRows, status, era, rows)
	}
}

func writeRow(t *testing.T, s *Store, table, key string) {
	t.Helper()
	body := fmt.Sprintf(`{"Writes":[{"Table":%q,"Key":%q,"Value":"eA=="}]}`, table, key)
	if status, _, _ := storeCall(t, s, http.MethodPost, "/rows-tx", body); status != http.StatusOK {
		t.Fatalf("write %s/%s: %d", table, key, status)
	}
}

// TestRestoredStore guards against a stand-in under which daemons need not cope with a restored store.
func TestRestoredStore(t *testing.T) {
	s := NewStore()
	defer s.Close()
	s.PutBytes(tableOperator, "config", []byte("1")) // version 1
	s.PutBytes(tableMembers, "m1", []byte("1"))      // version 2
	writeRow(t, s, "claims", "kept")                 // version 3
	s.Copy()
	writeRow(t, s, "claims", "lost")                 // version 4
	writeRow(t, s, "instances", "d1")                // version 5
	s.PutBytes(tableOperator, "config", []byte("2")) // version 6
	expectCall(t, s, "/rows-get?Table=claims&part=", http.StatusOK, "1", "kept=x@3 lost=x@4")

	s.RestoreCopy()
	expectCall(t, s, "/rows-get?Table=op&part=", http.StatusOK, "2", "config=1@1")
	s.Rewrite()
	expectCall(t, s, "/rows-get?Table=op&part=", http.StatusOK, "2", "config=2@4")
	expectCall(t, s, "/rows-get?Table=servers&part=", http.StatusOK, "2", "m1=1@2")
	expectCall(t, s, "/rows-get?Table=claims&part=", http.StatusOK, "2", "kept=x@3")
	expectCall(t, s, "/rows-get?Table=instances&part=", http.StatusOK, "2", "")
	expectCall(t, s, "/rows-feed?Table=op&after=6&WaitMs=5000", http.StatusGone, "2", "")
	expectCall(t, s, "/rows-feed?Table=op&after=3&WaitMs=5000", http.StatusOK, "2", "config=2@4")

	writeRow(t, s, "claims", "lost") // version 5 again
	expectCall(t, s, "/rows-get?Table=claims&part=", http.StatusOK, "2", "kept=x@3 lost=x@5")
	s.Fail(http.StatusServiceUnavailable)
	expectCall(t, s, "/rows-get?Table=claims&part=", http.StatusServiceUnavailable, "2", "")
	if s.Era() != 2 {
		t.Errorf("era %d", s.Era())
	}
}

// TestRestoreCutsFeeds guards against feed requests that outlive a restore and report versions of two eras.
func TestRestoreCutsFeeds(t *testing.T) {
	s := NewStore()
	defer s.Close()
	s.PutBytes(tableOperator, "config", []byte("1"))
	var status int
	var feed sync.WaitGroup
	feed.Go(func() { status, _, _ = storeCall(t, s, http.MethodGet, "/rows-feed?Table=op&after=1&WaitMs=9000", "") })
	time.Sleep(100 * time.Millisecond)
	s.Restore()
	feed.Wait()
	if status != 0 {
		t.Errorf("an open feed request was answered with %d", status)
	}
}
