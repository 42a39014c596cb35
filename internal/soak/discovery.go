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

// discovery is the discovery service of one agent, into which faults can be injected.
type discovery struct {
	agent    int
	registry *registry
	addrOf   func(entry) string
	server   *http.Server
	addr     string

	mu             sync.Mutex
	down           bool                   // all calls are aborted
	silenced       chan struct{}          // closed by silenceCalls, and replaced for later calls
	outages        []span                 // when the service was unreachable or slow
	responseDelay  time.Duration          // before each response
	inPieces       bool                   // lists are written in pieces of 40 bytes
	hideDraining   bool                   // full lists omit each server in another state than ready
	openCalls      map[chan struct{}]bool // closing the channel aborts the call
	reachableSince time.Duration          // end of the latest outage, or the start of the service
}

// newDiscovery starts a discovery service on a free port of host. addrOf gives the address at which the agent reaches a server.
func newDiscovery(agent int, r *registry, host string, addrOf func(entry) string) (*discovery, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, err
	}
	d := &discovery{agent: agent, registry: r, addrOf: addrOf, addr: l.Addr().String(), openCalls: map[chan struct{}]bool{},
		silenced: make(chan struct{}), reachableSince: monotonic()}
	d.server = &http.Server{Handler: d}
	go d.server.Serve(l)
	return d, nil
}

func (d *discovery) close() { d.server.Close() }

// setFault calls set, which changes the faults, and records the start or the end of an outage.
func (d *discovery) setFault(set func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	wasOut := d.down || d.responseDelay > 0
	set()
	switch isOut := d.down || d.responseDelay > 0; {
	case isOut && !wasOut:
		d.outages = append(d.outages, span{from: monotonic()})
	case wasOut && !isOut:
		d.outages[len(d.outages)-1].to = monotonic()
		d.reachableSince = monotonic()
	}
}

// silenceCalls makes the watches that are open now wait without a response until the agent gives up.
func (d *discovery) silenceCalls() {
	d.mu.Lock()
	defer d.mu.Unlock()
	close(d.silenced)
	d.silenced = make(chan struct{})
}

// abortCalls aborts the connections of the watches that are open.
func (d *discovery) abortCalls() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for w := range d.openCalls {
		close(w)
		delete(d.openCalls, w)
	}
}

// ServeHTTP serves one poll of the server list. A watch, which is a poll with the parameters since and timeout_ms, gets a response when the
// list changes or after the timeout.
func (d *discovery) ServeHTTP(response http.ResponseWriter, request *http.Request) {
	d.mu.Lock()
	down, responseDelay, inPieces, withoutDraining, silenced := d.down, d.responseDelay, d.inPieces, d.hideDraining, d.silenced
	aborted := make(chan struct{})
	d.openCalls[aborted] = true
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		delete(d.openCalls, aborted)
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
	if responseDelay > 0 && !d.delayCall(request, responseDelay, aborted) {
		panic(http.ErrAbortHandler)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		version, full, entries, nextChange := d.registry.list(since, d.addrOf, withoutDraining)
		if full || len(entries) > 0 {
			d.writeList(response, version, full, entries, inPieces)
			return
		}
		select {
		case <-nextChange:
		case <-timer.C:
			d.writeList(response, version, false, nil, inPieces)
			return
		case <-silenced:
			<-request.Context().Done()
			return
		case <-aborted:
			panic(http.ErrAbortHandler)
		case <-request.Context().Done():
			return
		}
	}
}

// delayCall waits for responseDelay, and reports whether the call is still open.
func (d *discovery) delayCall(r *http.Request, responseDelay time.Duration, aborted <-chan struct{}) bool {
	select {
	case <-time.After(responseDelay):
		return true
	case <-aborted:
	case <-r.Context().Done():
	}
	return false
}

// writeList writes a list of entries as JSON, and records that the agent was notified of them once everything is written.
func (d *discovery) writeList(w http.ResponseWriter, version int64, full bool, entries []entry, inPieces bool) {
	if entries == nil {
		entries = []entry{}
	}
	text, err := json.MarshalIndent(map[string]any{"version": version, "full": full, "servers": entries}, "", "  ")
	if err != nil {
		panic(err)
	}
	if !inPieces {
		var compact bytes.Buffer
		json.Compact(&compact, text)
		text = compact.Bytes()
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	control := http.NewResponseController(w)
	for inPieces && len(text) > 40 {
		w.Write(text[:40])
		control.Flush()
		text = text[40:]
		time.Sleep(200 * time.Microsecond)
	}
	if _, err := w.Write(text); err == nil && control.Flush() == nil {
		d.registry.recordNotifications(d.agent, full, entries)
	}
}

// faulty reports whether the service is unreachable, slow or sends its lists in pieces.
func (d *discovery) faulty() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.down || d.responseDelay > 0 || d.inPieces
}
