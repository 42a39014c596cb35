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

// service is a discovery on a network in memory, and a way to call it.
type service struct {
	*Server
	transport *http.Transport
}

func start(t *testing.T, cfg Config) *service {
	t.Helper()
	n := link.NewNetwork(1)
	l, err := n.Listen("discovery:80")
	if err != nil {
		t.Fatal(err)
	}
	s := &service{New(cfg), &http.Transport{DialContext: n.Dialer("agent"), DisableKeepAlives: true}}
	s.Serve(l, "agent")
	t.Cleanup(s.Close)
	return s
}

// call returns the list, or the status of what was refused; 0 where the connection broke.
func (s *service) call(query string) (l List, status int) {
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

func TestListAndWatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var told []string
		s := start(t, Config{OnNotified: func(agent string, e Entry, _ time.Time) {
			told = append(told, fmt.Sprint(agent, e.ID, e.State == Ready))
		}})
		s.Set(entry("a", Ready), 0)
		s.Set(entry("b", Ready), 0)
		if l, _ := s.call(""); !l.Full || l.Version != 2 || len(l.Servers) != 2 {
			t.Errorf("%+v", l)
		}
		s.Set(entry("a", Terminating), 3*time.Second)
		began := time.Now()
		if l, _ := s.call("?since=2&timeout_ms=1000"); len(l.Servers) != 0 || l.Version != 2 || time.Since(began) != time.Second {
			t.Errorf("no news: %+v after %v", l, time.Since(began))
		}
		if l, _ := s.call("?since=2&timeout_ms=60000"); len(l.Servers) != 1 || l.Servers[0].State != Terminating || l.Full || time.Since(began) != 3*time.Second {
			t.Errorf("late news: %+v after %v", l, time.Since(began))
		}
		s.Set(entry("a", Removed), 0)
		if l, _ := s.call("?since=1&timeout_ms=1"); len(l.Servers) != 2 { // b, and a as it is now
			t.Errorf("since 1: %+v", l)
		}
		if l, _ := s.call("?since=99"); !l.Full || len(l.Servers) != 1 {
			t.Errorf("since a version to come: %+v", l)
		}
		if _, status := s.call("?since=x"); status != http.StatusBadRequest {
			t.Errorf("status %d", status)
		}
		synctest.Wait() // a server tells of what it has written, which its caller may have read by then
		if last := told[len(told)-1]; last != "agent"+"a"+" false" && last != "agentafalse" {
			t.Errorf("told last: %q of %v", last, told)
		}
	})
}

// Calls are handled in turn; those that would wait for too long are turned away.
func TestCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := start(t, Config{Rate: 10, MaxQueueDelay: time.Second})
		var mu sync.Mutex
		var all sync.WaitGroup
		served, refused := 0, 0
		for range 30 {
			all.Go(func() {
				_, status := s.call("")
				mu.Lock()
				defer mu.Unlock()
				if status == http.StatusOK {
					served++
				} else {
					refused++
				}
			})
		}
		all.Wait()
		if served != 10 || refused != 20 || s.Figures().Rejected != 20 {
			t.Errorf("%d served, %d refused", served, refused)
		}
	})
}

// An outage breaks the watches and refuses calls; afterwards all is as it was.
func TestOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := start(t, Config{})
		s.Set(entry("a", Ready), 0)
		time.AfterFunc(time.Second, func() { s.SetOutage(true) })
		time.AfterFunc(5*time.Second, func() { s.SetOutage(false) })
		began := time.Now()
		if _, status := s.call("?since=1&timeout_ms=60000"); status != 0 || time.Since(began) != time.Second {
			t.Errorf("the watch ended with %d after %v", status, time.Since(began))
		}
		if _, status := s.call(""); status != http.StatusServiceUnavailable {
			t.Errorf("status %d in an outage", status)
		}
		time.Sleep(5 * time.Second)
		if l, status := s.call(""); status != http.StatusOK || len(l.Servers) != 1 {
			t.Errorf("%d %+v after it", status, l)
		}
	})
}
