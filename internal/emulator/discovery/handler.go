package discovery

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"
)

// maxWatch is the maximum time that a watch waits for a change.
const maxWatch = time.Minute

// endpointsPath is the path of the endpoint list.
const endpointsPath = "/v1/endpoints"

// noVersion stands for a request without a version, which gets the full list.
const noVersion = -1

var (
	errRejected   = errors.New("discovery is overloaded or down")
	errWatchEnded = errors.New("watch ended without a list")
	errBadVersion = errors.New("since must be a version, a number of at least 0")
)

func (s *Server) handler(agent string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet || r.URL.Path != endpointsPath {
			http.NotFound(w, r)
			return
		}
		since, err := parseSince(r)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if err := s.waitInQueue(r.Context()); err != nil {
			w.Header().Set("Connection", "close")
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		list, err := s.awaitList(r.Context(), since, parseTimeout(r))
		if err != nil {
			panic(http.ErrAbortHandler) // closes the connection without a response
		}
		s.write(w, list, agent)
	})
}

// parseSince returns the version after which a watch wants changes, or noVersion if the request has none.
func parseSince(r *http.Request) (int, error) {
	query := r.URL.Query()
	if !query.Has("since") {
		return noVersion, nil
	}
	since, err := strconv.Atoi(query.Get("since"))
	if err != nil || since < 0 {
		return 0, errBadVersion
	}
	return since, nil
}

// parseTimeout returns how long a watch waits, at most maxWatch. It is 0 if the request has no valid timeout.
func parseTimeout(r *http.Request) time.Duration {
	ms, err := strconv.ParseInt(r.URL.Query().Get("timeout_ms"), 10, 64)
	if err != nil {
		return 0
	}
	return min(maxWatch, max(0, time.Duration(ms)*time.Millisecond))
}

// waitInQueue waits until all requests that are queued before have been handled, and this one too; each takes the same time. It returns
// errRejected at once during an outage, and during the wait if an outage begins. If the queue is too long, it returns errRejected
// after MaxQueueDelay, which is how a full queue looks to a client. It returns the context's error if the context ends first.
func (s *Server) waitInQueue(ctx context.Context) error {
	s.mu.Lock()
	inOutage, outage := s.inOutage, s.outage
	wait := s.queueDelay()
	rejected := inOutage || wait > s.cfg.MaxQueueDelay
	if rejected {
		s.figures.Rejected++
		wait = min(wait, s.cfg.MaxQueueDelay)
	}
	s.mu.Unlock()
	if !inOutage && wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-outage:
			rejected = true
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	if rejected {
		return errRejected
	}
	return nil
}

// queueDelay returns how long it takes until a request that arrives now has been handled. It queues the request unless that is longer
// than MaxQueueDelay. s.mu is held.
func (s *Server) queueDelay() time.Duration {
	if s.cfg.Rate <= 0 || s.inOutage {
		return 0
	}
	now := time.Now()
	if s.busyUntil.Before(now) {
		s.busyUntil = now
	}
	delay := s.busyUntil.Add(time.Duration(float64(time.Second) / s.cfg.Rate)).Sub(now)
	if delay <= s.cfg.MaxQueueDelay {
		s.busyUntil = now.Add(delay)
	}
	return delay
}

// awaitList returns the full list if since is noVersion. Otherwise it waits for changes after that version, and returns an empty list
// of the same version if there is none before the timeout. It returns errWatchEnded if an outage begins or the client disconnects.
func (s *Server) awaitList(ctx context.Context, since int, timeout time.Duration) (List, error) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	s.countList(since)
	for {
		list, changed, outage, ready := s.poll(since)
		if ready {
			return list, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return List{Version: since, Servers: []Entry{}}, nil
		case <-outage:
			return List{}, errWatchEnded
		case <-ctx.Done():
			return List{}, errWatchEnded
		}
	}
}

func (s *Server) countList(since int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if since == noVersion {
		s.figures.FullLists++
	} else {
		s.figures.Watches++
	}
}

// poll returns the list to send and true for ready, or if there is none yet, the channels that are closed at the next change and at the
// next outage.
func (s *Server) poll(since int) (list List, changed, outage <-chan struct{}, ready bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case since == noVersion:
		return s.endpoints.fullList(), nil, nil, true
	case s.endpoints.version != since:
		return s.endpoints.changesSince(since), nil, nil, true
	}
	return List{}, s.endpoints.changed, s.outage, false
}

// write writes a list to an agent and reports its entries to OnNotified.
func (s *Server) write(w http.ResponseWriter, list List, agent string) {
	if s.cfg.RewriteEntry != nil {
		for i, e := range list.Servers {
			list.Servers[i] = s.cfg.RewriteEntry(agent, e)
		}
	}
	text, err := json.Marshal(list)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	if _, err := w.Write(text); err != nil {
		return
	}
	http.NewResponseController(w).Flush()
	s.notified(list, agent)
}

// notified reports the entries of a list that was written to an agent. A full list also notifies the agent that the endpoints it
// leaves out have been removed.
func (s *Server) notified(list List, agent string) {
	s.mu.Lock()
	s.figures.Entries += len(list.Servers)
	var removed []string
	if list.Full {
		removed = s.endpoints.removedIDs()
	}
	s.mu.Unlock()
	if s.cfg.OnNotified == nil {
		return
	}
	now := time.Now()
	for _, e := range list.Servers {
		s.cfg.OnNotified(agent, e, now)
	}
	for _, id := range removed {
		s.cfg.OnNotified(agent, Entry{ID: id, State: Removed}, now)
	}
}
