// Package users stands in for the users' platform in tests: the metadata store, the promotion call, and database
// groups whose members speak the line protocol. Faults are set by methods.
//
// It is a test program: it keeps everything in memory and checks nothing that a test does not need.
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

// row is one row of the store.
type row struct {
	Table   string `json:"Table"`
	Part    string `json:"part"`
	Key     string `json:"Key"`
	Value   []byte `json:"Value"`
	Version uint64 `json:"Ver"`
	Gone    bool   `json:"Deleted,omitempty"`
}

// name identifies the row.
func (r row) name() string { return r.Table + "/" + r.Part + "/" + r.Key }

// set writes a row. The caller holds mu.
func (s *Store) set(r row) { s.rows[r.name()] = r }

// Order is one promotion that the platform was asked for.
type Order struct {
	// Holder and Token are the fence of the call; Group and Member what it asked for.
	Holder, Group, Member string
	Token                 uint64
}

// Store stands in for the metadata store and the promotion call, on one address.
type Store struct {
	server *httptest.Server
	began  time.Time

	mu      sync.Mutex
	rows    map[string]row
	version uint64
	changed chan struct{}
	down    string // a table and part whose calls are refused, as TABLE/PART
	status  int    // answered to every call while it is not 0
	deaf    bool   // feeds that begin now hear of nothing
	orders  []Order
	promote func(group, member string) int
}

// NewStore starts an empty store.
func NewStore() *Store {
	s := &Store{rows: map[string]row{}, changed: make(chan struct{}), began: time.Now()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /rows-get", s.get)
	mux.HandleFunc("POST /rows-tx", s.tx)
	mux.HandleFunc("GET /rows-feed", s.feed)
	mux.HandleFunc("POST /promote", s.order)
	s.server = httptest.NewServer(s.faults(mux))
	return s
}

// Address returns the IP:PORT of the store and of the promotion call.
func (s *Store) Address() string { return s.server.Listener.Addr().String() }

// Close stops the store.
func (s *Store) Close() {
	s.server.CloseClientConnections()
	s.server.Close()
}

// Fail makes every call be answered with an HTTP status; 0 ends that.
func (s *Store) Fail(status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.status = status
}

// FailPart makes the calls for one part of a table be refused, given as TABLE/PART; an empty name ends that.
func (s *Store) FailPart(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = name
}

// Deafen makes feeds that begin from now on hear of nothing, until it is called with false.
func (s *Store) Deafen(deaf bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deaf = deaf
}

// Orders returns the promotions that were asked for.
func (s *Store) Orders() []Order {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Order{}, s.orders...)
}

func (s *Store) faults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		status := s.status
		s.mu.Unlock()
		if status != 0 && r.URL.Path != "/promote" {
			w.WriteHeader(status)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// Put writes a row, as operators and members do.
func (s *Store) Put(table, key string, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		panic(err) // a fault of the test
	}
	s.PutBytes(table, key, body)
}

// PutBytes writes a row whose value is not encoded.
func (s *Store) PutBytes(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.set(row{Table: table, Key: key, Value: value, Version: s.version})
	s.wake()
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

type page struct {
	Rows    []row  `json:"rows"`
	More    bool   `json:"HasMore"`
	Version uint64 `json:"Ver"`
	Millis  int64  `json:"NowMs"`
}

func (s *Store) answer(w http.ResponseWriter, status int, rows []row) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	body := page{Rows: rows, Version: s.version, Millis: time.Since(s.began).Milliseconds()}
	if err := json.NewEncoder(w).Encode(body); err != nil {
		return // the caller has gone
	}
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := r.URL.Query()
	if s.down != "" && s.down == q.Get("Table")+"/"+q.Get("part") {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	var rows []row
	for _, candidate := range s.rows {
		in := candidate.Table == q.Get("Table") && candidate.Part == q.Get("part") && candidate.Key >= q.Get("From")
		if in && !candidate.Gone && (q.Get("To") == "" || candidate.Key < q.Get("To")) {
			rows = append(rows, candidate)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	s.answer(w, http.StatusOK, rows)
}

func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, err2 := strconv.Atoi(q.Get("WaitMs"))
	if err != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	s.mu.Lock()
	deaf := s.deaf
	s.mu.Unlock()
	for {
		s.mu.Lock()
		rows := s.changesAfter(q.Get("Table"), after)
		changed := s.changed
		if len(rows) > 0 && !deaf {
			s.answer(w, http.StatusOK, rows)
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-deadline:
			s.mu.Lock()
			s.answerAt(w, after)
			s.mu.Unlock()
			return
		}
	}
}

// answerAt answers a feed without changes; a deaf one has heard of no newer version.
func (s *Store) answerAt(w http.ResponseWriter, after uint64) {
	version := s.version
	s.version = after
	s.answer(w, http.StatusOK, nil)
	s.version = version
}

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

func (s *Store) tx(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Expected, Writes, Deletes []row
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, write := range body.Writes {
		if s.down != "" && s.down == write.Table+"/"+write.Part {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
	}
	for _, expected := range body.Expected {
		held := s.rows[expected.name()]
		if held.Gone {
			held.Version = 0
		}
		if held.Version != expected.Version {
			s.answer(w, http.StatusPreconditionFailed, []row{held})
			return
		}
	}
	s.version++
	for _, write := range body.Writes {
		write.Version = s.version
		s.set(write)
	}
	for _, drop := range body.Deletes {
		drop.Version, drop.Gone = s.version, true
		s.set(drop)
	}
	s.wake()
	s.answer(w, http.StatusOK, nil)
}

func (s *Store) order(w http.ResponseWriter, r *http.Request) {
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
	s.orders = append(s.orders, Order{Holder: r.Header.Get("Lease-Holder"), Group: body.Service, Member: body.ID, Token: token})
	promote := s.promote
	s.mu.Unlock()
	w.WriteHeader(promote(body.Service, body.ID))
}
