// Package discovery is the service that agents ask for the list of backends: the whole list, and watches on changes. News
// comes late, calls are handled in turn at a bounded rate, and the service can be down.
package discovery

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"log"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Entry is a backend of the list, in the protocol's form.
type Entry struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMS int64   `json:"started_ms"`
}

// The states of an entry.
const (
	Ready       = "Ready"
	Terminating = "Terminating"
	Removed     = "Gone" // among changes only
)

// List is an answer.
type List struct {
	Version int     `json:"version"`
	Full    bool    `json:"full"`
	Servers []Entry `json:"servers"`
}

// Config is what the service is given.
type Config struct {
	Rate          float64                                   // calls handled a second; 0 for no limit
	MaxQueueDelay time.Duration                             // a call that waits its turn for longer is turned away; 0 for a second
	RewriteEntry  func(agent string, e Entry) Entry         // what an agent is told in its place; may be nil
	OnNotified    func(agent string, e Entry, at time.Time) // an agent has been written this; of one that is gone there is the id and state
}

const (
	defaultMaxQueueDelay = time.Second
	maxWatch             = time.Minute
	maxVersions          = 4096 // changes that watches can go back to; older ones get the whole list
	headTimeout          = 5 * time.Second
)

type change struct {
	version int
	entry   Entry
}

// Figures count the service's calls.
type Figures struct {
	FullLists, Watches, Rejected, Entries int
}

// Server is the service. Each agent may have an address of its own, by which it is known.
type Server struct {
	cfg        Config
	goroutines sync.WaitGroup

	mu        sync.Mutex
	version   int
	entries   map[string]Entry
	order     []string
	removed   map[string]struct{} // ids that were in the list and are gone
	changes   []change
	changed   chan struct{} // closed at each change, and replaced
	busyUntil time.Time     // when the call that is handled last will be through
	inOutage  bool
	outage    chan struct{} // closed when an outage begins, and replaced when it ends
	figures   Figures
	delayed   map[*time.Timer]struct{}
	servers   []*http.Server
}

// New returns a service with an empty list.
func New(cfg Config) *Server {
	if cfg.MaxQueueDelay == 0 {
		cfg.MaxQueueDelay = defaultMaxQueueDelay
	}
	return &Server{cfg: cfg, entries: map[string]Entry{}, removed: map[string]struct{}{}, changed: make(chan struct{}), outage: make(chan struct{}), delayed: map[*time.Timer]struct{}{}}
}

// Serve answers the calls of an agent on a listener until Close.
func (s *Server) Serve(l net.Listener, agent string) {
	srv := &http.Server{Handler: s.handler(agent), ReadHeaderTimeout: headTimeout, ErrorLog: log.New(io.Discard, "", 0)}
	s.mu.Lock()
	s.servers = append(s.servers, srv)
	s.mu.Unlock()
	s.goroutines.Go(func() { srv.Serve(l) })
}

// Close ends the service and waits for it.
func (s *Server) Close() {
	s.mu.Lock()
	for t := range s.delayed {
		t.Stop()
	}
	servers := s.servers
	s.mu.Unlock()
	for _, srv := range servers {
		srv.Close()
	}
	s.goroutines.Wait()
}

// Set puts an entry into the list, or changes it, so much later.
func (s *Server) Set(e Entry, late time.Duration) {
	s.applyAfter(late, func() {
		if e.State == Removed {
			delete(s.entries, e.ID)
			s.removed[e.ID] = struct{}{}
			s.order = slices.DeleteFunc(s.order, func(id string) bool { return id == e.ID })
		} else {
			if _, ok := s.entries[e.ID]; !ok {
				s.order = append(s.order, e.ID)
			}
			s.entries[e.ID] = e
			delete(s.removed, e.ID)
		}
		s.version++
		s.changes = append(s.changes, change{s.version, e})
		if len(s.changes) > maxVersions {
			s.changes = s.changes[len(s.changes)-maxVersions:]
		}
		close(s.changed)
		s.changed = make(chan struct{})
	})
}

// applyAfter calls f with the lock, now or later.
func (s *Server) applyAfter(late time.Duration, f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if late <= 0 {
		f()
		return
	}
	var t *time.Timer
	t = time.AfterFunc(late, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.delayed, t)
		f()
	})
	s.delayed[t] = struct{}{}
}

// SetOutage ends all watches and answers nobody, until it is over.
func (s *Server) SetOutage(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inOutage == on {
		return
	}
	if s.inOutage = on; on {
		close(s.outage)
	} else {
		s.outage = make(chan struct{})
	}
}

// Snapshot is the whole list as it stands.
func (s *Server) Snapshot() List {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fullList()
}

// Figures returns the counts so far.
func (s *Server) Figures() Figures {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.figures
}

func (s *Server) fullList() List {
	l := List{Version: s.version, Full: true, Servers: []Entry{}}
	for _, id := range s.order {
		l.Servers = append(l.Servers, s.entries[id])
	}
	return l
}

// changesSince is what has changed after a version, each entry as it is now; the whole list where that is too long ago.
func (s *Server) changesSince(version int) List {
	if version > s.version || len(s.changes) > 0 && version < s.changes[0].version-1 {
		return s.fullList()
	}
	l := List{Version: s.version, Servers: []Entry{}}
	for _, c := range s.changes {
		if c.version <= version {
			continue
		}
		l.Servers = slices.DeleteFunc(l.Servers, func(e Entry) bool { return e.ID == c.entry.ID })
		l.Servers = append(l.Servers, c.entry)
	}
	return l
}

var errRejected = errors.New("too many calls wait")

// waitTurn waits for the call's turn. All calls take the same time, one after the other.
func (s *Server) waitTurn(ctx context.Context) error {
	s.mu.Lock()
	down, outage := s.inOutage, s.outage
	var wait time.Duration
	if s.cfg.Rate > 0 && !down {
		now := time.Now()
		if s.busyUntil.Before(now) {
			s.busyUntil = now
		}
		wait = s.busyUntil.Add(time.Duration(float64(time.Second) / s.cfg.Rate)).Sub(now)
		if wait <= s.cfg.MaxQueueDelay {
			s.busyUntil = now.Add(wait)
		}
	}
	refused := down || wait > s.cfg.MaxQueueDelay
	if refused {
		s.figures.Rejected++
		wait = min(wait, s.cfg.MaxQueueDelay)
	}
	s.mu.Unlock()
	if !down && wait > 0 {
		t := time.NewTimer(wait)
		defer t.Stop()
		select {
		case <-t.C:
		case <-outage:
			refused = true
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	if refused {
		return errRejected
	}
	return nil
}

func (s *Server) handler(agent string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet || r.URL.Path != "/v1/endpoints" {
			http.NotFound(w, r)
			return
		}
		query := r.URL.Query()
		since, err := -1, error(nil)
		if query.Has("since") {
			if since, err = strconv.Atoi(query.Get("since")); err != nil || since < 0 {
				http.Error(w, "since must be a version", http.StatusBadRequest)
				return
			}
		}
		if err := s.waitTurn(r.Context()); err != nil {
			w.Header().Set("Connection", "close")
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		wait := time.Duration(0)
		if ms, err := strconv.ParseInt(query.Get("timeout_ms"), 10, 64); err == nil {
			wait = min(maxWatch, max(0, time.Duration(ms)*time.Millisecond))
		}
		l, ok := s.awaitList(r.Context(), since, wait)
		if !ok {
			panic(http.ErrAbortHandler)
		}
		s.write(w, l, agent)
	})
}

// awaitList is the whole list, or waits for changes after a version; false where an outage or the caller ended the wait.
func (s *Server) awaitList(ctx context.Context, since int, wait time.Duration) (List, bool) {
	end := time.NewTimer(wait)
	defer end.Stop()
	s.mu.Lock()
	if since < 0 {
		s.figures.FullLists++
	} else {
		s.figures.Watches++
	}
	for {
		if since < 0 {
			l := s.fullList()
			s.mu.Unlock()
			return l, true
		}
		if s.version != since {
			l := s.changesSince(since)
			s.mu.Unlock()
			return l, true
		}
		wake, outage := s.changed, s.outage
		s.mu.Unlock()
		select {
		case <-wake:
		case <-end.C:
			return List{Version: since, Servers: []Entry{}}, true
		case <-outage:
			return List{}, false
		case <-ctx.Done():
			return List{}, false
		}
		s.mu.Lock()
	}
}

func (s *Server) write(w http.ResponseWriter, l List, agent string) {
	if s.cfg.RewriteEntry != nil {
		for i, e := range l.Servers {
			l.Servers[i] = s.cfg.RewriteEntry(agent, e)
		}
	}
	text, err := json.Marshal(l)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	if _, err := io.Copy(w, strings.NewReader(string(text))); err != nil {
		return
	}
	http.NewResponseController(w).Flush()
	s.mu.Lock()
	s.figures.Entries += len(l.Servers)
	var past []string
	if l.Full { // what a whole list does not name is gone
		past = slices.Collect(maps.Keys(s.removed))
	}
	s.mu.Unlock()
	if s.cfg.OnNotified == nil {
		return
	}
	now := time.Now()
	for _, e := range l.Servers {
		s.cfg.OnNotified(agent, e, now)
	}
	for _, id := range past {
		s.cfg.OnNotified(agent, Entry{ID: id, State: Removed}, now)
	}
}
