// Package platform simulates the platform in tests: a table service and an object store that support the parts of the
// DynamoDB and S3 protocols that the proxy uses, and a list of instances that is updated after a delay.
//
// It can be made unavailable or slow, and can lose answers after operations took effect.
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

// InstanceEntry is an entry of the instance list.
type InstanceEntry struct {
	Name   string `json:"name"`
	Peer   string `json:"peer"`
	Domain string `json:"domain"`
	State  string `json:"state"`
}

// Platform holds the rows, objects and instances in memory.
type Platform struct {
	mu                sync.Mutex
	rows              map[string]item
	objects           map[string][]byte
	instances         []InstanceEntry
	listed            []InstanceEntry // the list as it is served, after the list lag
	listVersion       int
	listLag           time.Duration
	unavailable       bool
	delay             time.Duration
	loseObjectAnswers int // number of next object writes whose answers are lost
	loseRowAnswers    int // number of next row writes whose answers are lost
	reads             int
	writes            int
}

// New returns a platform without rows and objects that lists instances.
func New(instances []InstanceEntry) *Platform {
	return &Platform{
		rows: map[string]item{}, objects: map[string][]byte{}, instances: instances, listed: instances, listVersion: 1,
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

// serveService serves one operation with the faults that are set: a delay, status 503, or a connection that is closed
// without an answer after the operation took effect.
func (p *Platform) serveService(w http.ResponseWriter, r *http.Request, serve http.HandlerFunc) {
	p.mu.Lock()
	unavailable, delay := p.unavailable, p.delay
	p.mu.Unlock()
	select {
	case <-time.After(delay):
	case <-r.Context().Done():
		return
	}
	if unavailable {
		http.Error(w, `{"__type":"com.amazonaws.dynamodb.v20120810#InternalServerError"}`, http.StatusServiceUnavailable)
		return
	}
	if p.loseAnswer(r) {
		serve(discardWriter{header: http.Header{}}, r)
		panic(http.ErrAbortHandler)
	}
	serve(w, r)
}

// loseAnswer reports whether to lose the answer to a request, and counts the loss. Only writes lose their answers.
func (p *Platform) loseAnswer(r *http.Request) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	remaining := &p.loseObjectAnswers
	if strings.HasSuffix(r.Header.Get("X-Amz-Target"), "PutItem") {
		remaining = &p.loseRowAnswers
	} else if r.Method != http.MethodPut {
		return false
	}
	if *remaining == 0 {
		return false
	}
	*remaining--
	return true
}

// discardWriter is a response writer that discards the response.
type discardWriter struct{ header http.Header }

func (d discardWriter) Header() http.Header         { return d.header }
func (d discardWriter) Write(b []byte) (int, error) { return len(b), nil }
func (d discardWriter) WriteHeader(int)             {}

// serveSwitch sets the faults given as query parameters: outage (0 or 1), slow and listlag (milliseconds), lose and loserow
// (number of next object and row writes whose answers are lost after they took effect), and an instance's state (instance
// and state; the state gone removes it). It writes the numbers of reads and writes.
func (p *Platform) serveSwitch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	p.mu.Lock()
	defer p.mu.Unlock()
	if query.Has("outage") {
		p.unavailable = query.Get("outage") == "1"
	}
	for name, field := range map[string]*int{"lose": &p.loseObjectAnswers, "loserow": &p.loseRowAnswers} {
		if query.Has(name) {
			*field, _ = strconv.Atoi(query.Get(name))
		}
	}
	for name, field := range map[string]*time.Duration{"slow": &p.delay, "listlag": &p.listLag} {
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

// setState changes an instance's state, or removes the instance if the state is gone. The served list changes after the list
// lag. The caller must hold p.mu.
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
		p.listVersion++
	})
}

// serveInstances serves the instance list with its version as the ETag.
func (p *Platform) serveInstances(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reads++
	tag := strconv.Quote(strconv.Itoa(p.listVersion))
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"instances": p.listed})
}

// serveObject stores or returns an object.
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
