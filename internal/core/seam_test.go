package core_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"ryeweir/internal/core"
	"ryeweir/logic"
)

// The seam is shown by a protocol of lines: a client says "class id", a server gets "id" and says "ok text", "busy" for one
// that it has not begun, or closes. Nothing of it is known to the core.

// lineServer is a stand-in server; what it says is up to say, an empty text closes the connection.
type lineServer struct {
	mu  sync.Mutex
	got []string
	at  []time.Time
	say func(id string, n int) string
}

func (s *lineServer) serve(c net.Conn) {
	defer c.Close()
	id, err := bufio.NewReader(c).ReadString('\n')
	if err != nil {
		return
	}
	s.mu.Lock()
	s.got, s.at = append(s.got, strings.TrimSpace(id)), append(s.at, time.Now())
	n := len(s.got)
	s.mu.Unlock()
	if text := s.say(strings.TrimSpace(id), n); text != "" {
		io.WriteString(c, text+"\n")
	}
}

func (s *lineServer) asked() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.got)
}

// lines is the upstream.
type lines struct {
	clock   core.Clock
	servers map[string]*lineServer
	running sync.WaitGroup
	mu      sync.Mutex
	lives   map[string]*core.Endpoint
}

func (u *lines) UpdateEndpoints(l core.EndpointList) (listed, ready int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if l.Full {
		clear(u.lives)
	}
	for _, m := range l.Endpoints {
		if u.lives[m.ID] = &m; m.State == logic.Removed {
			delete(u.lives, m.ID)
		}
	}
	for _, m := range u.lives {
		if m.State == logic.Ready {
			ready++
		}
	}
	return len(u.lives), ready
}

func (u *lines) Bind(server string) any {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.lives[server]
}

func (u *lines) Execute(ctx context.Context, a *core.Attempt) {
	u.mu.Lock()
	m, _ := a.Target.(*core.Endpoint)
	well := m != nil && u.lives[m.ID] == m && m.State == logic.Ready
	u.mu.Unlock()
	out := core.Outcome{Result: logic.NotSent, LoadReport: logic.NoLoadReport}
	if !well || a.Call.Finished() {
		a.Report(out)
		return
	}
	near, far := net.Pipe()
	defer near.Close()
	u.running.Go(func() { u.servers[a.Endpoint].serve(far) })
	near.SetDeadline(u.clock.At(a.Deadline()))
	fmt.Fprintln(near, a.Call.Message)
	text, err := bufio.NewReader(near).ReadString('\n')
	kind, rest, _ := strings.Cut(strings.TrimSpace(text), " ")
	switch {
	case err != nil && u.clock.Now() >= a.Deadline():
		out.Result = logic.TimedOut
	case err != nil:
		out.Result = logic.Reset
	case kind == "busy":
		out.Result = logic.Rejected
	default:
		out.Result, out.Content = logic.OK, lineContent(rest)
	}
	a.Report(out)
}

type lineContent string

func (lineContent) Discard() {}

// stage is a core between a front and an upstream of lines.
type stage struct {
	*core.Core
	t       *testing.T
	up      *lines
	clock   core.Clock
	classes []logic.Class
	ids     int
}

func settings() logic.Settings {
	return logic.Settings{Balancers: 1, TimerResolution: time.Millisecond, MaxAttempts: 4, MaxRetryAfter: time.Second, SlowStartInitialFraction: 0.2, SlowStartWindow: 10 * time.Second, SlowStartOverloadFactor: 3,
		Classes: []logic.Class{{Name: "read", Idempotency: logic.Idempotent, LatencyObjective: 100 * time.Millisecond, Timeout: 500 * time.Millisecond, PriorityWeight: 1},
			{Name: "pay", Idempotency: logic.NonIdempotent, LatencyObjective: 100 * time.Millisecond, Timeout: 500 * time.Millisecond, PriorityWeight: 5}}}
}

// play runs a core with an upstream in fake time.
func play(t *testing.T, servers map[string]*lineServer, wrap func(*lines) core.Upstream, during func(*stage)) {
	synctest.Test(t, func(t *testing.T) {
		set := settings()
		balancer, err := logic.New(set, 1)
		if err != nil {
			t.Fatal(err)
		}
		up := &lines{clock: core.NewClock(), servers: servers, lives: map[string]*core.Endpoint{}}
		var upstream core.Upstream = up
		if wrap != nil {
			upstream = wrap(up)
		}
		c := core.New(core.Config{Balancer: balancer, Clock: up.clock, Upstream: upstream, UploadTimeout: time.Minute, Log: slog.New(slog.DiscardHandler)})
		ctx, stop := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() { c.Run(ctx); close(ended) }()
		s := &stage{Core: c, t: t, up: up, clock: up.clock, classes: set.Classes}
		var all []core.Endpoint
		for id := range servers {
			all = append(all, core.Endpoint{Endpoint: logic.Endpoint{ID: id}})
		}
		c.UpdateEndpoints(core.EndpointList{Full: true, Endpoints: all})
		<-c.EndpointsKnown()
		during(s)
		stop()
		<-ended
		up.running.Wait()
	})
}

// call makes a client's line into a call.
func (s *stage) call(class int) *core.Call {
	s.ids++
	id := fmt.Sprint("c", s.ids)
	within := s.classes[class].Timeout
	return &core.Call{ID: id, Class: class, Tenant: -1, Timeout: within, Deadline: s.clock.Now() + within, Message: id}
}

// ask is a client: it says what it got.
func (s *stage) ask(class int) string {
	a := <-s.Submit(s.call(class))
	switch a.Verdict {
	case core.Served:
		return string(a.Content.(lineContent))
	case core.Rejected:
		return "refused"
	}
	return "failed"
}

func fine(string, int) string { return "ok fine" }

func TestLinesAreRetried(t *testing.T) {
	for name, c := range map[string]struct {
		class int
		first string
		want  string
		asked int
	}{
		"turned away, must not repeat": {1, "busy", "fine", 2},
		"closed, may repeat":           {0, "", "fine", 2},
		"closed, must not repeat":      {1, "", "failed", 1},
	} {
		t.Run(name, func(t *testing.T) {
			var both sync.Mutex
			n := 0
			say := func(string, int) string {
				both.Lock()
				defer both.Unlock()
				if n++; n == 1 {
					return c.first
				}
				return "ok fine"
			}
			servers := map[string]*lineServer{"a": {say: say}, "b": {say: say}}
			play(t, servers, nil, func(s *stage) {
				if got := s.ask(c.class); got != c.want {
					t.Errorf("%q, want %q", got, c.want)
				}
			})
			if asked := servers["a"].asked() + servers["b"].asked(); asked != c.asked {
				t.Errorf("asked %d times, want %d", asked, c.asked)
			}
		})
	}
}

func TestLinesOfADrainingAndAColdServer(t *testing.T) {
	servers := map[string]*lineServer{"a": {say: fine}, "b": {say: fine}, "c": {say: fine}}
	for _, s := range servers {
		s.say = func(string, int) string { time.Sleep(10 * time.Millisecond); return "ok fine" }
	}
	play(t, servers, nil, func(s *stage) {
		burst := func(n int) {
			var all sync.WaitGroup
			for range n {
				call := s.call(0)
				all.Go(func() {
					if a := <-s.Submit(call); a.Verdict != core.Served {
						t.Errorf("verdict %d", a.Verdict)
					}
				})
				time.Sleep(time.Millisecond)
			}
			all.Wait()
		}
		burst(300)
		s.UpdateEndpoints(core.EndpointList{Endpoints: []core.Endpoint{{Endpoint: logic.Endpoint{ID: "a", State: logic.Draining}}}})
		synctest.Wait()
		drained := servers["a"].asked()
		// c starts anew at the same time: it is cold.
		s.UpdateEndpoints(core.EndpointList{Endpoints: []core.Endpoint{{Endpoint: logic.Endpoint{ID: "c", StartedAt: s.clock.Now()}}}})
		synctest.Wait()
		b, c := servers["b"].asked(), servers["c"].asked()
		burst(300)
		if servers["a"].asked() != drained {
			t.Error("something new went to a draining server")
		}
		if b, c := servers["b"].asked()-b, servers["c"].asked()-c; c == 0 || c*2 > b {
			t.Errorf("a cold server got %d, a warm one %d", c, b)
		}
	})
}

// A client that leaves gets nothing, its attempt's outcome still counts, and its id is free after that.
func TestClientOfLinesLeaves(t *testing.T) {
	servers := map[string]*lineServer{"a": {say: func(string, int) string { time.Sleep(100 * time.Millisecond); return "ok fine" }}}
	play(t, servers, nil, func(s *stage) {
		call := s.call(1)
		answer := s.Submit(call)
		time.Sleep(10 * time.Millisecond)
		s.Abandon(call)
		synctest.Wait()
		again := *s.call(1)
		again.ID = call.ID
		second := core.Call{ID: call.ID, Class: 1, Tenant: -1, Timeout: again.Timeout, Deadline: again.Deadline, Message: "second"}
		if a := <-s.Submit(&second); a.Verdict != core.Duplicate {
			t.Errorf("under the same id meanwhile: verdict %d", a.Verdict)
		}
		time.Sleep(time.Second)
		if len(answer) != 0 || servers["a"].asked() != 1 {
			t.Errorf("%d answers, asked %d times", len(answer), servers["a"].asked())
		}
		third := core.Call{ID: call.ID, Class: 1, Tenant: -1, Timeout: time.Second, Deadline: s.clock.Now() + time.Second, Message: "third"}
		if a := <-s.Submit(&third); a.Verdict != core.Served {
			t.Errorf("after that: verdict %d", a.Verdict)
		}
	})
}

// What holds a call's message is given back once, when the last attempt at it is over: not as its client leaves, nor by an answer
// alone.
func TestMessageIsReleasedOnce(t *testing.T) {
	slow := map[string]*lineServer{"a": {say: func(string, int) string { time.Sleep(100 * time.Millisecond); return "ok fine" }}}
	play(t, slow, nil, func(s *stage) {
		var released [3]atomic.Int64
		holding := func(i int, id string) *core.Call {
			call := s.call(1)
			if id != "" {
				call = &core.Call{ID: id, Class: 1, Tenant: -1, Timeout: call.Timeout, Deadline: call.Deadline, Message: id}
			}
			call.Release = func() { released[i].Add(1) }
			return call
		}
		check := func(when string, want [3]int64) {
			t.Helper()
			synctest.Wait()
			for i := range released {
				if n := released[i].Load(); n != want[i] {
					t.Errorf("%s: message %d is given back %d times", when, i, n)
				}
			}
		}
		left := holding(0, "")
		s.Submit(left)
		check("at the server", [3]int64{})
		s.Abandon(left)
		check("its client has left", [3]int64{})
		if a := <-s.Submit(holding(1, left.ID)); a.Verdict != core.Duplicate {
			t.Errorf("verdict %d", a.Verdict)
		}
		check("under the same id", [3]int64{0, 1, 0})
		time.Sleep(200 * time.Millisecond)
		check("the server has answered", [3]int64{1, 1, 0})
		<-s.Submit(holding(2, ""))
		check("an answer", [3]int64{1, 1, 1})
	})
	play(t, map[string]*lineServer{"a": {say: func(string, int) string { return "" }}}, nil, func(s *stage) {
		var released atomic.Int64
		call := s.call(1)
		call.Release = func() { released.Add(1) }
		if a := <-s.Submit(call); a.Verdict != core.Failed {
			t.Errorf("verdict %d", a.Verdict)
		}
		if synctest.Wait(); released.Load() != 1 {
			t.Errorf("given back %d times after a failure", released.Load())
		}
	})
}

// The end of a message that comes late, when its call is over and another has its id, says nothing of that one.
func TestEndOfAMessageOfAnother(t *testing.T) {
	tries := 0
	wrap := func(u *lines) core.Upstream {
		return rude{u, func(ctx context.Context, a *core.Attempt) {
			if tries++; tries == 1 {
				a.Report(core.Outcome{Result: logic.ConnectFailed, LoadReport: logic.NoLoadReport, NotReplayable: true})
				return
			}
			<-ctx.Done()
			a.Report(core.Outcome{Result: logic.Reset, LoadReport: logic.NoLoadReport})
		}}
	}
	play(t, map[string]*lineServer{"a": {say: fine}}, wrap, func(s *stage) {
		partial := func() *core.Call {
			return &core.Call{ID: "same", Class: 1, Tenant: -1, Timeout: time.Second, BodyPending: true}
		}
		first, second := partial(), partial()
		if a := <-s.Submit(first); a.Verdict != core.Rejected {
			t.Fatalf("verdict %d", a.Verdict)
		}
		answer := s.Submit(second)
		synctest.Wait()
		s.BodyReceived(first, s.clock.Now())
		time.Sleep(first.Timeout + 100*time.Millisecond) // an answer that nobody takes is given up later
		if len(answer) != 0 {
			t.Errorf("the second, which still comes in, ends with %+v", <-answer)
		}
		s.Abandon(second)
	})
}

// rude is an upstream that does not keep to what it owes.
type rude struct {
	core.Upstream
	try func(ctx context.Context, a *core.Attempt)
}

func (u rude) Execute(ctx context.Context, a *core.Attempt) { u.try(ctx, a) }

// counted is content that counts how often it is given up.
type counted struct{ drops *atomic.Int64 }

func (c counted) Discard() { c.drops.Add(1) }

// What an upstream or a front does wrong is caught and counted, and the account holds: one answer each, nothing repeated.
func TestBorder(t *testing.T) {
	ok := core.Outcome{Result: logic.OK, LoadReport: logic.NoLoadReport, Content: lineContent("fine")}
	var drops atomic.Int64
	for name, c := range map[string]struct {
		try     func(ctx context.Context, a *core.Attempt)
		verdict core.Verdict
		count   func(*core.BoundaryViolations) int64
	}{
		"two outcomes": {func(_ context.Context, a *core.Attempt) {
			a.Report(ok)
			a.Report(core.Outcome{Result: logic.Reset, LoadReport: logic.NoLoadReport, Content: counted{&drops}})
		}, core.Served, func(f *core.BoundaryViolations) int64 { return f.ReportedTwice.Load() }},
		"no outcome": {func(context.Context, *core.Attempt) {}, core.Failed, func(f *core.BoundaryViolations) int64 { return f.Unreported.Load() }},
		"none in time": {func(ctx context.Context, a *core.Attempt) { a.Begin(); <-ctx.Done() }, core.Failed,
			func(f *core.BoundaryViolations) int64 { return f.Overdue.Load() }},
	} {
		t.Run(name, func(t *testing.T) {
			var tries atomic.Int64
			wrap := func(u *lines) core.Upstream {
				return rude{u, func(ctx context.Context, a *core.Attempt) { tries.Add(1); c.try(ctx, a) }}
			}
			play(t, map[string]*lineServer{"a": {say: fine}, "b": {say: fine}}, wrap, func(s *stage) {
				call := s.call(1)
				answer := s.Submit(call)
				if a := <-answer; a.Verdict != c.verdict {
					t.Errorf("verdict %d", a.Verdict)
				}
				if s.Submit(call) != nil || s.BoundaryViolations().Resubmitted.Load() != 1 {
					t.Error("handed over twice")
				}
				time.Sleep(5 * time.Second)
				if n := c.count(s.BoundaryViolations()); n != 1 || tries.Load() != 1 || len(answer) != 0 {
					t.Errorf("counted %d, %d tries, %d more answers", n, tries.Load(), len(answer))
				}
				again := s.call(1)
				again.ID = call.ID
				<-s.Submit(again) // its id is free: nothing is left of the first
				if n := tries.Load(); n != 2 {
					t.Errorf("%d tries", n)
				}
			})
		})
	}
	if n := drops.Load(); n != 2 { // of the first call and of the one after it
		t.Errorf("%d second answers were given up", n)
	}
}

// A front that gives up without a word: the answer that it does not take is given up for it.
func TestFrontGivesUp(t *testing.T) {
	var drops atomic.Int64
	wrap := func(u *lines) core.Upstream {
		return rude{u, func(_ context.Context, a *core.Attempt) {
			a.Report(core.Outcome{Result: logic.OK, LoadReport: logic.NoLoadReport, Content: counted{&drops}})
		}}
	}
	play(t, map[string]*lineServer{"a": {say: fine}}, wrap, func(s *stage) {
		s.Submit(s.call(0))
		partial := s.call(0)
		partial.BodyPending, partial.Deadline = true, 0
		s.Submit(partial)
		time.Sleep(5 * time.Second)
		if n := s.BoundaryViolations().Unread.Load(); n != 2 || drops.Load() != 2 {
			t.Errorf("counted %d, given up %d", n, drops.Load())
		}
	})
}
