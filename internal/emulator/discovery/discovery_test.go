package discovery

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"ryeweir/internal/emulator/link"
)

// registry is a server on a network in memory, with a client of one agent.
type registry struct {
	*Server
	transport *http.Transport
}

func start(t *testing.T, cfg Config) *registry {
	t.Helper()
	n := link.NewNetwork(1)
	l, err := n.Listen("discovery:80")
	if err != nil {
		t.Fatal(err)
	}
	s := &registry{New(cfg), &http.Transport{DialContext: n.Dialer("agent"), DisableKeepAlives: true}}
	s.Serve(l, "agent")
	t.Cleanup(s.Close)
	return s
}

// get returns the list and the status; 0 where the connection broke.
func (s *registry) get(query string) (l List, status int) {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://discovery:80/v1/endpoints"+query, nil)
	if err != nil {
		return l, -1
	}
	resp, err := s.transport.RoundTrip(req)
	if err != nil {
		return l, 0
	}
	defer resp.Body.Close()
	json.NewDecoder(resp.Body).Decode(&l)
	return l, resp.StatusCode
}

func entry(id, state string) Entry { return Entry{ID: id, Addr: id + ":80", State: state, Weight: 1} }

// An agent that starts needs the full list; one that watches needs each change, late or not, once; and one that comes back with
// a version from another registry must not wait for changes that never come.
func TestWatchReturnsChangesAndFullListWhereVersionIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var notified []string
		s := start(t, Config{OnNotified: func(agent string, e Entry, _ time.Time) {
			notified = append(notified, fmt.Sprint(agent, e.ID, e.State == Ready))
		}})
		s.Set(entry("a", Ready), 0)
		s.Set(entry("b", Ready), 0)
		if l, _ := s.get(""); !l.Full || l.Version != 2 || len(l.Servers) != 2 {
			t.Errorf("%+v", l)
		}
		s.Set(entry("a", Terminating), 3*time.Second)
		began := time.Now()
		if l, _ := s.get("?since=2&timeout_ms=1000"); len(l.Servers) != 0 || l.Version != 2 || time.Since(began) != time.Second {
			t.Errorf("without a change: %+v after %v", l, time.Since(began))
		}
		if l, _ := s.get("?since=2&timeout_ms=60000"); len(l.Servers) != 1 || l.Servers[0].State != Terminating || l.Full || time.Since(began) != 3*time.Second {
			t.Errorf("a delayed change: %+v after %v", l, time.Since(began))
		}
		s.Set(entry("a", Removed), 0)
		if l, _ := s.get("?since=1&timeout_ms=1"); len(l.Servers) != 2 { // b, and a as it is now
			t.Errorf("since 1: %+v", l)
		}
		if l, _ := s.get("?since=99"); !l.Full || len(l.Servers) != 1 {
			t.Errorf("since a version to come: %+v", l)
		}
		if _, status := s.get("?since=x"); status != http.StatusBadRequest {
			t.Errorf("status %d", status)
		}
		synctest.Wait() // OnNotified comes after the write, and its reader may be here before it
		if last := notified[len(notified)-1]; last != "agenta false" && last != "agentafalse" {
			t.Errorf("notified last: %q of %v", last, notified)
		}
	})
}

// After a restart of many agents more requests come at once than the registry handles in time: it must serve those that it can
// and reject the rest, rather than serve all too late.
func TestRequestsBeyondQueueAreRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := start(t, Config{Rate: 10, MaxQueueDelay: time.Second})
		var mu sync.Mutex
		var requests sync.WaitGroup
		served, rejected := 0, 0
		for range 30 {
			requests.Go(func() {
				_, status := s.get("")
				mu.Lock()
				defer mu.Unlock()
				if status == http.StatusOK {
					served++
				} else {
					rejected++
				}
			})
		}
		requests.Wait()
		if served != 10 || rejected != 20 || s.Figures().Rejected != 20 {
			t.Errorf("%d served, %d rejected", served, rejected)
		}
	})
}

// A registry that goes down takes the open watches with it and rejects requests. When it is back, the list is as it was.
func TestOutageBreaksWatchesAndKeepsList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := start(t, Config{})
		s.Set(entry("a", Ready), 0)
		time.AfterFunc(time.Second, func() { s.SetOutage(true) })
		time.AfterFunc(5*time.Second, func() { s.SetOutage(false) })
		began := time.Now()
		if _, status := s.get("?since=1&timeout_ms=60000"); status != 0 || time.Since(began) != time.Second {
			t.Errorf("the watch ended with %d after %v", status, time.Since(began))
		}
		if _, status := s.get(""); status != http.StatusServiceUnavailable {
			t.Errorf("status %d in an outage", status)
		}
		time.Sleep(5 * time.Second)
		if l, status := s.get(""); status != http.StatusOK || len(l.Servers) != 1 {
			t.Errorf("%d %+v after it", status, l)
		}
	})
}
