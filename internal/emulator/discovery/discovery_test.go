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

// registry is a server on an in-memory network, with the HTTP transport of one agent.
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

// get returns the list and the status, which is 0 if the connection broke.
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

// An agent that starts must get the full list, and one that watches must get each change once, even if it is delayed. An agent whose
// version is newer than the registry's, as after a restart of the registry, must get the full list rather than wait for changes that
// never come.
func TestWatchReturnsChangesAndFullListWhereVersionIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var notified []string
		s := start(t, Config{OnNotified: func(agent string, e Entry, _ time.Time) {
			notified = append(notified, fmt.Sprint(agent, e.ID, e.State == Ready))
		}})
		s.Set(entry("a", Ready), 0)
		s.Set(entry("b", Ready), 0)
		if l, _ := s.get(""); !l.Full || l.Version != 2 || len(l.Servers) != 2 {
			t.Errorf("without a version: got %+v, want the full list of version 2", l)
		}
		s.Set(entry("a", Terminating), 3*time.Second)
		began := time.Now()
		if l, _ := s.get("?since=2&timeout_ms=1000"); len(l.Servers) != 0 || l.Version != 2 || time.Since(began) != time.Second {
			t.Errorf("a watch without a change: got %+v after %v, want no entries after 1 s", l, time.Since(began))
		}
		if l, _ := s.get("?since=2&timeout_ms=60000"); len(l.Servers) != 1 || l.Servers[0].State != Terminating || l.Full || time.Since(began) != 3*time.Second {
			t.Errorf("a watch with a delayed change: got %+v after %v, want a terminating after 3 s", l, time.Since(began))
		}
		s.Set(entry("a", Removed), 0)
		if l, _ := s.get("?since=1&timeout_ms=1"); len(l.Servers) != 2 { // b, and the current state of a
			t.Errorf("since version 1: got %+v, want two entries", l)
		}
		if l, _ := s.get("?since=99"); !l.Full || len(l.Servers) != 1 {
			t.Errorf("since a version newer than the registry's: got %+v, want the full list of one entry", l)
		}
		if _, status := s.get("?since=x"); status != http.StatusBadRequest {
			t.Errorf("with a malformed version: status %d, want %d", status, http.StatusBadRequest)
		}
		synctest.Wait() // OnNotified is called after the write, so the client may have the response before
		if last := notified[len(notified)-1]; last != "agenta false" && last != "agentafalse" {
			t.Errorf("last notification is %q, want that a accepts no requests; all notifications: %v", last, notified)
		}
	})
}

// When many agents restart together, more requests arrive than the registry can handle in time. It must serve as many as its queue
// allows and reject the rest, rather than serve all too late.
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
			t.Errorf("%d served, %d rejected, %d counted as rejected, want 10, 20 and 20", served, rejected, s.Figures().Rejected)
		}
	})
}

// An outage breaks the open watches, and requests are rejected while it lasts. Afterwards the list is unchanged.
func TestOutageBreaksWatchesAndKeepsList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := start(t, Config{})
		s.Set(entry("a", Ready), 0)
		time.AfterFunc(time.Second, func() { s.SetOutage(true) })
		time.AfterFunc(5*time.Second, func() { s.SetOutage(false) })
		began := time.Now()
		if _, status := s.get("?since=1&timeout_ms=60000"); status != 0 || time.Since(began) != time.Second {
			t.Errorf("the watch ended with status %d after %v, want a broken connection after 1 s", status, time.Since(began))
		}
		if _, status := s.get(""); status != http.StatusServiceUnavailable {
			t.Errorf("status %d during the outage, want %d", status, http.StatusServiceUnavailable)
		}
		time.Sleep(5 * time.Second)
		if l, status := s.get(""); status != http.StatusOK || len(l.Servers) != 1 {
			t.Errorf("after the outage: status %d, list %+v, want one entry", status, l)
		}
	})
}
