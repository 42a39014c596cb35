package soak

import (
	"bytes"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// discovery is a discovery service as one agent sees it, with faults.
type discovery struct {
	agent    int
	registry *registry
	addrOf   func(entry) string
	server   *http.Server
	addr     string

	mu             sync.Mutex
	down           bool
	silence        chan struct{} // closed when it begins
	outages        []span        // in which it could not be reached, or was slow
	slow           time.Duration
	pieces         bool
	hideDraining   bool // full lists leave out draining servers
	watches        map[chan struct{}]bool
	reachableSince time.Duration // since when it can be reached
}

// newDiscovery serves on a port of its host.
func newDiscovery(agent int, r *registry, host string, addrOf func(entry) string) (*discovery, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, err
	}
	d := &discovery{agent: agent, registry: r, addrOf: addrOf, addr: l.Addr().String(), watches: map[chan struct{}]bool{},
		silence: make(chan struct{}), reachableSince: monotonic()}
	d.server = &http.Server{Handler: d}
	go d.server.Serve(l)
	return d, nil
}

func (d *discovery) close() { d.server.Close() }

// setFault changes the faults.
func (d *discovery) setFault(set func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	wasOut := d.down || d.slow > 0
	set()
	switch isOut := d.down || d.slow > 0; {
	case isOut && !wasOut:
		d.outages = append(d.outages, span{from: monotonic()})
	case wasOut && !isOut:
		d.outages[len(d.outages)-1].to = monotonic()
		d.reachableSince = monotonic()
	}
}

// silenceWatches lets the watches that are open now never answer.
func (d *discovery) silenceWatches() {
	d.mu.Lock()
	defer d.mu.Unlock()
	close(d.silence)
	d.silence = make(chan struct{})
}

// reset breaks the watches that are open.
func (d *discovery) reset() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for w := range d.watches {
		close(w)
		delete(d.watches, w)
	}
}

// ServeHTTP answers a call.
func (d *discovery) ServeHTTP(response http.ResponseWriter, request *http.Request) {
	d.mu.Lock()
	down, slow, pieces, hide, silence := d.down, d.slow, d.pieces, d.hideDraining, d.silence
	broken := make(chan struct{})
	d.watches[broken] = true
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		delete(d.watches, broken)
		d.mu.Unlock()
	}()
	if down {
		panic(http.ErrAbortHandler)
	}
	since, wait := int64(-1), time.Duration(0)
	if text := request.URL.Query().Get("since"); text != "" {
		since, _ = strconv.ParseInt(text, 10, 64)
		ms, _ := strconv.Atoi(request.URL.Query().Get("timeout_ms"))
		wait = time.Duration(ms) * time.Millisecond
	}
	if slow > 0 && !d.pause(request, slow, broken) {
		panic(http.ErrAbortHandler)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		version, full, entries, more := d.registry.list(since, d.addrOf, hide)
		if full || len(entries) > 0 {
			d.writeList(response, version, full, entries, pieces)
			return
		}
		select {
		case <-more:
		case <-timer.C:
			d.writeList(response, version, false, nil, pieces)
			return
		case <-silence:
			<-request.Context().Done()
			return
		case <-broken:
			panic(http.ErrAbortHandler)
		case <-request.Context().Done():
			return
		}
	}
}

// pause waits, and reports whether the call is still open.
func (d *discovery) pause(r *http.Request, slow time.Duration, broken <-chan struct{}) bool {
	select {
	case <-time.After(slow):
		return true
	case <-broken:
	case <-r.Context().Done():
	}
	return false
}

// writeList writes a list.
func (d *discovery) writeList(w http.ResponseWriter, version int64, full bool, entries []entry, pieces bool) {
	if entries == nil {
		entries = []entry{}
	}
	text, err := json.MarshalIndent(map[string]any{"version": version, "full": full, "servers": entries}, "", "  ")
	if err != nil {
		panic(err)
	}
	if !pieces {
		var compact bytes.Buffer
		json.Compact(&compact, text)
		text = compact.Bytes()
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	control := http.NewResponseController(w)
	for pieces && len(text) > 40 {
		w.Write(text[:40])
		control.Flush()
		text = text[40:]
		time.Sleep(200 * time.Microsecond)
	}
	if _, err := w.Write(text); err == nil && control.Flush() == nil {
		d.registry.recordNotified(d.agent, full, entries)
	}
}

// faulty reports whether it can't be reached or answers slowly.
func (d *discovery) faulty() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.down || d.slow > 0 || d.pieces
}
