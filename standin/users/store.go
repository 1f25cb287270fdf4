// Package users simulates the users' platform in tests: the metadata store, the promotion call, and database groups whose
// members speak the line protocol. Methods inject faults.
//
// It is test code: all data is in memory, and requests are validated only as far as the tests need.
package users

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sort"
	"strconv"
	"sync"
	"time"
)

// The tables of operators and members; daemons write the others.
const (
	tableOperator = "op"
	tableMembers  = "servers"
)

// row is one row of the store.
type row struct {
	Table   string `json:"Table"`
	Part    string `json:"part"`
	Key     string `json:"Key"`
	Value   []byte `json:"Value"`
	Version uint64 `json:"Ver"`
	Deleted bool   `json:"Deleted,omitempty"`
}

// name returns the row's unique name, TABLE/PART/KEY.
func (r row) name() string { return r.Table + "/" + r.Part + "/" + r.Key }

// set stores a row under its name. The caller must hold s.mu.
func (s *Store) set(r row) { s.rows[r.name()] = r }

// PromotionRequest is one promotion request that the platform received.
type PromotionRequest struct {
	// Holder and Token are the lease holder and fencing token of the call; Member of Group is to be promoted.
	Holder, Group, Member string
	Token                 uint64
}

// Store simulates the metadata store and the promotion call on one HTTP address.
type Store struct {
	server    *httptest.Server
	handler   http.Handler
	startedAt time.Time

	mu              sync.Mutex
	rows            map[string]row
	version         uint64
	era             uint64
	copied          storeCopy
	lost            []row         // rows of operators and members that a restore has lost and that are to be written again
	restored        chan struct{} // closed and replaced at each restore
	changed         chan struct{}
	unavailablePart string        // TABLE/PART whose calls fail with 503; empty for none
	failStatus      int           // HTTP status of every call but /promote; 0 for normal operation
	feedsStalled    bool          // feed requests that start now return no changes
	deletionDelay   time.Duration // after which calls that delete rows are performed, without an answer; 0 for at once
	requests        []PromotionRequest
	loseRequests    bool                 // promotion requests are carried out, but not answered
	planPromotion   func() PromotionPlan // nil for the usual one
	promote         func(group, member string, delay time.Duration) int
	views           []*httptest.Server
}

// NewStore starts a store without rows.
func NewStore() *Store {
	s := &Store{rows: map[string]row{}, changed: make(chan struct{}), startedAt: time.Now()}
	s.era, s.copied.rows, s.restored = 1, map[string]row{}, make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("GET /rows-get", s.serveGet)
	mux.HandleFunc("POST /rows-tx", s.serveTx)
	mux.HandleFunc("GET /rows-feed", s.serveFeed)
	mux.HandleFunc("POST /promote", s.servePromotion)
	s.handler = s.withFaults(mux)
	s.server = httptest.NewServer(s.handler)
	return s
}

// Address returns the IP:PORT of the store and of the promotion call.
func (s *Store) Address() string { return s.server.Listener.Addr().String() }

// Close closes the client connections and stops the server.
func (s *Store) Close() {
	for _, server := range append(s.views, s.server) {
		server.CloseClientConnections()
		server.Close()
	}
}

// Fail makes every call but /promote return an HTTP status; 0 restores normal operation.
func (s *Store) Fail(status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failStatus = status
}

// FailPart makes reads and writes of one part of a table, given as TABLE/PART, fail with 503; feeds still work. An empty
// name restores normal operation.
func (s *Store) FailPart(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailablePart = name
}

// StallFeeds sets whether feed requests that start from now on time out without changes.
func (s *Store) StallFeeds(stalled bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.feedsStalled = stalled
}

// DelayDeletions sets after which time calls that delete rows are performed; they are not answered. 0 restores normal
// operation.
func (s *Store) DelayDeletions(delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deletionDelay = delay
}

// LosePromotionAnswers sets whether promotion requests are carried out without an answer.
func (s *Store) LosePromotionAnswers(lose bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseRequests = lose
}

// PromotionRequests returns the promotion requests received so far.
func (s *Store) PromotionRequests() []PromotionRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]PromotionRequest{}, s.requests...)
}

// withFaults wraps next and returns the injected HTTP status, if any.
func (s *Store) withFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.writeEra(w)
		status := s.failStatus
		s.mu.Unlock()
		if status != 0 && r.URL.Path != "/promote" {
			w.WriteHeader(status)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// Put writes a row with value encoded as JSON, as operators and members do.
func (s *Store) Put(table, key string, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		panic(err) // the test passed a value that cannot be encoded
	}
	s.PutBytes(table, key, body)
}

// PutBytes writes a row with value as it is.
func (s *Store) PutBytes(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.set(row{Table: table, Key: key, Value: value, Version: s.version})
	s.notifyFeeds()
}

// Remove deletes a row.
func (s *Store) Remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.set(row{Table: table, Key: key, Version: s.version, Deleted: true})
	s.notifyFeeds()
}

// notifyFeeds wakes the waiting feed requests. The caller must hold s.mu.
func (s *Store) notifyFeeds() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// page is the response body of all row calls.
type page struct {
	Rows    []row  `json:"rows"`
	More    bool   `json:"HasMore"`
	Version uint64 `json:"Ver"`
	Millis  int64  `json:"NowMs"`
}

// writePage writes a response with rows. The caller must hold s.mu.
func (s *Store) writePage(w http.ResponseWriter, status int, rows []row) {
	s.writeEra(w)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if v, ok := w.(viewWriter); ok {
		rows = v.translateRows(rows)
	}
	body := page{Rows: rows, Version: s.version, Millis: time.Since(s.startedAt).Milliseconds()}
	if err := json.NewEncoder(w).Encode(body); err != nil {
		return // the client closed the connection
	}
}

// serveGet returns the rows of a table and part in a range of keys.
func (s *Store) serveGet(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := r.URL.Query()
	if s.unavailablePart != "" && s.unavailablePart == q.Get("Table")+"/"+q.Get("part") {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	var rows []row
	for _, candidate := range s.rows {
		in := candidate.Table == q.Get("Table") && candidate.Part == q.Get("part") && candidate.Key >= q.Get("From")
		if in && !candidate.Deleted && (q.Get("To") == "" || candidate.Key < q.Get("To")) {
			rows = append(rows, candidate)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	s.writePage(w, http.StatusOK, rows)
}

// serveFeed returns the changes after a version, and waits up to WaitMs milliseconds for the first one. A version that the
// store has not reached since a restore is answered with 410.
func (s *Store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, err2 := strconv.Atoi(q.Get("WaitMs"))
	if err != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	s.mu.Lock()
	stalled, restored := s.feedsStalled, s.restored
	if after > s.version {
		s.writePage(w, http.StatusGone, nil)
		s.mu.Unlock()
		return
	}
	s.mu.Unlock()
	for {
		s.mu.Lock()
		if s.restored != restored {
			s.mu.Unlock()
			panic(http.ErrAbortHandler) // closes the connection
		}
		rows := s.changesAfter(q.Get("Table"), after)
		changed := s.changed
		if len(rows) > 0 && !stalled {
			s.writePage(w, http.StatusOK, rows)
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-restored:
		case <-r.Context().Done():
			return
		case <-deadline:
			s.mu.Lock()
			if stalled {
				s.writeStalledPage(w, after)
			} else {
				s.writePage(w, http.StatusOK, nil)
			}
			s.mu.Unlock()
			return
		}
	}
}

// writeStalledPage writes the response of a stalled feed: without changes, and with the requested version, so that it does
// not reveal newer ones. The caller must hold s.mu.
func (s *Store) writeStalledPage(w http.ResponseWriter, after uint64) {
	version := s.version
	s.version = after
	s.writePage(w, http.StatusOK, nil)
	s.version = version
}

// changesAfter returns a table's rows that changed after a version, oldest change first. The caller must hold s.mu.
func (s *Store) changesAfter(table string, after uint64) []row {
	var rows []row
	for _, candidate := range s.rows {
		if candidate.Table == table && candidate.Version > after {
			rows = append(rows, candidate)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Version < rows[j].Version })
	return rows
}

// transaction is the request body of a call that changes rows.
type transaction struct {
	Expected, Writes, Deletes []row
}

// serveTx serves a call that changes rows.
func (s *Store) serveTx(w http.ResponseWriter, r *http.Request) {
	var body transaction
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	delay := s.deletionDelay
	s.mu.Unlock()
	if delay > 0 && len(body.Deletes) > 0 {
		time.AfterFunc(delay, func() { s.perform(httptest.NewRecorder(), body) })
		panic(http.ErrAbortHandler) // closes the connection without a response
	}
	s.perform(w, body)
}

// perform applies writes and deletions if the expected row versions match.
func (s *Store) perform(w http.ResponseWriter, body transaction) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, write := range body.Writes {
		if s.unavailablePart != "" && s.unavailablePart == write.Table+"/"+write.Part {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
	}
	for _, expected := range body.Expected {
		current := s.rows[expected.name()]
		if current.Deleted {
			current.Version = 0
		}
		if current.Version != expected.Version {
			s.writePage(w, http.StatusPreconditionFailed, []row{current})
			return
		}
	}
	s.version++
	for _, write := range body.Writes {
		write.Version = s.version
		s.set(write)
	}
	for _, deletion := range body.Deletes {
		deletion.Version, deletion.Deleted = s.version, true
		s.set(deletion)
	}
	s.notifyFeeds()
	s.writePage(w, http.StatusOK, nil)
}

// servePromotion records a promotion request and carries it out.
func (s *Store) servePromotion(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Service string `json:"Service"`
		ID      string `json:"Id"`
	}
	token, err := strconv.ParseUint(r.Header.Get("Fencing-Token"), 10, 64)
	if json.NewDecoder(r.Body).Decode(&body) != nil || err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.requests = append(s.requests, PromotionRequest{
		Holder: r.Header.Get("Lease-Holder"), Group: body.Service, Member: body.ID, Token: token,
	})
	promote, lose, plan := s.promote, s.loseRequests, s.nextPromotion()
	s.mu.Unlock()
	if plan.Cut {
		panic(http.ErrAbortHandler) // closes the connection without a response
	}
	time.Sleep(plan.Held)
	status := plan.Status
	if status == 0 {
		status = promote(body.Service, body.ID, plan.Delay)
	}
	if lose || plan.Lost {
		panic(http.ErrAbortHandler) // closes the connection without a response
	}
	w.WriteHeader(status)
}
