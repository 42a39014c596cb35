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
	"testing"
	"testing/synctest"
	"time"

	"ryeweir/internal/core"
	"ryeweir/logic"
)

// The tests of this package use a protocol of lines, of which the core knows nothing. An endpoint receives the id of a call and
// replies "ok TEXT", or "busy" for a call that it did not begin, or closes the connection.

// lineEndpoint is an endpoint in the test's process.
type lineEndpoint struct {
	// reply returns the line for the n-th request, counted from 1; an empty one closes the connection.
	reply func(id string, n int) string

	mu       sync.Mutex
	received []string // ids
}

func (e *lineEndpoint) serve(conn net.Conn) {
	defer conn.Close()
	line, err := bufio.NewReader(conn).ReadString('\n')
	if err != nil {
		return
	}
	id := strings.TrimSpace(line)
	e.mu.Lock()
	e.received = append(e.received, id)
	n := len(e.received)
	e.mu.Unlock()
	if text := e.reply(id, n); text != "" {
		io.WriteString(conn, text+"\n")
	}
}

// requests returns how many requests arrived.
func (e *lineEndpoint) requests() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.received)
}

// replyOK is the reply of an endpoint that serves everything at once.
func replyOK(string, int) string { return "ok fine" }

// replyOKAfter returns the reply of an endpoint that serves everything after a delay.
func replyOKAfter(delay time.Duration) func(string, int) string {
	return func(string, int) string {
		time.Sleep(delay)
		return "ok fine"
	}
}

// lineUpstream is the core.Upstream of the protocol.
type lineUpstream struct {
	clock     core.Clock
	endpoints map[string]*lineEndpoint
	serving   sync.WaitGroup // goroutines of endpoints

	mu           sync.Mutex
	incarnations map[string]*core.Endpoint // by id
}

func (u *lineUpstream) UpdateEndpoints(list core.EndpointList) (listed, ready int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if list.Full {
		clear(u.incarnations)
	}
	for _, endpoint := range list.Endpoints {
		u.incarnations[endpoint.ID] = &endpoint
		if endpoint.State == logic.Removed {
			delete(u.incarnations, endpoint.ID)
		}
	}
	for _, endpoint := range u.incarnations {
		if endpoint.State == logic.Ready {
			ready++
		}
	}
	return len(u.incarnations), ready
}

func (u *lineUpstream) Bind(endpoint string) any {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.incarnations[endpoint]
}

// mayReceive reports whether the incarnation that the attempt was bound to is present and ready.
func (u *lineUpstream) mayReceive(attempt *core.Attempt) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	incarnation, _ := attempt.Target.(*core.Endpoint)
	return incarnation != nil && u.incarnations[incarnation.ID] == incarnation && incarnation.State == logic.Ready
}

func (u *lineUpstream) Execute(_ context.Context, attempt *core.Attempt) {
	if !u.mayReceive(attempt) || attempt.Call.Finished() {
		attempt.Report(outcome(logic.NotSent))
		return
	}
	near, far := net.Pipe()
	defer near.Close()
	u.serving.Go(func() { u.endpoints[attempt.Endpoint].serve(far) })
	near.SetDeadline(u.clock.At(attempt.Deadline()))
	fmt.Fprintln(near, attempt.Call.Message)
	line, err := bufio.NewReader(near).ReadString('\n')
	attempt.Report(u.parseReply(line, err, attempt.Deadline()))
}

func (u *lineUpstream) parseReply(line string, err error, deadline time.Duration) core.Outcome {
	word, text, _ := strings.Cut(strings.TrimSpace(line), " ")
	switch {
	case err != nil && u.clock.Now() >= deadline:
		return outcome(logic.TimedOut)
	case err != nil:
		return outcome(logic.Reset)
	case word == "busy":
		return outcome(logic.Rejected)
	}
	served := outcome(logic.OK)
	served.Content = lineContent(text)
	return served
}

// outcome returns an outcome without content.
func outcome(result logic.Result) core.Outcome {
	return core.Outcome{Result: result, LoadReport: logic.NoLoadReport}
}

// lineContent is the text of a reply.
type lineContent string

func (lineContent) Discard() {}

// fixture is a running core with an upstream of lines, in the fake time of synctest.
type fixture struct {
	*core.Core
	clock  core.Clock
	lastID int
}

// The classes of the fixture's settings.
const (
	readClass = iota // idempotent
	payClass         // must not run twice
)

// classTimeout is the timeout of both classes.
const classTimeout = 500 * time.Millisecond

func settings() logic.Settings {
	return logic.Settings{
		Balancers:                1,
		TimerResolution:          time.Millisecond,
		MaxAttempts:              4,
		MaxRetryAfter:            time.Second,
		SlowStartInitialFraction: 0.2,
		SlowStartWindow:          10 * time.Second,
		SlowStartOverloadFactor:  3,
		Classes: []logic.Class{
			readClass: {Name: "read", Idempotency: logic.Idempotent, LatencyObjective: 100 * time.Millisecond, Timeout: classTimeout, PriorityWeight: 1},
			payClass:  {Name: "pay", Idempotency: logic.NonIdempotent, LatencyObjective: 100 * time.Millisecond, Timeout: classTimeout, PriorityWeight: 5},
		},
	}
}

// withCore runs test on a core in fake time. The upstream is the one of lines, or what wrap makes of it.
func withCore(t *testing.T, endpoints map[string]*lineEndpoint, wrap func(*lineUpstream) core.Upstream, test func(*testing.T, *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		balancer, err := logic.New(settings(), 1)
		if err != nil {
			t.Fatal(err)
		}
		lines := &lineUpstream{clock: core.NewClock(), endpoints: endpoints, incarnations: map[string]*core.Endpoint{}}
		var upstream core.Upstream = lines
		if wrap != nil {
			upstream = wrap(lines)
		}
		c := core.New(core.Config{Balancer: balancer, Clock: lines.clock, Upstream: upstream, UploadTimeout: time.Minute, Log: slog.New(slog.DiscardHandler)})
		ctx, stop := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() {
			c.Run(ctx)
			close(ended)
		}()
		list := core.EndpointList{Full: true}
		for id := range endpoints {
			list.Endpoints = append(list.Endpoints, core.Endpoint{Endpoint: logic.Endpoint{ID: id}})
		}
		c.UpdateEndpoints(list)
		<-c.EndpointsKnown()
		test(t, &fixture{Core: c, clock: lines.clock})
		stop()
		<-ended
		lines.serving.Wait()
	})
}

// newCall returns a call with an id of its own.
func (f *fixture) newCall(class int) *core.Call {
	f.lastID++
	return f.newCallWithID(class, fmt.Sprint("c", f.lastID), classTimeout)
}

// newCallWithID returns a call under an id.
func (f *fixture) newCallWithID(class int, id string, timeout time.Duration) *core.Call {
	return &core.Call{ID: id, Class: class, Tenant: -1, Timeout: timeout, Deadline: f.clock.Now() + timeout, Message: id}
}
