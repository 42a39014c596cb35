package discovery

import (
	"io"
	"log"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Entry is an endpoint in the list, with the JSON keys of the protocol.
type Entry struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMS int64   `json:"started_ms"` // Unix milliseconds; 0 for long ago
}

// The states of an entry.
const (
	Ready       = "Ready"
	Terminating = "Terminating"
	Removed     = "Gone" // only in a list of changes, not in a full list
)

// List is a response: the full list, or the changes after a version.
type List struct {
	Version int     `json:"version"`
	Full    bool    `json:"full"`
	Servers []Entry `json:"servers"`
}

// Config configures the service.
type Config struct {
	Rate          float64       // requests handled per second; 0 for no limit
	MaxQueueDelay time.Duration // requests that would wait longer are rejected; 0 for 1 s
	// RewriteEntry returns the entry that an agent gets in place of e; may be nil.
	RewriteEntry func(agent string, e Entry) Entry
	// OnNotified is called after an entry was written to an agent; may be nil. It is also called for removed endpoints that a full
	// list leaves out; then only ID and State are set.
	OnNotified func(agent string, e Entry, at time.Time)
}

const (
	defaultMaxQueueDelay = time.Second
	headerTimeout        = 5 * time.Second // for reading the header of a request
)

// Figures count the service's requests.
type Figures struct {
	FullLists int
	Watches   int
	Rejected  int
	Entries   int // number of entries written in all responses
}

// Server serves the endpoint list. It is safe for concurrent use.
type Server struct {
	cfg        Config
	goroutines sync.WaitGroup // of the HTTP servers

	mu        sync.Mutex
	endpoints endpointSet
	delayed   map[*time.Timer]struct{} // changes whose delay has not passed yet
	busyUntil time.Time                // when the last queued request will have been handled
	inOutage  bool
	outage    chan struct{} // closed when an outage begins, replaced when it ends
	figures   Figures
	servers   []*http.Server
}

// New returns a server with an empty list.
func New(cfg Config) *Server {
	if cfg.MaxQueueDelay == 0 {
		cfg.MaxQueueDelay = defaultMaxQueueDelay
	}
	return &Server{
		cfg:       cfg,
		endpoints: newEndpointSet(),
		delayed:   map[*time.Timer]struct{}{},
		outage:    make(chan struct{}),
	}
}

// Serve starts to answer the requests of an agent on a listener and returns at once. Close closes the listener.
func (s *Server) Serve(l net.Listener, agent string) {
	server := &http.Server{Handler: s.handler(agent), ReadHeaderTimeout: headerTimeout, ErrorLog: log.New(io.Discard, "", 0)}
	s.mu.Lock()
	s.servers = append(s.servers, server)
	s.mu.Unlock()
	s.goroutines.Go(func() { server.Serve(l) })
}

// Close stops the service and waits for its goroutines. Delayed changes are dropped.
func (s *Server) Close() {
	s.mu.Lock()
	for timer := range s.delayed {
		timer.Stop()
	}
	servers := slices.Clone(s.servers)
	s.mu.Unlock()
	for _, server := range servers {
		server.Close()
	}
	s.goroutines.Wait()
}

// Set adds an entry, or changes the one with the same ID, or removes it if the new state is Removed. The change takes effect after
// a delay.
func (s *Server) Set(e Entry, delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if delay <= 0 {
		s.endpoints.set(e)
		return
	}
	var timer *time.Timer
	timer = time.AfterFunc(delay, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.delayed, timer)
		s.endpoints.set(e)
	})
	s.delayed[timer] = struct{}{}
}

// SetOutage begins or ends an outage. When it begins, the connections of all open watches are broken; while it lasts, all requests
// are rejected.
func (s *Server) SetOutage(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inOutage == on {
		return
	}
	s.inOutage = on
	if on {
		close(s.outage)
	} else {
		s.outage = make(chan struct{})
	}
}

// Snapshot returns the current full list.
func (s *Server) Snapshot() List {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.endpoints.fullList()
}

// Figures returns the counts so far.
func (s *Server) Figures() Figures {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.figures
}
