//go:build review

package lab

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"time"
)

// StoreProxy is between one daemon and the store. It can lose the answer of a call, which the store performs later.
type StoreProxy struct {
	server *httptest.Server
	// Late decides about each transaction: with lose its answer is lost, and the store performs it after the delay.
	Late func(tx StoreTx) (delay time.Duration, lose bool)
	// Performed is called when the store has performed a call whose answer was lost.
	Performed func(tx StoreTx, status int)
}

// StoreTx is the body of a transaction, as far as the cases need it.
type StoreTx struct {
	Writes, Deletes []struct{ Table, Key, Part string }
}

// NewStoreProxy returns a proxy of the store at the address.
func NewStoreProxy(store string) *StoreProxy {
	target := &url.URL{Scheme: "http", Host: store}
	p := &StoreProxy{}
	forward := httputil.NewSingleHostReverseProxy(target)
	forward.ErrorHandler = func(http.ResponseWriter, *http.Request, error) { panic(http.ErrAbortHandler) }
	p.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if q.URL.Path != "/rows-tx" || p.Late == nil {
			forward.ServeHTTP(w, q)
			return
		}
		body, err := io.ReadAll(q.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		var tx StoreTx
		_ = json.Unmarshal(body, &tx) // the store answers a body that is not valid
		if delay, lose := p.Late(tx); lose {
			time.AfterFunc(delay, func() { p.perform(target, body, tx) })
			<-q.Context().Done() // no answer comes on this connection
			panic(http.ErrAbortHandler)
		}
		q.Body = io.NopCloser(bytes.NewReader(body))
		forward.ServeHTTP(w, q)
	}))
	return p
}

func (p *StoreProxy) perform(target *url.URL, body []byte, tx StoreTx) {
	response, err := http.Post( //nolint:noctx // test code
		target.String()+"/rows-tx", "application/json", bytes.NewReader(body))
	if err != nil {
		return
	}
	response.Body.Close()
	if p.Performed != nil {
		p.Performed(tx, response.StatusCode)
	}
}

// Address returns the IP:PORT of the proxy.
func (p *StoreProxy) Address() string { return p.server.Listener.Addr().String() }

// Close closes the proxy.
func (p *StoreProxy) Close() {
	p.server.CloseClientConnections()
	p.server.Close()
}
