package http

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/iotest"
	"time"

	"ryeweir/internal/bodybuffer"
	"ryeweir/internal/core"
	"ryeweir/internal/httpmsg"
	"ryeweir/internal/pool"
	"ryeweir/internal/testkit"
	"ryeweir/logic"
)

// fixture is an upstream with one server.
type fixture struct {
	*Upstream
	reports []error
}

func newFixture(t *testing.T, addr string, most int) *fixture {
	return fixtureWith(t, addr, most, 2*time.Second, nil)
}

func fixtureWith(t *testing.T, addr string, most int, connectIn time.Duration, dial pool.DialFunc) *fixture {
	f := &fixture{}
	clock := core.NewClock()
	set := pool.DefaultSettings(most)
	set.AcquireTimeout = connectIn
	p, err := pool.New(pool.Config{Settings: set, ConnectTimeout: connectIn, Clock: clock, Dial: dial, NewState: NewConnState})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	f.Upstream = &Upstream{Pool: p, Clock: clock, OnRequestWritten: func() {}, Budget: bodybuffer.NewBudget(1 << 20), LoadReportFields: []string{"util", "qps", "eps"},
		OnMalformedReport: func(err error) { f.reports = append(f.reports, err) }}
	f.list(addr, logic.Ready, 0)
	return f
}

func (f *fixture) list(addr string, state logic.EndpointState, started time.Duration) {
	f.UpdateEndpoints(core.EndpointList{Full: true, Endpoints: []core.Endpoint{{Endpoint: logic.Endpoint{ID: "b", State: state, StartedAt: started}, Addr: addr}}})
}

// outcome is what an attempt reports.
type outcome struct{ core.Outcome }

// make makes an attempt and returns its outcome.
func (f *fixture) make(a trial) outcome {
	f.Execute(context.Background(), a.Attempt)
	return outcome{<-a.told}
}

// text is the body of an outcome whose answer has come whole.
func (o outcome) text(t *testing.T) string {
	t.Helper()
	if o.Content == nil {
		return ""
	}
	defer o.Content.Discard()
	var body strings.Builder
	if _, err := o.Content.(*httpmsg.Content).Pipe.WriteTo(&body); err != nil {
		t.Error(err)
	}
	return body.String()
}

// trial is an attempt with the place for its outcome.
type trial struct {
	*core.Attempt
	told chan core.Outcome
}

// attempt makes a keyed attempt that may take so long.
func (f *fixture) attempt(within time.Duration) trial { return f.attemptOn("b", within, within) }

func (f *fixture) attemptOn(server string, within, writeIn time.Duration) trial {
	c := &core.Call{ID: "9b1f03aa5c7e2d41", Timeout: within, Message: &httpmsg.Message{
		Head: []byte("POST /refund-record HTTP/1.1\r\nHost: origin.svc\r\nIdempotency-Key: k\r\nX-Request-Id: 9b1f03aa5c7e2d41\r\nContent-Length: 4\r\n"),
		Body: httpmsg.Body{Buffered: []byte("body"), Length: 4}}}
	told := make(chan core.Outcome, 1)
	now := f.Clock.Now()
	a := core.NewAttempt(c, f.Bind(server), now+within, now+writeIn, func(o core.Outcome) { told <- o })
	a.SentAt = now
	return trial{a, told}
}

// idle counts the connections that wait for use, and all that are open.
func (f *fixture) idle() int { return f.Pool.Stats().Idle }
func (f *fixture) open() int { return f.Pool.Stats().Open }

func resets(c net.Conn, _ *http.Request, _ int) bool {
	c.(*net.TCPConn).SetLinger(0)
	return false
}

// An outcome says exactly what may have run: the module resends by it, and effects must not repeat.
func TestOutcomes(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		script func(net.Conn, *http.Request, int) bool
		want   logic.Result
		idle   int
	}{
		"served":                     {testkit.Says(testkit.ServedText), logic.OK, 1},
		"served, then closed":        {testkit.Says("HTTP/1.1 200 OK\r\nContent-Length: 4\r\nConnection: close\r\n\r\nfine"), logic.OK, 0},
		"chunked":                    {testkit.Says("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\n\r\n"), logic.OK, 1},
		"after an interim answer":    {testkit.Says("HTTP/1.1 103 Early Hints\r\n\r\n" + testkit.ServedText), logic.OK, 1},
		"more than one answer":       {testkit.Says(testkit.ServedText + testkit.ServedText), logic.OK, 0},
		"error":                      {testkit.Says("HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n"), logic.Failed, 1},
		"503 that may have run":      {testkit.Says("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"), logic.Failed, 1},
		"503 not processed":          {testkit.Says("HTTP/1.1 503 Busy\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"), logic.Rejected, 1},
		"504 not processed":          {testkit.Says("HTTP/1.1 504 Late\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"), logic.Rejected, 1},
		"500 that claims not to run": {testkit.Says("HTTP/1.1 500 Oops\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"), logic.Failed, 1},
		"closed":                     {testkit.Closes, logic.Reset, 0},
		"reset":                      {resets, logic.Reset, 0},
		"garbage":                    {testkit.Says("no HTTP at all\r\n\r\n"), logic.Reset, 0},
		"endless head":               {testkit.Says("HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 8*maxHead)), logic.Reset, 0},
		"switching protocols":        {testkit.Says("HTTP/1.1 101 Other\r\n\r\nsomething else\r\n\r\n"), logic.Reset, 0},
		"error over what is held": {testkit.Says("HTTP/1.1 500 Oops\r\nContent-Length: 70000\r\n\r\n" + strings.Repeat("x", 70000)),
			logic.Failed, 0},
		// What follows leaves the connection open and testkit.Silent: it must not hold the attempt until its deadline.
		"noise with no line":        {testkit.Says("\x16\x03\x01noise"), logic.Reset, 0},
		"noise like an answer":      {testkit.Says("HTTPS"), logic.Reset, 0},
		"half a head":               {testkit.Says("HTTP/1.1 200 OK\r\nContent-Le"), logic.Reset, 0},
		"half a body":               {testkit.Says("HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\nfine"), logic.Reset, 0},
		"a chunk with no size":      {testkit.Says("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfine\r\nzz\r\nfine\r\n"), logic.Reset, 0},
		"said to have 3 GB":         {testkit.Says("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nfine"), logic.Reset, 0},
		"two lengths":               {testkit.Says("HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nfine"), logic.Reset, 0},
		"negative length":           {testkit.Says("HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\nfine"), logic.Reset, 0},
		"no length, left open":      {testkit.Says("HTTP/1.1 200 OK\r\n\r\nfine"), logic.Reset, 0},
		"interim ones without end":  {testkit.Says(strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 2*mostInterim)), logic.Reset, 0},
		"good, and noise behind it": {testkit.Says(testkit.ServedText + "\x00noise"), logic.OK, 0},
		// HTTP ends such a body with the connection; a backend that dies in the middle of one resets it.
		"no length, then closed": {func(c net.Conn, r *http.Request, n int) bool {
			io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nfine")
			return false
		}, logic.OK, 0},
		"no length, then reset": {func(c net.Conn, r *http.Request, n int) bool {
			io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nfine")
			return resets(c, r, n)
		}, logic.Reset, 0},
		"truncated": {func(c net.Conn, r *http.Request, n int) bool {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\nfine")
			return false
		}, logic.Reset, 0},
	} {
		t.Run(name, func(t *testing.T) {
			b := testkit.NewBackend(t, c.script)
			f := newFixture(t, b.Addr().String(), 100)
			a := f.attempt(testkit.Patience)
			out := f.make(a)
			if out.Result != c.want {
				t.Errorf("result %v, want %v", out.Result, c.want)
			}
			if body := out.text(t); (out.Result == logic.OK) != (body == "fine") {
				t.Errorf("body %q", body)
			}
			if took := f.Clock.Now() - a.SentAt; took > testkit.Patience/2 {
				t.Errorf("it took %v", took)
			}
			if b.Requests() != 1 {
				t.Errorf("the backend saw %d requests", b.Requests())
			}
			if f.idle() != c.idle {
				t.Errorf("%d idle connections, want %d", f.idle(), c.idle)
			}
		})
	}
}

func TestRefusedConnectionNeverRan(t *testing.T) {
	f := newFixture(t, testkit.Refusing(t), 100)
	if out := f.make(f.attempt(testkit.Patience)); out.Result != logic.ConnectFailed {
		t.Errorf("result %v", out.Result)
	}
}

func TestSilenceTimesOut(t *testing.T) {
	t.Parallel()
	b := testkit.NewBackend(t, testkit.Silent)
	f := newFixture(t, b.Addr().String(), 100)
	if out := f.make(f.attempt(time.Second)); out.Result != logic.TimedOut {
		t.Errorf("result %v", out.Result)
	}
	if n := f.open(); n != 0 {
		t.Errorf("%d connections left open", n)
	}
}

// A kept connection that breaks under a request gives one Reset: net/http's Transport would send the request
// again by itself, which nobody decided on and which may repeat an effect.
func TestNoHiddenResend(t *testing.T) {
	b := testkit.NewBackend(t, func(c net.Conn, r *http.Request, n int) bool {
		return n == 1 && testkit.Says(testkit.ServedText)(c, r, n)
	})
	f := newFixture(t, b.Addr().String(), 100)
	if out := f.make(f.attempt(testkit.Patience)); out.Result != logic.OK {
		t.Fatalf("first: %v", out.Result)
	}
	if out := f.make(f.attempt(testkit.Patience)); out.Result != logic.Reset {
		t.Errorf("second: %v", out.Result)
	}
	if b.Requests() != 2 || b.Connections() != 1 {
		t.Errorf("%d requests on %d connections", b.Requests(), b.Connections())
	}
}

// A kept connection that the far end has closed is found out before a request is lost on it.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	b := testkit.NewBackend(t, func(c net.Conn, r *http.Request, n int) bool { testkit.Says(testkit.ServedText)(c, r, n); return n > 1 })
	f := newFixture(t, b.Addr().String(), 100)
	f.make(f.attempt(testkit.Patience))
	testkit.Eventually(t, "the close has come", func() bool { f.Pool.Maintain(); return f.idle() == 0 })
	if out := f.make(f.attempt(testkit.Patience)); out.Result != logic.OK || b.Connections() != 2 {
		t.Errorf("result %v on %d connections", out.Result, b.Connections())
	}
}

func TestConnectionsAreKept(t *testing.T) {
	b := testkit.NewBackend(t, testkit.Says(testkit.ServedText))
	f := newFixture(t, b.Addr().String(), 100)
	for range 3 {
		f.make(f.attempt(testkit.Patience))
	}
	if b.Connections() != 1 {
		t.Errorf("%d connections for requests one after another", b.Connections())
	}
}

// Nothing is written once the backend drains, is gone or has started anew, the request has ended, its time is
// up or the backends may have forgotten its key: a dial may have taken that long.
func TestNotSent(t *testing.T) {
	b := testkit.NewBackend(t, testkit.Says(testkit.ServedText))
	addr := b.Addr().String()
	for name, change := range map[string]func(f *fixture, a *trial){
		"drains":    func(f *fixture, a *trial) { f.list(addr, logic.Draining, 0) },
		"gone":      func(f *fixture, a *trial) { f.UpdateEndpoints(core.EndpointList{Full: true}) },
		"restarted": func(f *fixture, a *trial) { f.list(addr, logic.Ready, 7) },
		"moved":     func(f *fixture, a *trial) { f.list(testkit.Refusing(t), logic.Ready, 0) },
		"late":      func(f *fixture, a *trial) { *a = f.attemptOn("b", 0, 0) },
		"forgotten": func(f *fixture, a *trial) { *a = f.attemptOn("b", testkit.Patience, 0) },
		"unknown":   func(f *fixture, a *trial) { *a = f.attemptOn("unknown", testkit.Patience, testkit.Patience) },
	} {
		t.Run(name, func(t *testing.T) {
			before := b.Requests()
			f := newFixture(t, addr, 100)
			a := f.attempt(testkit.Patience)
			change(f, &a)
			if out := f.make(a); out.Result != logic.NotSent {
				t.Errorf("result %v", out.Result)
			}
			if f.stillWanted(a.Attempt, a.Target.(*pool.Endpoint)) || b.Requests() != before {
				t.Error("it was sent, or would have been")
			}
		})
	}
}

func TestListChangesCloseConnections(t *testing.T) {
	b := testkit.NewBackend(t, testkit.Says(testkit.ServedText))
	addr := b.Addr().String()
	f := newFixture(t, addr, 100)
	for i, change := range []func(){
		func() { f.list(addr, logic.Draining, 0) },
		func() { f.list(addr, logic.Ready, 9) },
		func() {
			f.UpdateEndpoints(core.EndpointList{Endpoints: []core.Endpoint{{Endpoint: logic.Endpoint{ID: "b", State: logic.Removed}}}})
		},
	} {
		f.list(addr, logic.Ready, 0)
		f.make(f.attempt(testkit.Patience))
		if f.idle() != 1 {
			t.Fatalf("%d: no connection was kept", i)
		}
		change()
		if f.open() != 0 {
			t.Errorf("%d: the connection is still open", i)
		}
	}
}

// A testkit.Silent backend gets only its part of the connections, and what is idle makes room for what is needed.
func TestConnectionLimits(t *testing.T) {
	quiet, fine := testkit.NewBackend(t, testkit.Silent), testkit.NewBackend(t, testkit.Says(testkit.ServedText))
	f := newFixture(t, quiet.Addr().String(), 8)
	b := f.Pool.Endpoint("b")
	soon := time.Now().Add(testkit.Patience)
	for i := range 2 {
		if _, err := f.Pool.Get(context.Background(), pool.Request{Endpoint: b, Deadline: soon}); err != nil {
			t.Fatalf("connection %d: %v", i, err)
		}
	}
	if _, err := f.Pool.Get(context.Background(), pool.Request{Endpoint: b, Deadline: soon}); !errors.Is(err, pool.ErrExhausted) {
		t.Errorf("a third of at most 8/4: %v", err)
	}
	// It is the agent's own lack: told as a failure of the backend, it would make the module shun one that is well.
	if out := f.make(f.attempt(testkit.Patience)); out.Result != logic.NotSent {
		t.Errorf("an attempt with no place: %v", out.Result)
	}
	var others []core.Endpoint
	for i := range 9 {
		others = append(others, core.Endpoint{Endpoint: logic.Endpoint{ID: fmt.Sprint(i)}, Addr: fine.Addr().String()})
	}
	f.UpdateEndpoints(core.EndpointList{Endpoints: others})
	for i := range 9 {
		a := f.attemptOn(fmt.Sprint(i), testkit.Patience, testkit.Patience)
		if out := f.make(a); out.Result != logic.OK {
			t.Errorf("backend %d: %v", i, out.Result)
		}
	}
	if n := f.open(); n > 8 {
		t.Errorf("%d connections of at most 8", n)
	}
}

func TestRequestGoesOnUnchanged(t *testing.T) {
	b := testkit.NewBackend(t, testkit.Says(testkit.ServedText))
	f := newFixture(t, b.Addr().String(), 100)
	f.make(f.attempt(1500 * time.Millisecond))
	if b.Requests() != 1 {
		t.Fatal("nothing came")
	}
	r := b.Seen[0]
	left, err := time.ParseDuration(r.Header.Get("X-Timeout") + "s") // 1234u and s are 1234us
	if err != nil || left > 1500*time.Millisecond {
		t.Errorf("X-Timeout %q: %v", r.Header.Get("X-Timeout"), err)
	}
	if r.Method != http.MethodPost || r.RequestURI != "/refund-record" || r.Header.Get("Idempotency-Key") != "k" ||
		r.Header.Get("X-Request-ID") != "9b1f03aa5c7e2d41" || b.Bodies[0] != "body" || r.Host != "origin.svc" {
		t.Errorf("%s %s %v %q", r.Method, r.RequestURI, r.Header, b.Bodies[0])
	}
}

func TestReports(t *testing.T) {
	fields := []string{"util", "qps", "eps"}
	r, err := parseReport("util=0.5, qps=12,eps=0.25,unheard=3,queue=9", fields)
	if want := (logic.LoadReport{Utilization: 0.5, RequestRate: 12}); err != nil || r != want {
		t.Errorf("%+v, %v", r, err)
	}
	for _, text := range []string{"util", "util=", "util=x", "util=NaN,qps=1", "util=Inf", "util=-1", "qps=1e300", "=,"} {
		if r, err := parseReport(text, fields); err == nil {
			t.Errorf("%q gives %+v", text, r)
		}
	}
}

// A malformed report spoils neither the answer that brought it nor the module's averages.
func TestMalformedReportIsPassedOver(t *testing.T) {
	b := testkit.NewBackend(t, testkit.Says("HTTP/1.1 200 OK\r\nX-Server-Load: util=NaN,qps=3\r\nContent-Length: 4\r\n\r\nfine"))
	f := newFixture(t, b.Addr().String(), 100)
	out := f.make(f.attempt(testkit.Patience))
	if out.Result != logic.OK || out.LoadReport != logic.NoLoadReport || len(f.reports) != 1 {
		t.Errorf("%v %+v %v", out.Result, out.LoadReport, f.reports)
	}
}

// A report that can be read counts, also behind one that can't.
func TestReportBehindAMalformedOne(t *testing.T) {
	b := testkit.NewBackend(t, testkit.Says("HTTP/1.1 200 OK\r\nX-Server-Load: %%%\r\nX-Server-Load: util=0.5\r\nContent-Length: 4\r\n\r\nfine"))
	f := newFixture(t, b.Addr().String(), 100)
	if out := f.make(f.attempt(testkit.Patience)); out.Result != logic.OK || out.LoadReport.Utilization != 0.5 {
		t.Errorf("%v %+v", out.Result, out.LoadReport)
	}
}

// held is a dial that waits for the channel to close at that address, as a machine that says nothing does.
func held(addr string, until chan struct{}) (dial pool.DialFunc, began chan struct{}) {
	began = make(chan struct{}, 1)
	return func(ctx context.Context, network, to string) (net.Conn, error) {
		if to == addr {
			began <- struct{}{}
			select {
			case <-until:
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		}
		return (&net.Dialer{}).DialContext(ctx, network, to)
	}, began
}

// A dial that is never up fails in the connect time-out, and meanwhile holds up nothing else.
func TestDeadDial(t *testing.T) {
	t.Parallel()
	dead, fine := testkit.NewBackend(t, testkit.Says(testkit.ServedText)), testkit.NewBackend(t, testkit.Says(testkit.ServedText))
	dial, began := held(dead.Addr().String(), nil)
	f := fixtureWith(t, dead.Addr().String(), 100, time.Second, dial)
	f.UpdateEndpoints(core.EndpointList{Endpoints: []core.Endpoint{{Endpoint: logic.Endpoint{ID: "other"}, Addr: fine.Addr().String()}}})
	done := make(chan outcome)
	go func() { done <- f.make(f.attempt(testkit.Patience)) }()
	<-began
	if out := f.make(f.attemptOn("other", testkit.Patience, testkit.Patience)); out.Result != logic.OK {
		t.Errorf("to another backend meanwhile: %v", out.Result)
	}
	if out := <-done; out.Result != logic.ConnectFailed || dead.Requests() != 0 {
		t.Errorf("the dead dial: %v", out.Result)
	}
}

// A backend that begins to drain while the dial goes on gets nothing, though the connection comes up.
func TestDrainDuringDial(t *testing.T) {
	b := testkit.NewBackend(t, testkit.Says(testkit.ServedText))
	addr := b.Addr().String()
	up := make(chan struct{})
	dial, began := held(addr, up)
	f := fixtureWith(t, addr, 100, testkit.Patience, dial)
	done := make(chan outcome)
	go func() { done <- f.make(f.attempt(testkit.Patience)) }()
	<-began
	f.list(addr, logic.Draining, 0)
	close(up)
	if out := <-done; out.Result != logic.NotSent || b.Requests() != 0 || f.open() != 0 {
		t.Errorf("%v with %d requests, %d connections left", out.Result, b.Requests(), f.open())
	}
}

// With RYEWEIR_LONG set: what a kept connection takes of the heap, after a request on each.
func TestMemoryOfConnections(t *testing.T) {
	if os.Getenv("RYEWEIR_LONG") == "" {
		t.Skip("a measurement")
	}
	const n = 400
	l := testkit.Listen(t)
	var came sync.WaitGroup
	came.Add(n)
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
				came.Done()
				came.Wait() // so that each request has a connection of its own
				io.WriteString(c, testkit.ServedText)
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
		all.Go(func() { f.make(f.attempt(testkit.Patience)).text(t) })
	}
	all.Wait()
	t.Logf("%d idle connections, %d bytes of heap each with the stand-in's end", f.idle(), (heap()-before)/n)
}

// A client that leaves less time than an answer may take gets an exact outcome, also where the answer has begun to come or the
// time was over before the write; and it costs its own connection, not those that others use.
func TestHastyClients(t *testing.T) {
	t.Parallel()
	const warm = 6
	var together sync.WaitGroup
	together.Add(warm)
	b := testkit.NewBackend(t, func(c net.Conn, r *http.Request, n int) bool {
		if n <= warm {
			together.Done()
			together.Wait()
			return testkit.Says(testkit.ServedText)(c, r, n)
		}
		if n == warm+1 {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfi")
		}
		return testkit.Silent(c, r, n)
	})
	f := newFixture(t, b.Addr().String(), 40)
	var all sync.WaitGroup
	for range warm {
		all.Go(func() { f.make(f.attempt(testkit.Patience)).Content.Discard() })
	}
	all.Wait()
	if f.idle() != warm {
		t.Fatalf("%d connections are kept", f.idle())
	}
	for i, c := range []struct {
		within, aim time.Duration
		want        logic.Result
	}{{50 * time.Millisecond, time.Minute, logic.TimedOut}, {5 * time.Millisecond, time.Minute, logic.TimedOut},
		{5 * time.Millisecond, time.Minute, logic.TimedOut}, {-time.Millisecond, time.Minute, logic.NotSent},
		{-time.Millisecond, 0, logic.ConnectFailed}} { // of a write that was not taken within the aim
		a := f.attemptOn("b", c.within, time.Second)
		a.Call.LatencyObjective = c.aim
		if o := f.make(a); o.Result != c.want || o.Content != nil {
			t.Errorf("within %v: result %d", c.within, o.Result)
		}
		if n := f.idle(); n != warm-1-i || f.open() != n {
			t.Errorf("after %d of them %d of %d open connections are idle", i+1, n, f.open())
		}
	}
}

// late is an upstream whose attempts begin when a test lets them.
type late struct {
	*Upstream
	begun, let chan struct{}
}

func (h late) Execute(ctx context.Context, a *core.Attempt) {
	h.begun <- struct{}{}
	<-h.let
	h.Upstream.Execute(ctx, a)
}

// An attempt whose client has left by the time that it could be written is not written, though a connection is at hand.
func TestNothingIsSentForWhoHasLeft(t *testing.T) {
	t.Parallel()
	b := testkit.NewBackend(t, testkit.Says(testkit.ServedText))
	f := newFixture(t, b.Addr().String(), 4)
	f.make(f.attempt(testkit.Patience)).Content.Discard() // a connection is kept
	balancer, err := logic.New(logic.Settings{Balancers: 1, MaxAttempts: 1,
		Classes: []logic.Class{{Name: "pay", Idempotency: logic.NonIdempotent, LatencyObjective: time.Second, Timeout: testkit.Patience, PriorityWeight: 1}}}, 1)
	if err != nil {
		t.Fatal(err)
	}
	up := late{f.Upstream, make(chan struct{}), make(chan struct{})}
	c := core.New(core.Config{Balancer: balancer, Clock: f.Clock, Upstream: up, Log: slog.New(slog.DiscardHandler)})
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { c.Run(ctx); close(ended) }()
	c.UpdateEndpoints(core.EndpointList{Full: true, Endpoints: []core.Endpoint{{Endpoint: logic.Endpoint{ID: "b"}, Addr: b.Addr().String()}}})
	for _, leaves := range []bool{false, true} {
		call := f.attempt(testkit.Patience).Call
		call.ID, call.Deadline, call.Tenant = fmt.Sprint(leaves), f.Clock.Now()+testkit.Patience, -1
		answer := c.Submit(call)
		<-up.begun
		if leaves {
			c.Abandon(call)
			<-call.Done()
		}
		up.let <- struct{}{}
		if !leaves {
			(<-answer).Content.Discard()
		}
	}
	stop()
	<-ended
	if n := b.Requests(); n != 2 {
		t.Errorf("the backend has read %d requests", n)
	}
}

// A client that breaks off while its body goes on ends the attempt at once, also at a server that says nothing: it was not sent,
// and the server is not to blame.
func TestClientBreaksOffDuringUpload(t *testing.T) {
	t.Parallel()
	b := testkit.NewBackend(t, testkit.Silent)
	f := newFixture(t, b.Addr().String(), 4)
	broke := errors.New("the client broke off")
	a := f.attempt(testkit.Patience)
	a.Call.BodyPending = true
	a.Call.Message = &httpmsg.Message{
		Head: []byte("POST /pay HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: 9b1f03aa5c7e2d41\r\nContent-Length: 100000\r\n"),
		Body: httpmsg.Body{Buffered: []byte("body"), Length: 100000, Remainder: &httpmsg.Remainder{OnComplete: func() {},
			Upload: &httpmsg.Upload{Source: iotest.ErrReader(broke), SetReadDeadline: func(time.Time) error { return nil }, StartedAt: time.Now()}}}}
	go f.Execute(t.Context(), a.Attempt)
	select {
	case out := <-a.told:
		if out.Result != logic.NotSent {
			t.Errorf("%+v", out)
		}
	case <-time.After(testkit.Patience):
		t.Fatal("the attempt does not end")
	}
	if n := f.Pool.Stats().Closed[pool.CloseBroken]; n != 1 {
		t.Errorf("%d connections closed as broken", n)
	}
}

// A connect that fails for what the agent itself lacks says nothing of the server: the attempt was not sent, and no server is held to
// be ill for it. One that the network or the server fails says so.
func TestOwnLackIsNotTheServers(t *testing.T) {
	for errno, want := range map[syscall.Errno]logic.Result{
		syscall.EMFILE: logic.NotSent, syscall.ENFILE: logic.NotSent, syscall.ENOBUFS: logic.NotSent, syscall.ENOMEM: logic.NotSent,
		syscall.EADDRNOTAVAIL: logic.NotSent, syscall.EAGAIN: logic.NotSent, syscall.EPERM: logic.NotSent,
		syscall.ECONNREFUSED: logic.ConnectFailed, syscall.ETIMEDOUT: logic.ConnectFailed, syscall.EHOSTUNREACH: logic.ConnectFailed,
		syscall.ENETUNREACH: logic.ConnectFailed, syscall.ECONNRESET: logic.ConnectFailed,
	} {
		f := fixtureWith(t, "127.0.0.1:1", 10, time.Second, func(context.Context, string, string) (net.Conn, error) {
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", errno)}
		})
		if out := f.make(f.attempt(time.Second)); out.Result != want {
			t.Errorf("%v: %v, want %v", errno, out.Result, want)
		}
	}
}

// An answer in chunks that is whole just as it would begin to flow leaves its connection as it is: what ends late must not set a
// limit for the next request on it.
func TestFlowBeginsAsTheAnswerEnds(t *testing.T) {
	t.Parallel()
	for range 5 {
		b := testkit.NewBackend(t, func(c net.Conn, _ *http.Request, n int) bool {
			if n > 1 {
				return true // no answer: the attempt ends by its own time
			}
			io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n")
			time.Sleep(flowAfter - 300*time.Microsecond)
			io.WriteString(c, "0\r\n\r\n")
			return true
		})
		f := newFixture(t, b.Addr().String(), 10)
		first := f.make(f.attempt(time.Second))
		if first.text(t) != "fine" {
			t.Fatalf("%+v", first.Outcome)
		}
		began := time.Now()
		if out := f.make(f.attempt(300 * time.Millisecond)); out.Result != logic.TimedOut || time.Since(began) > 2*time.Second {
			t.Errorf("%v after %v", out.Result, time.Since(began))
		}
	}
}
