// Package platform is a test program's platform: a table service and an object store that speak the DynamoDB and S3
// protocols as far as the proxy uses them, and a list of instances that lags.
//
// Switches make it unavailable, slow, or lose answers after operations took effect.
package platform

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// InstanceEntry is one line of the instance list.
type InstanceEntry struct {
	Name   string `json:"name"`
	Peer   string `json:"peer"`
	Domain string `json:"domain"`
	State  string `json:"state"`
}

// Platform holds the rows, objects and instances in memory.
type Platform struct {
	mu        sync.Mutex
	rows      map[string]item
	objects   map[string][]byte
	instances []InstanceEntry
	listed    []InstanceEntry // what the lagging list shows
	version   int
	listLag   time.Duration
	outage    bool
	slow      time.Duration
	lose      int // answers to object writes still to be lost
	loseRow   int // answers to row writes still to be lost
	reads     int
	writes    int
}

// New returns a platform whose list holds instances.
func New(instances []InstanceEntry) *Platform {
	return &Platform{
		rows: map[string]item{}, objects: map[string][]byte{}, instances: instances, listed: instances, version: 1,
	}
}

// ServeHTTP routes a request to the service that its path names.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case strings.HasPrefix(r.URL.Path, "/switch"):
		p.serveSwitch(w, r)
	case strings.HasPrefix(r.URL.Path, "/table"):
		p.serveService(w, r, p.serveTable)
	case strings.HasPrefix(r.URL.Path, "/objects/"):
		p.serveService(w, r, p.serveObject)
	case r.URL.Path == "/instances":
		p.serveService(w, r, p.serveInstances)
	default:
		http.NotFound(w, r)
	}
}

// serveService applies the faults round one operation.
func (p *Platform) serveService(w http.ResponseWriter, r *http.Request, serve http.HandlerFunc) {
	p.mu.Lock()
	outage, slow := p.outage, p.slow
	p.mu.Unlock()
	select {
	case <-time.After(slow):
	case <-r.Context().Done():
		return
	}
	if outage {
		http.Error(w, `{"__type":"com.amazonaws.dynamodb.v20120810#InternalServerError"}`, http.StatusServiceUnavailable)
		return
	}
	if p.loseAnswer(r) {
		serve(discard{header: http.Header{}}, r)
		panic(http.ErrAbortHandler)
	}
	serve(w, r)
}

// loseAnswer reports whether the answer to this write is to be lost.
func (p *Platform) loseAnswer(r *http.Request) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	left := &p.lose
	if strings.HasSuffix(r.Header.Get("X-Amz-Target"), "PutItem") {
		left = &p.loseRow
	} else if r.Method != http.MethodPut {
		return false
	}
	if *left == 0 {
		return false
	}
	*left--
	return true
}

// discard is a response writer whose answer goes nowhere.
type discard struct{ header http.Header }

func (d discard) Header() http.Header         { return d.header }
func (d discard) Write(b []byte) (int, error) { return len(b), nil }
func (d discard) WriteHeader(int)             {}

// serveSwitch sets outage (0 or 1), slow and listlag (milliseconds), lose and loserow (numbers of answers to writes of
// objects and of rows that are lost after they took effect), or an instance's
// state (instance and state), and reports the counts of operations.
func (p *Platform) serveSwitch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	p.mu.Lock()
	defer p.mu.Unlock()
	if query.Has("outage") {
		p.outage = query.Get("outage") == "1"
	}
	for name, field := range map[string]*int{"lose": &p.lose, "loserow": &p.loseRow} {
		if query.Has(name) {
			*field, _ = strconv.Atoi(query.Get(name))
		}
	}
	for name, field := range map[string]*time.Duration{"slow": &p.slow, "listlag": &p.listLag} {
		if query.Has(name) {
			milliseconds, _ := strconv.Atoi(query.Get(name))
			*field = time.Duration(milliseconds) * time.Millisecond
		}
	}
	if query.Has("instance") {
		p.setState(query.Get("instance"), query.Get("state"))
	}
	fmt.Fprintf(w, "reads=%d writes=%d\n", p.reads, p.writes)
}

// setState changes an instance's state; the list shows it after its lag. The caller holds mu.
func (p *Platform) setState(name, state string) {
	var changed []InstanceEntry
	for _, entry := range p.instances {
		if entry.Name == name {
			entry.State = state
		}
		if entry.State != "gone" {
			changed = append(changed, entry)
		}
	}
	p.instances = changed
	time.AfterFunc(p.listLag, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.listed = changed
		p.version++
	})
}

func (p *Platform) serveInstances(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reads++
	tag := strconv.Quote(strconv.Itoa(p.version))
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"instances": p.listed})
}

func (p *Platform) serveObject(w http.ResponseWriter, r *http.Request) {
	key := strings.TrimPrefix(r.URL.Path, "/objects/")
	switch r.Method {
	case http.MethodPut:
		body, err := io.ReadAll(r.Body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		p.mu.Lock()
		p.writes++
		p.objects[key] = body
		p.mu.Unlock()
	case http.MethodGet:
		p.mu.Lock()
		p.reads++
		body, ok := p.objects[key]
		p.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			fmt.Fprint(w, `<Error><Code>NoSuchKey</Code></Error>`)
			return
		}
		_, _ = w.Write(body)
	default:
		http.Error(w, "method", http.StatusMethodNotAllowed)
	}
}
