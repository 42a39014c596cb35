package http

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"testing"
	"testing/iotest"
	"time"

	"ryeweir/internal/core"
	"ryeweir/internal/httpmsg"
	"ryeweir/internal/pool"
	"ryeweir/internal/testkit"
	"ryeweir/logic"
)

// A dial takes long, and meanwhile the endpoint drains, is removed, restarts or moves, the deadline passes, or the endpoints may have
// forgotten the idempotency key. Nothing is written.
func TestNothingIsWrittenOnceTheSendIsForbidden(t *testing.T) {
	backend := testkit.NewBackend(t, testkit.RespondWith(testkit.OKResponse))
	addr := backend.Addr().String()
	for name, change := range map[string]func(f *fixture, attempt *testAttempt){
		"draining":  func(f *fixture, attempt *testAttempt) { f.listEndpoint(addr, logic.Draining, 0) },
		"removed":   func(f *fixture, attempt *testAttempt) { f.UpdateEndpoints(core.EndpointList{Full: true}) },
		"restarted": func(f *fixture, attempt *testAttempt) { f.listEndpoint(addr, logic.Ready, 7) },
		"moved":     func(f *fixture, attempt *testAttempt) { f.listEndpoint(testkit.RefusingAddr(t), logic.Ready, 0) },
		"late":      func(f *fixture, attempt *testAttempt) { *attempt = f.attemptOn(endpointID, 0, 0) },
		"forgotten": func(f *fixture, attempt *testAttempt) { *attempt = f.attemptOn(endpointID, testkit.WaitTimeout, 0) },
		"unknown": func(f *fixture, attempt *testAttempt) {
			*attempt = f.attemptOn("unknown", testkit.WaitTimeout, testkit.WaitTimeout)
		},
	} {
		t.Run(name, func(t *testing.T) {
			before := backend.Requests()
			f := newFixture(t, addr, 100)
			attempt := f.attempt(testkit.WaitTimeout)
			change(f, &attempt)
			if out := f.execute(attempt); out.Result != logic.NotSent {
				t.Errorf("result %v", out.Result)
			}
			if f.mayStillSend(attempt.Attempt, attempt.Target.(*pool.Endpoint)) || backend.Requests() != before {
				t.Error("it was sent, or would have been")
			}
		})
	}
}

func TestRequestIsForwardedUnchanged(t *testing.T) {
	backend := testkit.NewBackend(t, testkit.RespondWith(testkit.OKResponse))
	f := newFixture(t, backend.Addr().String(), 100)
	f.execute(f.attempt(1500 * time.Millisecond))
	if backend.Requests() != 1 {
		t.Fatal("nothing arrived")
	}
	request := backend.Seen[0]
	timeout, err := time.ParseDuration(request.Header.Get("X-Timeout") + "s") // 1234u and s are 1234us
	if err != nil || timeout > 1500*time.Millisecond {
		t.Errorf("X-Timeout %q: %v", request.Header.Get("X-Timeout"), err)
	}
	if request.Method != http.MethodPost || request.RequestURI != "/refund-record" || request.Header.Get("Idempotency-Key") != "k" ||
		request.Header.Get("X-Request-ID") != "9b1f03aa5c7e2d41" || backend.Bodies[0] != "body" || request.Host != "origin.svc" {
		t.Errorf("%s %s %v %q", request.Method, request.RequestURI, request.Header, backend.Bodies[0])
	}
}

// An endpoint begins to drain during the dial. Nothing is written, though the connection opens.
func TestNothingIsWrittenAfterADrainDuringTheDial(t *testing.T) {
	backend := testkit.NewBackend(t, testkit.RespondWith(testkit.OKResponse))
	addr := backend.Addr().String()
	unblock := make(chan struct{})
	dial, began := dialBlockedUntil(addr, unblock)
	f := newFixtureWithDial(t, addr, 100, testkit.WaitTimeout, dial)
	done := make(chan outcome)
	go func() { done <- f.execute(f.attempt(testkit.WaitTimeout)) }()
	<-began
	f.listEndpoint(addr, logic.Draining, 0)
	close(unblock)
	if out := <-done; out.Result != logic.NotSent || backend.Requests() != 0 || f.openConnections() != 0 {
		t.Errorf("%v with %d requests, %d connections left", out.Result, backend.Requests(), f.openConnections())
	}
}

// delayedUpstream is an upstream whose attempts wait for the test before they begin.
type delayedUpstream struct {
	*Upstream
	started, proceed chan struct{}
}

func (u delayedUpstream) Execute(ctx context.Context, attempt *core.Attempt) {
	u.started <- struct{}{}
	<-u.proceed
	u.Upstream.Execute(ctx, attempt)
}

// A client leaves between the balancer's decision and the write. Nothing is written, though a connection is idle.
func TestNothingIsWrittenAfterTheClientHasLeft(t *testing.T) {
	t.Parallel()
	backend := testkit.NewBackend(t, testkit.RespondWith(testkit.OKResponse))
	f := newFixture(t, backend.Addr().String(), 4)
	f.execute(f.attempt(testkit.WaitTimeout)).Content.Discard() // leaves an idle connection
	balancer, err := logic.New(logic.Settings{Balancers: 1, MaxAttempts: 1,
		Classes: []logic.Class{{Name: "pay", Idempotency: logic.NonIdempotent, LatencyObjective: time.Second, Timeout: testkit.WaitTimeout, PriorityWeight: 1}}}, 1)
	if err != nil {
		t.Fatal(err)
	}
	upstream := delayedUpstream{f.Upstream, make(chan struct{}), make(chan struct{})}
	c := core.New(core.Config{Balancer: balancer, Clock: f.Clock, Upstream: upstream, Log: slog.New(slog.DiscardHandler)})
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { c.Run(ctx); close(ended) }()
	c.UpdateEndpoints(core.EndpointList{Full: true, Endpoints: []core.Endpoint{{Endpoint: logic.Endpoint{ID: endpointID}, Addr: backend.Addr().String()}}})
	for _, leaves := range []bool{false, true} {
		call := f.attempt(testkit.WaitTimeout).Call
		call.ID, call.Deadline, call.Tenant = fmt.Sprint(leaves), f.Clock.Now()+testkit.WaitTimeout, -1
		answer := c.Submit(call)
		<-upstream.started
		if leaves {
			c.Abandon(call)
			<-call.Done()
		}
		upstream.proceed <- struct{}{}
		if !leaves {
			(<-answer).Content.Discard()
		}
	}
	stop()
	<-ended
	if n := backend.Requests(); n != 2 {
		t.Errorf("the endpoint has read %d requests", n)
	}
}

// A client breaks off during its upload, at an endpoint that says nothing. The attempt ends at once as not sent, which is no evidence
// against the endpoint.
func TestClientAbortDuringUploadEndsTheAttempt(t *testing.T) {
	t.Parallel()
	backend := testkit.NewBackend(t, testkit.NeverRespond)
	f := newFixture(t, backend.Addr().String(), 4)
	errClientLeft := errors.New("the client broke off")
	attempt := f.attempt(testkit.WaitTimeout)
	attempt.Call.BodyPending = true
	attempt.Call.Message = &httpmsg.Message{
		Head: []byte("POST /pay HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: 9b1f03aa5c7e2d41\r\nContent-Length: 100000\r\n"),
		Body: httpmsg.Body{Buffered: []byte("body"), Length: 100000, Remainder: &httpmsg.Remainder{OnComplete: func() {},
			Upload: &httpmsg.Upload{Source: iotest.ErrReader(errClientLeft), SetReadDeadline: func(time.Time) error { return nil }, StartedAt: time.Now()}}}}
	go f.Execute(t.Context(), attempt.Attempt)
	select {
	case out := <-attempt.reported:
		if out.Result != logic.NotSent {
			t.Errorf("%+v", out)
		}
	case <-time.After(testkit.WaitTimeout):
		t.Fatal("the attempt does not end")
	}
	if n := f.Pool.Stats().Closed[pool.CloseBroken]; n != 1 {
		t.Errorf("%d connections closed as broken", n)
	}
}
