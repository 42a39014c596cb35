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

// The tests of this package use a line-based protocol that the core knows nothing about, because the core must not depend on a
// protocol. An attempt sends the id of its call. The endpoint replies "ok TEXT", or "busy" if it rejects the call without executing
// it, or it closes the connection.

// lineEndpoint is an in-process endpoint.
type lineEndpoint struct {
	// reply returns the reply to the n-th request, counted from 1. An empty reply closes the connection.
	reply func(id string, n int) string

	mu       sync.Mutex
	received []string // ids of calls
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

// requests returns the number of received requests.
func (e *lineEndpoint) requests() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.received)
}

// replyOK serves every request immediately.
func replyOK(string, int) string { return "ok fine" }

// replyOKAfter returns a reply function that serves every request after a delay.
func replyOKAfter(delay time.Duration) func(string, int) string {
	return func(string, int) string {
		time.Sleep(delay)
		return "ok fine"
	}
}

// lineUpstream is a core.Upstream for the line protocol.
type lineUpstream struct {
	clock     core.Clock
	endpoints map[string]*lineEndpoint
	serving   sync.WaitGroup // the goroutines of endpoints

	mu           sync.Mutex
	incarnations map[string]*core.Endpoint // by endpoint id
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

// mayReceive reports whether the incarnation to which the attempt was bound is still current and ready.
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
	conn, endpointConn := net.Pipe()
	defer conn.Close()
	u.serving.Go(func() { u.endpoints[attempt.Endpoint].serve(endpointConn) })
	conn.SetDeadline(u.clock.At(attempt.Deadline()))
	fmt.Fprintln(conn, attempt.Call.Message)
	line, err := bufio.NewReader(conn).ReadString('\n')
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

// fixture is a running core with a lineUpstream, in the fake time of synctest.
type fixture struct {
	*core.Core
	clock  core.Clock
	lastID int
}

// The classes of the fixture's settings.
const (
	readClass = iota // idempotent
	payClass         // not idempotent
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

// withCore runs test with a running core in fake time. The upstream is a lineUpstream, or the result of wrap for it.
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

// newCall returns a call with a unique id.
func (f *fixture) newCall(class int) *core.Call {
	f.lastID++
	return f.newCallWithID(class, fmt.Sprint("c", f.lastID), classTimeout)
}

// newCallWithID returns a call with the given id.
func (f *fixture) newCallWithID(class int, id string, timeout time.Duration) *core.Call {
	return &core.Call{ID: id, Class: class, Tenant: -1, Timeout: timeout, Deadline: f.clock.Now() + timeout, Message: id}
}
