package agent_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"ryeweir/internal/config/platform"
	"ryeweir/internal/emulator/peer"
)

// requestStage describes a stage of a request, at which it is 150 ms after its start, and what follows from it.
type requestStage struct {
	endpointScript     []peer.Step   // for the first connection; nil stands for serveAll. All later connections get serveAll.
	unreachableAfter   time.Duration // when the endpoint becomes unreachable; 0 for never
	written            string        // what the client writes to reach the stage
	remaining          string        // what the client has not written yet
	requestsAtEndpoint int           // number of requests that the endpoint has read completely at the stage
	statusAtDeadline   int           // of the answer if nothing more happens until the deadline, or truncated
	scriptAfterwards   []peer.Step   // continues endpointScript if the endpoint responds later
}

const (
	longBody        = 200 << 10       // bytes; a body of this size is streamed, not buffered
	immediately     = time.Nanosecond // for requestStage.unreachableAfter: before the request starts
	truncated       = 0               // for requestStage.statusAtDeadline: the answer is cut off
	betweenAttempts = "between two attempts"
)

// requestStages returns the stages of a request by their name.
func requestStages() map[string]requestStage {
	order, basket := "/place-order", "/price-basket"
	half := strings.Repeat("x", longBody/2)
	read := peer.Request()
	rejected := peer.Send("HTTP/1.1 503 No\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n")
	short, long := peer.OK("fine"), peer.OK(half+half)
	chunkedHead := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n"
	return map[string]requestStage{
		"body half read": {
			written:          requestHead("POST", order, 8) + "half",
			remaining:        "half",
			statusAtDeadline: http.StatusBadRequest,
		},
		"waiting for a connection": {
			unreachableAfter: immediately,
			written:          requestHead("POST", order, 0),
			statusAtDeadline: http.StatusServiceUnavailable,
		},
		"half written": {
			written:          requestHead("POST", order, longBody) + half,
			remaining:        half,
			statusAtDeadline: http.StatusBadRequest,
		},
		"waiting for the answer": {
			endpointScript:     []peer.Step{read},
			written:            requestHead("POST", order, 0),
			requestsAtEndpoint: 1,
			statusAtDeadline:   http.StatusBadGateway,
			scriptAfterwards:   []peer.Step{peer.Send(short)},
		},
		"in the middle of an answer": {
			endpointScript:     []peer.Step{read, peer.Send(short[:40])},
			written:            requestHead("POST", order, 0),
			requestsAtEndpoint: 1,
			statusAtDeadline:   http.StatusBadGateway,
			scriptAfterwards:   []peer.Step{peer.Send(short[40:])},
		},
		"in the middle of a streamed answer": {
			endpointScript:     []peer.Step{read, peer.Send(long[:longBody/2])},
			written:            requestHead("GET", basket, 0),
			requestsAtEndpoint: 1,
			statusAtDeadline:   truncated,
			scriptAfterwards:   []peer.Step{peer.Send(long[longBody/2:])},
		},
		betweenAttempts: {
			endpointScript:     []peer.Step{read, peer.Wait(100 * time.Millisecond), peer.Close()},
			unreachableAfter:   50 * time.Millisecond,
			written:            requestHead("GET", basket, 0),
			requestsAtEndpoint: 1,
			statusAtDeadline:   http.StatusServiceUnavailable,
		},
		"in the second of two attempts": {
			endpointScript:     []peer.Step{read, rejected, read},
			written:            requestHead("POST", order, 0),
			requestsAtEndpoint: 2,
			statusAtDeadline:   http.StatusBadGateway,
			scriptAfterwards:   []peer.Step{peer.Send(short)},
		},
		"in an answer without a length": {
			endpointScript:     []peer.Step{read, peer.Send(chunkedHead)},
			written:            requestHead("GET", basket, 0),
			requestsAtEndpoint: 1,
			statusAtDeadline:   truncated,
			scriptAfterwards:   []peer.Step{peer.Send("0\r\n\r\n")},
		},
	}
}

// serveAll returns a script that serves every request on a connection.
func serveAll() []peer.Step {
	return []peer.Step{peer.Forever(peer.Request(), peer.Send(peer.OK("fine")))}
}

// bringToStage sends a request, waits until it is at the stage, and returns the client's connection.
func (a *scriptedAgent) bringToStage(s requestStage) net.Conn {
	a.t.Helper()
	began := time.Now()
	switch {
	case s.unreachableAfter == immediately:
		a.setReachable(false)
	case s.unreachableAfter > 0:
		time.AfterFunc(s.unreachableAfter, func() { a.setReachable(false) })
	}
	c := a.connectAndWrite(s.written)
	time.Sleep(150*time.Millisecond - time.Since(began))
	if f := a.readMetrics(); len(a.endpoint.Requests()) != s.requestsAtEndpoint || f.Pending > 1 {
		a.t.Errorf("the endpoint has read %d requests, want %d; metrics %+v", len(a.endpoint.Requests()), s.requestsAtEndpoint, f)
	}
	return c
}

// At each stage of its request, a client disconnects or waits until its deadline passes. It must get at most one answer, and nothing may be
// sent afterwards. Connections and counters must return to their idle state, and the ID of the request must be free again.
func TestAbandonedRequestLeavesNothingBehindAtAnyStage(t *testing.T) {
	for name, s := range requestStages() {
		for _, disconnects := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, disconnects %v", name, disconnects), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					script := serveAll()
					if s.endpointScript != nil {
						script = append(slices.Clone(s.endpointScript), peer.Silence())
					}
					a := startScriptedAgent(t, script, serveAll())
					defer a.close()
					c := a.bringToStage(s)
					if disconnects {
						c.Close()
						time.Sleep(20 * time.Millisecond)
						if n := a.readMetrics().Connections.Waiting; n > 0 {
							t.Errorf("%d requests of disconnected clients wait for a connection", n)
						}
					} else {
						status, complete, surplus := readAnswer(c)
						if status != s.statusAtDeadline && s.statusAtDeadline > 0 || complete != (s.statusAtDeadline > 0) || surplus > 0 {
							t.Errorf("got status %d, complete %v, followed by %d bytes", status, complete, surplus)
						}
						c.Close()
					}
					time.Sleep(10 * time.Second)
					a.setReachable(true)
					time.Sleep(10 * time.Second)
					f := a.readMetrics()
					if n := f.Connections; f.Pending != 0 || n.Open != n.Idle || n.Opening != 0 || n.Waiting != 0 || f.Upstream != s.requestsAtEndpoint {
						t.Errorf("metrics at the end: %+v", f)
					}
					for violation, n := range f.ContractViolations {
						if n != 0 {
							t.Errorf("%d contract violations: %s", n, violation)
						}
					}
					if n := len(a.endpoint.Requests()); n != s.requestsAtEndpoint {
						t.Errorf("the endpoint has read %d requests in all, want %d", n, s.requestsAtEndpoint)
					}
					next := a.connectAndWrite(requestHead("POST", "/place-order", 0))
					if status, complete, _ := readAnswer(next); status != http.StatusOK || !complete {
						t.Errorf("the next request with the same ID got status %d", status)
					}
					next.Close()
				})
			})
		}
	}
}

// The shutdown begins at each stage of a request, and a reload and a second signal follow at once. The request must get exactly one
// complete answer, a non-idempotent request must run only once, and no connection or goroutine of the agent may be left.
func TestShutdownAnswersRequestsAtAnyStage(t *testing.T) {
	for name, s := range requestStages() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				script := serveAll()
				if s.endpointScript != nil {
					script = append(slices.Clone(s.endpointScript), peer.Wait(300*time.Millisecond))
					script = append(append(script, s.scriptAfterwards...), peer.Silence())
				}
				a := startScriptedAgent(t, script, serveAll())
				defer a.close()
				c := a.bringToStage(s)
				a.stop()
				a.hangup <- os.Interrupt
				time.Sleep(20 * time.Millisecond)
				a.stop()
				a.setReachable(true)
				io.WriteString(c, s.remaining)
				status, complete, surplus := readAnswer(c)
				if status != http.StatusOK || !complete || surplus > 0 {
					t.Errorf("got status %d, complete %v, followed by %d bytes", status, complete, surplus)
				}
				c.Close()
				want := max(1, s.requestsAtEndpoint)
				if name == betweenAttempts {
					want = 2
				}
				if n := len(a.endpoint.Requests()); n != want {
					t.Errorf("the endpoint has read %d requests", n)
				}
			})
		})
	}
}

// The shutdown begins while clients have longer deadlines than the platform allows a shutdown to take. Each must get an answer before the
// agent ends: a rejection if the request has not run or may safely be sent again, and a failure if it may have run. An answer that is
// being streamed continues to its end.
func TestShutdownAnswersBeforeLongDeadlines(t *testing.T) {
	allowLongTimeouts := func(cfg *platform.Config) {
		for i := range cfg.Site.Logic.Classes {
			cfg.Site.Logic.Classes[i].Timeout = 20 * time.Second
		}
	}
	order, basket := "/place-order", "/price-basket"
	longDeadlineRequest := func(method, path string, body int) string {
		return strings.Replace(requestHead(method, path, body), "800m", "15000m", 1)
	}
	slow := []peer.Step{peer.Request(), peer.Send("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n")}
	for range 50 {
		slow = append(slow, peer.Send(strings.Repeat("x", 2000)), peer.Wait(100*time.Millisecond))
	}
	for name, c := range map[string]struct {
		script []peer.Step
		cut    bool   // the endpoint is not reachable
		text   string // what the client writes
		more   bool   // the client then writes more of the body, slowly
		want   int    // status of the answer
		begun  int    // number of requests that the endpoint reads completely
	}{
		"may have run":             {[]peer.Step{peer.Request(), peer.Silence()}, false, longDeadlineRequest("POST", order, 0), false, http.StatusBadGateway, 1},
		"may be repeated":          {[]peer.Step{peer.Request(), peer.Silence()}, false, longDeadlineRequest("GET", basket, 0), false, http.StatusServiceUnavailable, 1},
		"waits for a connection":   {serveAll(), true, longDeadlineRequest("POST", order, 0), false, http.StatusServiceUnavailable, 0}, // the request has not run
		"a streamed answer":        {slow, false, longDeadlineRequest("GET", basket, 0), false, http.StatusOK, 1},
		"a long body half written": {[]peer.Step{peer.Silence()}, false, longDeadlineRequest("POST", order, longBody) + strings.Repeat("x", longBody/2), true, http.StatusBadGateway, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := startScriptedAgentWith(t, func(cfg *platform.Config) { allowLongTimeouts(cfg); cfg.Site.ConnectTimeout = time.Minute }, 1, c.script, c.script, c.script, c.script)
				if c.cut {
					a.setReachable(false)
				}
				half := a.connectAndWrite(longDeadlineRequest("POST", order, 4)[:20]) // this request begins before the shutdown
				client := a.connectAndWrite(c.text)
				time.Sleep(100 * time.Millisecond)
				a.stop()
				stopped := time.Now()
				ended := make(chan struct{})
				go func() {
					defer close(ended)
					if err := <-a.finished; err != nil {
						t.Error(err)
					}
				}()
				var uploads sync.WaitGroup
				uploads.Go(func() {
					for c.more {
						if _, err := io.WriteString(client, strings.Repeat("x", 1000)); err != nil {
							return
						}
						time.Sleep(500 * time.Millisecond)
					}
				})
				status, complete, surplus := readAnswer(client)
				if status != c.want || !complete || surplus > 0 {
					t.Errorf("got status %d, complete %v, followed by %d bytes", status, complete, surplus)
				}
				if took := time.Since(stopped) - time.Second; c.want != http.StatusOK && took > 3700*time.Millisecond { // readAnswer waits for a second after the answer
					t.Errorf("the answer arrived %v after the shutdown began", took)
				}
				<-ended
				if n := len(a.endpoint.Requests()); n != c.begun {
					t.Errorf("the endpoint has read %d requests", n)
				}
				half.Close()
				client.Close()
				uploads.Wait()
				a.endpoint.Close()
				if n := a.network.Open("agent"); n > 0 {
					t.Errorf("the agent has ended but %d of its connections are open", n)
				}
			})
		})
	}
}

// An endpoint sends two responses to a request, the second at once or a few milliseconds later. The second must not be taken for the
// response to the next request on the connection.
func TestSurplusResponseIsNotForTheNextRequest(t *testing.T) {
	for _, delay := range []time.Duration{0, time.Millisecond, 5 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := startScriptedAgent(t, []peer.Step{peer.Request(), peer.Send(peer.OK("first")), peer.Wait(delay), peer.Send(peer.OK("first")),
					peer.Forever(peer.Request(), peer.Send(peer.OK("behind")))}, serveAll())
				defer a.close()
				c := a.connectAndWrite(requestHead("GET", "/price-basket", 0))
				defer c.Close()
				in := bufio.NewReader(c)
				for _, want := range []string{"first", "fine"} {
					resp, err := http.ReadResponse(in, nil)
					if err != nil {
						t.Fatal(err)
					}
					if body, err := io.ReadAll(resp.Body); string(body) != want || err != nil {
						t.Errorf("got body %q, want %q; error %v", body, want, err)
					}
					if want == "first" {
						io.WriteString(c, requestHead("GET", "/price-basket", 0))
					}
				}
			})
		})
	}
}

// One tenant sends whatever the protocol allows. Another tenant must not be affected: none of its requests is rejected or slow, and no
// healthy endpoint is ejected. The number of connections to endpoints that the first tenant causes is bounded.
func TestMisbehavingTenantDoesNotAffectAnother(t *testing.T) {
	busy := []peer.Step{peer.Forever(peer.Request(), peer.Wait(20*time.Millisecond), peer.Send(peer.OK("fine")))}
	request := func(id int, headers string) string {
		return fmt.Sprintf("GET /price-basket HTTP/1.1\r\nHost: o\r\nX-Request-ID: %016x\r\n%s\r\n", id, headers)
	}
	const tenant = "X-Tenant-Id: bath-box\r\n"
	for name, c := range map[string]struct {
		headers            func(id int) string          // of a request of the misbehaving tenant
		disconnectAfter    time.Duration                // if it does not read its answers
		reads              bool                         // it reads its answers
		tooManyConnections func(f progressMetrics) bool // reports whether it caused too many connections; may be nil
	}{
		"no other tenant":           {},
		"short deadlines":           {func(int) string { return tenant + "X-Timeout: 10m\r\n" }, time.Second, true, func(f progressMetrics) bool { return f.Connections.Opened > 700 }},
		"odd deadlines":             {func(id int) string { return tenant + fmt.Sprintf("X-Timeout: %du\r\n", 1+id%30*1000) }, time.Second, true, nil},
		"cancels":                   {func(int) string { return tenant + "X-Timeout: 800m\r\n" }, time.Millisecond, false, func(f progressMetrics) bool { return f.Connections.Opened > 60 }},
		"a new key each time":       {func(id int) string { return tenant + fmt.Sprintf("X-Timeout: 800m\r\nX-Route-Key: k%d\r\n", id) }, time.Second, true, nil},
		"an invalid cost":           {func(int) string { return tenant + "X-Timeout: 800m\r\nX-Cost: 1e300\r\nX-Cost: -1\r\n" }, time.Second, true, nil},
		"two IDs in a request":      {func(int) string { return tenant + "X-Timeout: 800m\r\nX-Request-ID: 1\r\n" }, time.Second, true, nil},
		"answers that nobody reads": {func(int) string { return tenant + "X-Timeout: 800m\r\n" }, time.Second, false, nil},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				a := startScriptedAgentOf(t, 3, busy)
				defer a.close()
				var all sync.WaitGroup
				var mu sync.Mutex
				slowest, unserved, unavailable := time.Duration(0), 0, 0
				for i := range 600 { // 200 requests a second of the misbehaving tenant, 50 of the other
					if c.headers != nil {
						all.Go(func() {
							conn := a.connectAndWrite(request(1<<32+i, c.headers(i)))
							defer conn.Close()
							if c.reads {
								readAnswer(conn)
							} else {
								time.Sleep(c.disconnectAfter)
							}
						})
					}
					if i%4 == 0 {
						all.Go(func() {
							began := time.Now()
							conn := a.connectAndWrite(request(i, "X-Tenant-Id: kottu-run\r\nX-Timeout: 800m\r\nConnection: close\r\n"))
							defer conn.Close()
							resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
							mu.Lock()
							defer mu.Unlock()
							if slowest = max(slowest, time.Since(began)); err != nil || resp.StatusCode != http.StatusOK {
								unserved++
							}
						})
					}
					if i%100 == 0 {
						unavailable = max(unavailable, a.readMetrics().Unavailable)
					}
					time.Sleep(5 * time.Millisecond)
				}
				all.Wait()
				f := a.readMetrics()
				if unserved > 0 || slowest > 40*time.Millisecond || max(unavailable, f.Unavailable) > 0 || c.tooManyConnections != nil && c.tooManyConnections(f) {
					t.Errorf("%d requests not served, the slowest took %v, %d endpoints unavailable; metrics %+v", unserved, slowest, unavailable, f)
				}
				time.Sleep(10 * time.Second)
				if f := a.readMetrics(); f.Pending != 0 || f.Connections.Open != f.Connections.Idle {
					t.Errorf("metrics at the end: %+v", f)
				}
			})
		})
	}
}

// Clients request long answers and do not read them, so they hold connections until the agent cuts them off. Other clients must not have
// to wait for a connection to the agent or to an endpoint.
func TestClientsThatDoNotReadDoNotDelayOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		body := strings.Repeat("x", 4<<20)
		a := startScriptedAgentOf(t, 3, []peer.Step{peer.Forever(peer.Request(), peer.Send(peer.OK(body)))})
		defer a.close()
		var all sync.WaitGroup
		for i := range 150 { // 30 requests a second
			all.Go(func() {
				c := a.connectAndWrite(fmt.Sprintf("GET /price-basket HTTP/1.1\r\nHost: o\r\nX-Request-ID: %016x\r\nX-Tenant-Id: bath-box\r\nX-Timeout: 800m\r\n\r\n", 1<<32+i))
				time.Sleep(20 * time.Second)
				if _, complete, _ := readAnswer(c); complete {
					t.Error("an answer that its client did not read for 20 s was not cut off")
				}
				c.Close()
			})
			if i%10 == 0 {
				c := a.connectAndWrite(fmt.Sprintf("GET /price-basket HTTP/1.1\r\nHost: o\r\nX-Request-ID: %016x\r\nX-Tenant-Id: kottu-run\r\nX-Timeout: 800m\r\nConnection: close\r\n\r\n", i))
				began := time.Now()
				if status, complete, _ := readAnswer(c); status != http.StatusOK || !complete || time.Since(began) > 100*time.Millisecond {
					t.Errorf("request %d got status %d, complete %v, after %v", i, status, complete, time.Since(began))
				}
				c.Close()
			}
			time.Sleep(time.Second / 30)
		}
		if f := a.readMetrics(); f.Unavailable > 0 || f.Connections.Waiting > 0 {
			t.Errorf("metrics while clients do not read: %+v", f)
		}
		time.Sleep(8 * time.Second) // the clients still do not read
		if f := a.readMetrics(); f.Pending != 0 || f.Connections.Open != f.Connections.Idle {
			t.Errorf("metrics 8 s after the last request: %+v", f)
		}
		all.Wait()
		time.Sleep(10 * time.Second)
		if f := a.readMetrics(); f.Pending != 0 || f.Connections.Open != f.Connections.Idle {
			t.Errorf("metrics at the end: %+v", f)
		}
	})
}
