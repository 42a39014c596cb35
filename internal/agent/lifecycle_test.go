package agent_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"ryeweir/internal/agent"
	"ryeweir/internal/config/operator"
	"ryeweir/internal/config/platform"
	"ryeweir/internal/emulator/link"
	"ryeweir/internal/emulator/peer"
)

// scriptedAgent is an agent in memory with scripted endpoints, and clients that write bytes.
type scriptedAgent struct {
	t              *testing.T
	network        *link.Network
	endpoint       *peer.Peer
	otherEndpoints []*peer.Peer     // beside it
	stop           func()           // as SIGTERM does
	hangup         chan<- os.Signal // SIGHUP
	finished       chan error
}

// startScriptedAgent runs an agent with one endpoint, whose connections follow the scripts.
func startScriptedAgent(t *testing.T, scripts ...[]peer.Step) *scriptedAgent {
	t.Helper()
	return startScriptedAgentOf(t, 1, scripts...)
}

// startScriptedAgentOf runs an agent with a number of endpoints, which follow the same scripts.
func startScriptedAgentOf(t *testing.T, nodes int, scripts ...[]peer.Step) *scriptedAgent {
	t.Helper()
	return startScriptedAgentWith(t, func(*platform.Config) {}, nodes, scripts...)
}

// startScriptedAgentWith is startScriptedAgentOf with a changed configuration.
func startScriptedAgentWith(t *testing.T, change func(*platform.Config), nodes int, scripts ...[]peer.Step) *scriptedAgent {
	t.Helper()
	a := &scriptedAgent{t: t, network: link.NewNetwork(1), finished: make(chan error, 1)}
	listen := func(addr string) net.Listener {
		l, err := a.network.Listen(addr)
		if err != nil {
			t.Fatal(err)
		}
		return l
	}
	a.endpoint = peer.New(listen("node:80"), scripts...)
	ids := []string{"node"}
	for i := 1; i < nodes; i++ {
		ids = append(ids, fmt.Sprint("node", i))
		a.otherEndpoints = append(a.otherEndpoints, peer.New(listen(ids[i]+":80"), scripts...))
	}
	cfg := configWithEndpoints(t, "127.0.0.1:90", ids...)
	change(&cfg)
	ops := operator.Default()
	ops.HealthChecks.PerRequest = 0 // the scripts have no health checks
	hangups := make(chan os.Signal, 1)
	reloads := agent.ReloadConfig{Signals: hangups, LoadPlatform: func() (platform.Config, error) { return cfg, nil }}
	sockets := agent.Environment{Clients: listen("agent:80"), Control: listen("agent:90"), Dial: a.network.Dialer("agent")}
	ctx, stop := context.WithCancel(t.Context())
	a.stop, a.hangup = stop, hangups
	go func() { a.finished <- agent.Run(ctx, cfg, ops, reloads, sockets, slog.New(slog.DiscardHandler)) }()
	time.Sleep(time.Second)
	return a
}

// close ends the agent and its endpoints and reports connections that are left. Goroutines that are left fail the test's bubble.
func (a *scriptedAgent) close() {
	a.t.Helper()
	a.stop()
	if err := <-a.finished; err != nil {
		a.t.Error(err)
	}
	if n := a.network.Open("agent"); n > 0 {
		a.t.Errorf("%d connections of an agent that has ended are open", n)
	}
	for _, p := range append(a.otherEndpoints, a.endpoint) {
		p.Close()
	}
}

// setReachable cuts the direction from the agent to its endpoint, or opens it. The other direction stays open.
func (a *scriptedAgent) setReachable(on bool) {
	a.network.Set("agent", "node", link.Conditions{Cut: !on})
}

// progressFigures are the figures of GET /v1/metrics that say what is in progress.
type progressFigures struct {
	Pending     int
	Unavailable int `json:"members_unavailable"`
	Upstream    int `json:"upstream_requests"`
	Connections struct{ Open, Idle, Opening, Waiting, Opened int }
	Border      map[string]int
}

// readFigures reads the figures at the operators' address.
func (a *scriptedAgent) readFigures() (f progressFigures) {
	a.t.Helper()
	client := http.Client{Transport: &http.Transport{DialContext: a.network.Dialer("operator"), DisableKeepAlives: true}}
	resp, err := client.Get("http://agent:90/v1/metrics")
	if err != nil {
		a.t.Fatal(err)
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(&f); err != nil {
		a.t.Fatal(err)
	}
	return f
}

// connectAndWrite opens a connection to the agent and writes a text on it.
func (a *scriptedAgent) connectAndWrite(text string) net.Conn {
	a.t.Helper()
	c, err := a.network.Dialer("app")(a.t.Context(), "tcp", "agent:80")
	if err != nil {
		a.t.Fatal(err)
	}
	if _, err := io.WriteString(c, text); err != nil {
		a.t.Fatal(err)
	}
	return c
}

// readAnswer reads an answer: its status, 0 without one; whether it is complete; and how many bytes follow it.
func readAnswer(c net.Conn) (status int, complete bool, surplus int) {
	in := bufio.NewReader(c)
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return 0, false, 0
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	c.SetReadDeadline(time.Now().Add(time.Second))
	rest, _ := io.ReadAll(in) // nothing may follow
	return resp.StatusCode, err == nil, len(rest)
}

// requestHead returns the head of a request, with a length if it is a POST.
func requestHead(method, path string, body int) string {
	head := method + " " + path + " HTTP/1.1\r\nHost: origin.svc\r\nX-Request-ID: 00000000000000aa\r\nX-Tenant-Id: kottu-run\r\nX-Timeout: 800m\r\n"
	if method == http.MethodPost {
		head += fmt.Sprintf("Content-Length: %d\r\n", body)
	}
	return head + "\r\n"
}

// requestStage is where a request is when something happens to it, 150 ms after it began.
type requestStage struct {
	endpointScript     []peer.Step   // of the first connection; nil, and of those after it: serveAll
	unreachableAfter   time.Duration // when the endpoint becomes unreachable; 0 for never
	written            string        // what the client has written
	remaining          string        // what it has yet to write
	requestsAtEndpoint int           // requests that the endpoint has read to the end by then
	statusAtDeadline   int           // of the answer if nothing more happens; or truncated
	scriptAfterwards   []peer.Step   // how endpointScript goes on if the endpoint answers after all
}

const (
	longBody        = 200 << 10 // bytes; is streamed
	immediately     = time.Nanosecond
	truncated       = 0 // the status of an answer that breaks off
	betweenAttempts = "between two attempts"
)

// requestStages are the stages at which a request can be.
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

// serveAll is a script that serves every request on a connection.
func serveAll() []peer.Step {
	return []peer.Step{peer.Forever(peer.Request(), peer.Send(peer.OK("fine")))}
}

// bringToStage sends a request and waits until it is at its stage.
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
	if f := a.readFigures(); len(a.endpoint.Requests()) != s.requestsAtEndpoint || f.Pending > 1 {
		a.t.Errorf("the endpoint has read %d requests, not %d; %+v", len(a.endpoint.Requests()), s.requestsAtEndpoint, f)
	}
	return c
}

// At each stage of its request a client leaves, or waits in vain until its deadline. It gets at most one answer, nothing is sent
// afterwards, all connections and counts are returned, and the id is free.
func TestAbandonedRequestLeavesNothingBehindAtAnyStage(t *testing.T) {
	for name, s := range requestStages() {
		for _, leaves := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, leaves %v", name, leaves), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					script := serveAll()
					if s.endpointScript != nil {
						script = append(slices.Clone(s.endpointScript), peer.Silence())
					}
					d := startScriptedAgent(t, script, serveAll())
					defer d.close()
					c := d.bringToStage(s)
					if leaves {
						c.Close()
						time.Sleep(20 * time.Millisecond)
						if n := d.readFigures().Connections.Waiting; n > 0 {
							t.Errorf("%d wait for a connection whose client has left", n)
						}
					} else {
						status, complete, surplus := readAnswer(c)
						if status != s.statusAtDeadline && s.statusAtDeadline > 0 || complete != (s.statusAtDeadline > 0) || surplus > 0 {
							t.Errorf("got %d, complete %v, followed by %d bytes", status, complete, surplus)
						}
						c.Close()
					}
					time.Sleep(10 * time.Second)
					d.setReachable(true)
					time.Sleep(10 * time.Second)
					f := d.readFigures()
					if n := f.Connections; f.Pending != 0 || n.Open != n.Idle || n.Opening != 0 || n.Waiting != 0 || f.Upstream != s.requestsAtEndpoint {
						t.Errorf("in the end %+v", f)
					}
					for what, n := range f.Border {
						if n != 0 {
							t.Errorf("%d %s", n, what)
						}
					}
					if n := len(d.endpoint.Requests()); n != s.requestsAtEndpoint {
						t.Errorf("the endpoint has read %d requests in all, %d before", n, s.requestsAtEndpoint)
					}
					next := d.connectAndWrite(requestHead("POST", "/place-order", 0))
					if status, complete, _ := readAnswer(next); status != http.StatusOK || !complete {
						t.Errorf("the next under the same id got %d", status)
					}
					next.Close()
				})
			})
		}
	}
}

// SIGTERM arrives at each stage of a request, also with a reload and a second signal right after it. What was accepted gets its
// one complete answer, what must not run twice has run once, and nothing of the agent is left.
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
				d := startScriptedAgent(t, script, serveAll())
				defer d.close()
				c := d.bringToStage(s)
				d.stop()
				d.hangup <- os.Interrupt
				time.Sleep(20 * time.Millisecond)
				d.stop()
				d.setReachable(true)
				io.WriteString(c, s.remaining)
				status, complete, surplus := readAnswer(c)
				if status != http.StatusOK || !complete || surplus > 0 {
					t.Errorf("got %d, complete %v, followed by %d bytes", status, complete, surplus)
				}
				c.Close()
				want := max(1, s.requestsAtEndpoint)
				if name == betweenAttempts {
					want = 2
				}
				if n := len(d.endpoint.Requests()); n != want {
					t.Errorf("the endpoint has read %d requests", n)
				}
			})
		})
	}
}

// Clients would wait for longer than the platform gives an agent to end. Each gets an answer before the end: a rejection where
// nothing can have run or a repeat does no harm, a failure where it may have run, and a stream goes on to its end.
func TestShutdownAnswersBeforeLongDeadlines(t *testing.T) {
	patient := func(cfg *platform.Config) {
		for i := range cfg.Site.Logic.Classes {
			cfg.Site.Logic.Classes[i].Timeout = 20 * time.Second
		}
	}
	order, basket := "/place-order", "/price-basket"
	patientRequest := func(method, path string, body int) string {
		return strings.Replace(requestHead(method, path, body), "800m", "15000m", 1)
	}
	slow := []peer.Step{peer.Request(), peer.Send("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n")}
	for range 50 {
		slow = append(slow, peer.Send(strings.Repeat("x", 2000)), peer.Wait(100*time.Millisecond))
	}
	for name, c := range map[string]struct {
		script []peer.Step
		cut    bool
		text   string
		more   bool // of the body is sent, a little at a time
		want   int
		begun  int // requests that the endpoint reads
	}{
		"may have run":             {[]peer.Step{peer.Request(), peer.Silence()}, false, patientRequest("POST", order, 0), false, http.StatusBadGateway, 1},
		"may be repeated":          {[]peer.Step{peer.Request(), peer.Silence()}, false, patientRequest("GET", basket, 0), false, http.StatusServiceUnavailable, 1},
		"waits for a connection":   {serveAll(), true, patientRequest("POST", order, 0), false, http.StatusServiceUnavailable, 0}, // it never ran
		"a streamed answer":        {slow, false, patientRequest("GET", basket, 0), false, http.StatusOK, 1},
		"a long body half written": {[]peer.Step{peer.Silence()}, false, patientRequest("POST", order, longBody) + strings.Repeat("x", longBody/2), true, http.StatusBadGateway, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := startScriptedAgentWith(t, func(cfg *platform.Config) { patient(cfg); cfg.Site.ConnectTimeout = time.Minute }, 1, c.script, c.script, c.script, c.script)
				if c.cut {
					d.setReachable(false)
				}
				half := d.connectAndWrite(patientRequest("POST", order, 4)[:20]) // begins before the signal
				client := d.connectAndWrite(c.text)
				time.Sleep(100 * time.Millisecond)
				d.stop()
				stopped := time.Now()
				ended := make(chan struct{})
				go func() {
					defer close(ended)
					if err := <-d.finished; err != nil {
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
					t.Errorf("got %d, complete %v, followed by %d bytes", status, complete, surplus)
				}
				if took := time.Since(stopped) - time.Second; c.want != http.StatusOK && took > 3700*time.Millisecond { // reading waits for a second
					t.Errorf("the answer came after %v", took)
				}
				<-ended
				if n := len(d.endpoint.Requests()); n != c.begun {
					t.Errorf("the endpoint has read %d requests", n)
				}
				half.Close()
				client.Close()
				uploads.Wait()
				d.endpoint.Close()
				if n := d.network.Open("agent"); n > 0 {
					t.Errorf("%d connections of an agent that has ended are open", n)
				}
			})
		})
	}
}

// An endpoint sends a second answer to a request, at once or some milliseconds late. It must not be taken for the answer to the
// next request on the connection.
func TestSurplusAnswerIsNotForTheNextRequest(t *testing.T) {
	for _, late := range []time.Duration{0, time.Millisecond, 5 * time.Millisecond} {
		t.Run(late.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := startScriptedAgent(t, []peer.Step{peer.Request(), peer.Send(peer.OK("first")), peer.Wait(late), peer.Send(peer.OK("first")),
					peer.Forever(peer.Request(), peer.Send(peer.OK("behind")))}, serveAll())
				defer d.close()
				c := d.connectAndWrite(requestHead("GET", "/price-basket", 0))
				defer c.Close()
				in := bufio.NewReader(c)
				for _, want := range []string{"first", "fine"} {
					resp, err := http.ReadResponse(in, nil)
					if err != nil {
						t.Fatal(err)
					}
					if body, err := io.ReadAll(resp.Body); string(body) != want || err != nil {
						t.Errorf("%q in place of %q, %v", body, want, err)
					}
					if want == "first" {
						io.WriteString(c, requestHead("GET", "/price-basket", 0))
					}
				}
			})
		})
	}
}

// One tenant does whatever the protocol allows. Another notices nothing of it: none of its requests is rejected or slow, no
// healthy endpoint is ejected, and the connections that the first wastes are bounded.
func TestMisbehavingTenantDoesNotAffectAnother(t *testing.T) {
	busy := []peer.Step{peer.Forever(peer.Request(), peer.Wait(20*time.Millisecond), peer.Send(peer.OK("fine")))}
	request := func(id int, more string) string {
		return fmt.Sprintf("GET /price-basket HTTP/1.1\r\nHost: o\r\nX-Request-ID: %016x\r\n%s\r\n", id, more)
	}
	const own = "X-Tenant-Id: bath-box\r\n"
	for name, c := range map[string]struct {
		more   func(id int) string          // of the head
		stays  time.Duration                // then it leaves
		reads  bool                         // its answers
		wastes func(f progressFigures) bool // reports whether it took too many connections
	}{
		"no other tenant":           {},
		"short deadlines":           {func(int) string { return own + "X-Timeout: 10m\r\n" }, time.Second, true, func(f progressFigures) bool { return f.Connections.Opened > 700 }},
		"odd deadlines":             {func(id int) string { return own + fmt.Sprintf("X-Timeout: %du\r\n", 1+id%30*1000) }, time.Second, true, nil},
		"cancels":                   {func(int) string { return own + "X-Timeout: 800m\r\n" }, time.Millisecond, false, func(f progressFigures) bool { return f.Connections.Opened > 60 }},
		"ever new keys":             {func(id int) string { return own + fmt.Sprintf("X-Timeout: 800m\r\nX-Route-Key: k%d\r\n", id) }, time.Second, true, nil},
		"an invalid cost":           {func(int) string { return own + "X-Timeout: 800m\r\nX-Cost: 1e300\r\nX-Cost: -1\r\n" }, time.Second, true, nil},
		"two ids in a request":      {func(int) string { return own + "X-Timeout: 800m\r\nX-Request-ID: 1\r\n" }, time.Second, true, nil},
		"answers that nobody reads": {func(int) string { return own + "X-Timeout: 800m\r\n" }, time.Second, false, nil},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				d := startScriptedAgentOf(t, 3, busy)
				defer d.close()
				var all sync.WaitGroup
				var mu sync.Mutex
				slowest, unserved, avoided := time.Duration(0), 0, 0
				for i := range 600 { // 200 a second of the one, 50 of the other
					if c.more != nil {
						all.Go(func() {
							conn := d.connectAndWrite(request(1<<32+i, c.more(i)))
							defer conn.Close()
							if c.reads {
								readAnswer(conn)
							} else {
								time.Sleep(c.stays)
							}
						})
					}
					if i%4 == 0 {
						all.Go(func() {
							began := time.Now()
							conn := d.connectAndWrite(request(i, "X-Tenant-Id: kottu-run\r\nX-Timeout: 800m\r\nConnection: close\r\n"))
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
						avoided = max(avoided, d.readFigures().Unavailable)
					}
					time.Sleep(5 * time.Millisecond)
				}
				all.Wait()
				f := d.readFigures()
				if unserved > 0 || slowest > 40*time.Millisecond || max(avoided, f.Unavailable) > 0 || c.wastes != nil && c.wastes(f) {
					t.Errorf("%d unserved, the slowest after %v, %d endpoints avoided; %+v", unserved, slowest, avoided, f)
				}
				time.Sleep(10 * time.Second)
				if f := d.readFigures(); f.Pending != 0 || f.Connections.Open != f.Connections.Idle {
					t.Errorf("in the end %+v", f)
				}
			})
		})
	}
}

// Clients request long answers and do not read them. They hold connections until they are cut, and nobody else waits for a
// connection to an endpoint or for one to the agent.
func TestClientsThatDoNotReadDelayNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		body := strings.Repeat("x", 4<<20)
		d := startScriptedAgentOf(t, 3, []peer.Step{peer.Forever(peer.Request(), peer.Send(peer.OK(body)))})
		defer d.close()
		var all sync.WaitGroup
		for i := range 150 { // 30 a second
			all.Go(func() {
				c := d.connectAndWrite(fmt.Sprintf("GET /price-basket HTTP/1.1\r\nHost: o\r\nX-Request-ID: %016x\r\nX-Tenant-Id: bath-box\r\nX-Timeout: 800m\r\n\r\n", 1<<32+i))
				time.Sleep(20 * time.Second)
				if _, complete, _ := readAnswer(c); complete {
					t.Error("an answer that nobody read for 20 s is complete")
				}
				c.Close()
			})
			if i%10 == 0 {
				c := d.connectAndWrite(fmt.Sprintf("GET /price-basket HTTP/1.1\r\nHost: o\r\nX-Request-ID: %016x\r\nX-Tenant-Id: kottu-run\r\nX-Timeout: 800m\r\nConnection: close\r\n\r\n", i))
				began := time.Now()
				if status, complete, _ := readAnswer(c); status != http.StatusOK || !complete || time.Since(began) > 100*time.Millisecond {
					t.Errorf("request %d got %d, complete %v, after %v", i, status, complete, time.Since(began))
				}
				c.Close()
			}
			time.Sleep(time.Second / 30)
		}
		if f := d.readFigures(); f.Unavailable > 0 || f.Connections.Waiting > 0 {
			t.Errorf("beside them %+v", f)
		}
		time.Sleep(8 * time.Second) // they still do not read
		if f := d.readFigures(); f.Pending != 0 || f.Connections.Open != f.Connections.Idle {
			t.Errorf("8 s later they hold %+v", f)
		}
		all.Wait()
		time.Sleep(10 * time.Second)
		if f := d.readFigures(); f.Pending != 0 || f.Connections.Open != f.Connections.Idle {
			t.Errorf("in the end %+v", f)
		}
	})
}
