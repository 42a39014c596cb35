package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// server is one entry of the list.
type server struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMS int64   `json:"started_ms"`
}

// list is an answer of discovery.
type list struct {
	Version int      `json:"version"`
	Full    bool     `json:"full"`
	Servers []server `json:"servers"`
}

// discovery is a stand-in of the discovery service.
type discovery struct {
	addr  string
	run   *run
	name  string
	delay time.Duration // for which each call waits before it is served

	service *http.Server

	mu      sync.Mutex
	version int
	servers []server
	changed map[string]int // version of the latest change, by ID
	news    chan struct{}  // closed at the next change
}

// startDiscovery starts a discovery service.
func (r *run) startDiscovery(name string, servers []server) (*discovery, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{addr: l.Addr().String(), run: r, name: name, version: 41, servers: append([]server(nil), servers...), changed: map[string]int{}, news: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/endpoints", d.answer)
	d.service = &http.Server{Handler: mux}
	go d.service.Serve(l)
	return d, nil
}

// close ends the service with all its connections.
func (d *discovery) close() {
	d.run.note(d.name, "closed")
	d.service.Close()
}

// set changes the state of one server.
func (d *discovery) set(id, state string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	for i := range d.servers {
		if d.servers[i].ID == id {
			d.servers[i].State = state
			d.changed[id] = d.version
		}
	}
	close(d.news)
	d.news = make(chan struct{})
	d.run.note(d.name, "version %d: %s is %s", d.version, id, state)
}

// since returns the changes after a version, and what tells of the next one.
func (d *discovery) since(version int) (list, chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := list{Version: d.version, Full: version < 0, Servers: []server{}}
	for _, s := range d.servers {
		if version < 0 || d.changed[s.ID] > version {
			l.Servers = append(l.Servers, s)
		}
	}
	return l, d.news
}

// answer serves a call for the list or a watch.
func (d *discovery) answer(w http.ResponseWriter, r *http.Request) {
	d.run.note(d.name, "call %s", r.URL.RequestURI())
	version, err := strconv.Atoi(r.URL.Query().Get("since"))
	if err != nil {
		version = -1
	}
	wait, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	if d.delay > 0 {
		time.Sleep(d.delay)
	}
	for {
		l, news := d.since(version)
		if version < 0 || len(l.Servers) > 0 {
			d.write(w, r, l)
			return
		}
		select {
		case <-news:
		case <-deadline:
			d.write(w, r, l)
			return
		case <-r.Context().Done():
			d.run.note(d.name, "call %s ended by the agent", r.URL.RequestURI())
			return
		}
	}
}

func (d *discovery) write(w http.ResponseWriter, r *http.Request, l list) {
	if r.Context().Err() != nil {
		d.run.note(d.name, "call %s was given up by the agent", r.URL.RequestURI())
		return
	}
	text, _ := json.Marshal(l)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.Write(text)
	d.run.note(d.name, "answered %s: version %d, full %v, %d entries, %d bytes", r.URL.RequestURI(), l.Version, l.Full, len(l.Servers), len(text))
}
