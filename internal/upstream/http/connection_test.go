package http

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"sync"
	"testing"
	"time"

	"ryeweir/internal/core"
	"ryeweir/internal/pool"
	"ryeweir/internal/testkit"
	"ryeweir/logic"
)

// An endpoint closes an idle connection. The close must be detected before a request is lost on that connection.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	backend := testkit.NewBackend(t, func(c net.Conn, r *http.Request, n int) bool {
		testkit.RespondWith(testkit.OKResponse)(c, r, n)
		return n > 1
	})
	f := newFixture(t, backend.Addr().String(), 100)
	f.execute(f.attempt(testkit.WaitTimeout))
	testkit.Eventually(t, "the close has arrived", func() bool { f.Pool.Maintain(); return f.idleConnections() == 0 })
	if out := f.execute(f.attempt(testkit.WaitTimeout)); out.Result != logic.OK || backend.Connections() != 2 {
		t.Errorf("result %v on %d connections, want an OK on the second", out.Result, backend.Connections())
	}
}

func TestConnectionsAreReused(t *testing.T) {
	backend := testkit.NewBackend(t, testkit.RespondWith(testkit.OKResponse))
	f := newFixture(t, backend.Addr().String(), 100)
	for range 3 {
		f.execute(f.attempt(testkit.WaitTimeout))
	}
	if backend.Connections() != 1 {
		t.Errorf("%d connections for sequential requests, want 1", backend.Connections())
	}
}

// An endpoint drains, restarts or is removed. The update must close its idle connections.
func TestEndpointUpdatesCloseConnections(t *testing.T) {
	backend := testkit.NewBackend(t, testkit.RespondWith(testkit.OKResponse))
	addr := backend.Addr().String()
	f := newFixture(t, addr, 100)
	for i, change := range []func(){
		func() { f.listEndpoint(addr, logic.Draining, 0) },
		func() { f.listEndpoint(addr, logic.Ready, 9) },
		func() {
			f.UpdateEndpoints(core.EndpointList{Endpoints: []core.Endpoint{{Endpoint: logic.Endpoint{ID: endpointID, State: logic.Removed}}}})
		},
	} {
		f.listEndpoint(addr, logic.Ready, 0)
		f.execute(f.attempt(testkit.WaitTimeout))
		if f.idleConnections() != 1 {
			t.Fatalf("update %d: no connection is idle before it", i)
		}
		change()
		if f.openConnections() != 0 {
			t.Errorf("update %d: the connection is still open after it", i)
		}
	}
}

// An endpoint accepts connections and never answers. It must use up only its own limit of connections, and idle connections must be
// closed when other endpoints need their capacity.
func TestSilentEndpointKeepsToItsConnections(t *testing.T) {
	silent, healthy := testkit.NewBackend(t, testkit.NeverRespond), testkit.NewBackend(t, testkit.RespondWith(testkit.OKResponse))
	f := newFixture(t, silent.Addr().String(), 8)
	endpoint := f.Pool.Endpoint(endpointID)
	soon := time.Now().Add(testkit.WaitTimeout)
	for i := range 2 {
		if _, err := f.Pool.Get(context.Background(), pool.Request{Endpoint: endpoint, Deadline: soon}); err != nil {
			t.Fatalf("connection %d: %v", i, err)
		}
	}
	if _, err := f.Pool.Get(context.Background(), pool.Request{Endpoint: endpoint, Deadline: soon}); !errors.Is(err, pool.ErrExhausted) {
		t.Errorf("third connection with a limit of 8/4 per endpoint: %v", err)
	}
	// The agent's own limit is no evidence against the endpoint: if it counted, the balancer would eject healthy endpoints.
	if out := f.execute(f.attempt(testkit.WaitTimeout)); out.Result != logic.NotSent {
		t.Errorf("attempt at the connection limit: %v", out.Result)
	}
	var others []core.Endpoint
	for i := range 9 {
		others = append(others, core.Endpoint{Endpoint: logic.Endpoint{ID: fmt.Sprint(i)}, Addr: healthy.Addr().String()})
	}
	f.UpdateEndpoints(core.EndpointList{Endpoints: others})
	for i := range 9 {
		attempt := f.attemptOn(fmt.Sprint(i), testkit.WaitTimeout, testkit.WaitTimeout)
		if out := f.execute(attempt); out.Result != logic.OK {
			t.Errorf("attempt on endpoint %d: result %v", i, out.Result)
		}
	}
	if n := f.openConnections(); n > 8 {
		t.Errorf("%d connections open, limit 8", n)
	}
}

// A connect to one endpoint never completes. It must fail at the connect timeout and must not delay attempts on other endpoints.
func TestBlockedDialHoldsUpNoOtherEndpoint(t *testing.T) {
	t.Parallel()
	blocked, healthy := testkit.NewBackend(t, testkit.RespondWith(testkit.OKResponse)), testkit.NewBackend(t, testkit.RespondWith(testkit.OKResponse))
	dial, began := dialBlockedUntil(blocked.Addr().String(), nil)
	f := newFixtureWithDial(t, blocked.Addr().String(), 100, time.Second, dial)
	f.UpdateEndpoints(core.EndpointList{Endpoints: []core.Endpoint{{Endpoint: logic.Endpoint{ID: "other"}, Addr: healthy.Addr().String()}}})
	done := make(chan outcome)
	go func() { done <- f.execute(f.attempt(testkit.WaitTimeout)) }()
	<-began
	if out := f.execute(f.attemptOn("other", testkit.WaitTimeout, testkit.WaitTimeout)); out.Result != logic.OK {
		t.Errorf("attempt on another endpoint meanwhile: %v", out.Result)
	}
	if out := <-done; out.Result != logic.ConnectFailed || blocked.Requests() != 0 {
		t.Errorf("attempt with the blocked dial: %v, %d requests sent", out.Result, blocked.Requests())
	}
}

// Measures the heap bytes that an idle connection takes, after one request on each. Runs only if RYEWEIR_LONG is set.
func TestMemoryOfConnections(t *testing.T) {
	if os.Getenv("RYEWEIR_LONG") == "" {
		t.Skip("measurement; set RYEWEIR_LONG to run it")
	}
	const n = 400
	l := testkit.Listen(t)
	var arrived sync.WaitGroup
	arrived.Add(n)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { c.Close() })
			go func() {
				var buf [1024]byte
				c.Read(buf[:])
				arrived.Done()
				arrived.Wait() // gives each request a connection of its own
				io.WriteString(c, testkit.OKResponse)
			}()
		}
	}()
	f := newFixture(t, l.Addr().String(), 4*n)
	heap := func() uint64 {
		runtime.GC()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	before := heap()
	var all sync.WaitGroup
	for range n {
		all.Go(func() { f.execute(f.attempt(testkit.WaitTimeout)).text(t) })
	}
	all.Wait()
	t.Logf("%d idle connections, %d bytes of heap each, including the test backend's end", f.idleConnections(), (heap()-before)/n)
}
