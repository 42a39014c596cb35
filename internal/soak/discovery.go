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

// States of a server, in discovery's words.
const (
	ready       = "Ready"
	terminating = "Terminating"
	gone        = "Gone"
)

// entry is a server of the list.
type entry struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMS int64   `json:"started_ms"`

	version int64 // that changed it
}

// notice is when an agent was notified that a server takes nothing new, or takes it again.
type notice struct {
	agent     int
	server    string
	startedMS int64
	takesNew  bool
	at        time.Duration
}

// registry is the list of servers, which all discoveries tell.
type registry struct {
	mu      sync.Mutex
	version int64
	entries map[string]*entry
	order   []string
	changed chan struct{} // closed with each change
	notices []notice
	changes []notice // of the list itself, of no agent
}

func newRegistry() *registry {
	return &registry{entries: map[string]*entry{}, changed: make(chan struct{})}
}

// set changes a server's entry.
func (r *registry) set(e entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version++
	e.version = r.version
	if r.entries[e.ID] == nil {
		r.order = append(r.order, e.ID)
	}
	r.entries[e.ID] = &e
	r.changes = append(r.changes, notice{-1, e.ID, e.StartedMS, e.State == ready, monotonic()})
	close(r.changed)
	r.changed = make(chan struct{})
}

// get is a server's entry.
func (r *registry) get(id string) entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.entries[id]; e != nil {
		return *e
	}
	return entry{}
}

// list is what an agent is told: all, or what has changed since a version. The address of each server is the agent's own.
func (r *registry) list(since int64, addr func(entry) string, withoutDraining bool) (version int64, full bool, entries []entry, more <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	full = since < 0
	for _, id := range r.order {
		e := *r.entries[id]
		if full && (e.State == gone || withoutDraining && e.State != ready) || !full && e.version <= since {
			continue
		}
		e.Addr = addr(e)
		entries = append(entries, e)
	}
	return r.version, full, entries, r.changed
}

// written notes that an agent has been told of entries, all of the list where full.
func (r *registry) written(agent int, full bool, entries []entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := monotonic()
	named := map[string]bool{}
	for _, e := range entries {
		named[e.ID] = true
		r.notices = append(r.notices, notice{agent, e.ID, e.StartedMS, e.State == ready, now})
	}
	if full {
		for _, id := range r.order {
			if !named[id] {
				r.notices = append(r.notices, notice{agent, id, r.entries[id].StartedMS, false, now})
			}
		}
	}
}

// discovery is a discovery service as one agent sees it, with faults.
type discovery struct {
	agent    int
	registry *registry
	addrOf   func(entry) string
	server   *http.Server
	at       string

	mu       sync.Mutex
	down     bool
	silence  chan struct{} // closed when it begins
	troubled []span        // when it could not be reached, or told nothing
	slow     time.Duration
	pieces   bool
	hideDown bool // whole lists leave out what drains
	watches  map[chan struct{}]bool
	reached  time.Duration // since when it can be reached
}

// newDiscovery serves on a port of its host.
func newDiscovery(agent int, r *registry, host string, addrOf func(entry) string) (*discovery, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, err
	}
	d := &discovery{agent: agent, registry: r, addrOf: addrOf, at: l.Addr().String(), watches: map[chan struct{}]bool{},
		silence: make(chan struct{}), reached: monotonic()}
	d.server = &http.Server{Handler: d}
	go d.server.Serve(l)
	return d, nil
}

func (d *discovery) close() { d.server.Close() }

// change changes the faults.
func (d *discovery) change(f func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	was := d.down || d.slow > 0
	f()
	switch is := d.down || d.slow > 0; {
	case is && !was:
		d.troubled = append(d.troubled, span{from: monotonic()})
	case was && !is:
		d.troubled[len(d.troubled)-1].to = monotonic()
		d.reached = monotonic()
	}
}

// fallSilent lets the watches that are open now never answer.
func (d *discovery) fallSilent() {
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
func (d *discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	down, slow, pieces, hide, silence := d.down, d.slow, d.pieces, d.hideDown, d.silence
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
	if text := r.URL.Query().Get("since"); text != "" {
		since, _ = strconv.ParseInt(text, 10, 64)
		ms, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms"))
		wait = time.Duration(ms) * time.Millisecond
	}
	if slow > 0 && !d.pause(r, slow, broken) {
		panic(http.ErrAbortHandler)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		version, full, entries, more := d.registry.list(since, d.addrOf, hide)
		if full || len(entries) > 0 {
			d.tell(w, version, full, entries, pieces)
			return
		}
		select {
		case <-more:
		case <-timer.C:
			d.tell(w, version, false, nil, pieces)
			return
		case <-silence:
			<-r.Context().Done()
			return
		case <-broken:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
	}
}

// pause waits; false says that the call has broken meanwhile.
func (d *discovery) pause(r *http.Request, slow time.Duration, broken <-chan struct{}) bool {
	select {
	case <-time.After(slow):
		return true
	case <-broken:
	case <-r.Context().Done():
	}
	return false
}

// tell writes a list.
func (d *discovery) tell(w http.ResponseWriter, version int64, full bool, entries []entry, pieces bool) {
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
		d.registry.written(d.agent, full, entries)
	}
}

// inTrouble reports whether it can't be reached or is slow to tell.
func (d *discovery) inTrouble() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.down || d.slow > 0 || d.pieces
}
