package main

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"ryeweir/internal/crowd"
	"ryeweir/internal/testkit"
)

// Figures of the clients that come back during an upgrade.
const (
	returningClients = 12
	leaveAfter       = 20 * time.Millisecond
	executionTime    = 300 * time.Millisecond
	overlap          = 700 * time.Millisecond // for which both processes of an upgrade serve
	upgrades         = 3
)

// Failure: an order whose client left and sent it again ran twice, where the other process of an upgrade accepted it the second time. Each ID may
// reach an endpoint once, through several upgrades, one of which ends with SIGKILL.
func TestOrderThatComesAgainDuringAnUpgradeRunsOnce(t *testing.T) {
	executed := executions{counts: map[string]int{}}
	endpoint := testkit.NewBackend(t, func(c net.Conn, r *http.Request, n int) bool {
		if id := r.Header.Get("X-Request-ID"); id != "" { // a health check has none
			executed.add(id)
			time.Sleep(executionTime)
		}
		return testkit.RespondWith(testkit.OKResponse)(c, r, n)
	})
	addr, socket := inheritedListener(t)
	options := agentOptions{site: orderCore, memoryMB: 192, descriptors: 1024, listener: socket, tmp: t.TempDir()}
	old := startAgent(t, options, addr, endpoint.Addr().String())
	ctx, cancel := context.WithCancel(t.Context())
	var clients sync.WaitGroup
	for range returningClients {
		clients.Go(func() {
			for ctx.Err() == nil {
				id := crowd.NewID()
				sendAndLeave(addr, orderCore.upload, id)
				send(addr, orderCore.upload, id, 5*time.Second)
			}
		})
	}
	for i := range upgrades {
		next := startAgent(t, options, addr, endpoint.Addr().String())
		time.Sleep(overlap)
		if i == 0 {
			old.kill()
		} else {
			old.terminate()
			<-old.exited
		}
		old = next
	}
	cancel()
	clients.Wait()
	orders, twice := executed.summary()
	t.Logf("%d orders ran", orders)
	if twice > 0 || orders == 0 {
		t.Errorf("%d of %d orders ran more than once", twice, orders)
	}
}

// sendAndLeave sends a request on a connection and closes it before the answer can come.
func sendAndLeave(addr string, request crowd.Request, id string) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	io.WriteString(conn, request.Head(id, "Content-Length: 0\r\n")+"\r\n")
	time.Sleep(leaveAfter)
}

// executions counts how often each request reached an endpoint.
type executions struct {
	mu     sync.Mutex
	counts map[string]int
}

func (e *executions) add(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts[id]++
}

// summary returns the number of requests that ran, and of those that ran more than once.
func (e *executions) summary() (requests, twice int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, n := range e.counts {
		if n > 1 {
			twice++
		}
	}
	return len(e.counts), twice
}
