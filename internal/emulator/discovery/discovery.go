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

// Entry is an endpoint of the list, in the protocol's form.
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
	Removed     = "Gone" // among changes only
)

// List is a response: the full list, or the changes after a version.
type List struct {
	Version int     `json:"version"`
	Full    bool    `json:"full"`
	Servers []Entry `json:"servers"`
}

// Config is what the service is given.
type Config struct {
	Rate          float64       // requests handled a second; 0 for no limit
	MaxQueueDelay time.Duration // a request that would wait for longer is rejected; 0 for a second
	// RewriteEntry returns what an agent gets in place of an entry; may be nil.
	RewriteEntry func(agent string, e Entry) Entry
	// OnNotified is called after an entry was written to an agent; may be nil. Of a removed endpoint only ID and State are set.
	OnNotified func(agent string, e Entry, at time.Time)
}

const (
	defaultMaxQueueDelay = time.Second
	headTimeout          = 5 * time.Second
)

// Figures count the service's requests.
type Figures struct {
	FullLists int
	Watches   int
	Rejected  int
	Entries   int // written, over all responses
}

// Server is the service. It is safe for concurrent use.
type Server struct {
	cfg        Config
	goroutines sync.WaitGroup // of the HTTP servers

	mu        sync.Mutex
	endpoints endpointSet
	delayed   map[*time.Timer]struct{} // changes that have yet to show
	busyUntil time.Time                // when the request that was queued last will have been handled
	inOutage  bool
	outage    chan struct{} // closed when an outage begins, and replaced when it ends
	figures   Figures
	servers   []*http.Server
}

// New returns a service with an empty list.
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

// Serve answers the requests of an agent on a listener until Close, which closes the listener. It returns at once.
func (s *Server) Serve(l net.Listener, agent string) {
	server := &http.Server{Handler: s.handler(agent), ReadHeaderTimeout: headTimeout, ErrorLog: log.New(io.Discard, "", 0)}
	s.mu.Lock()
	s.servers = append(s.servers, server)
	s.mu.Unlock()
	s.goroutines.Go(func() { server.Serve(l) })
}

// Close ends the service and waits for it. Changes that have not shown yet are dropped.
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

// Set puts an entry into the list, changes it, or removes it where its state is Removed, after a delay.
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

// SetOutage begins an outage or ends it. In an outage all watches are broken off and requests rejected.
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

// Snapshot returns the present full list.
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
