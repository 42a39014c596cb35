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

// During a slow dial the endpoint drains, is removed, restarts or moves, the deadline passes, or the time passes after which the
// endpoints may have forgotten the idempotency key. Nothing may be written.
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
			if f.sendAllowed(attempt.Attempt, attempt.Target.(*pool.Endpoint)) || backend.Requests() != before {
				t.Error("the request was sent, or the check of invariant.Send would have allowed it")
			}
		})
	}
}

func TestRequestIsForwardedUnchanged(t *testing.T) {
	backend := testkit.NewBackend(t, testkit.RespondWith(testkit.OKResponse))
	f := newFixture(t, backend.Addr().String(), 100)
	f.execute(f.attempt(1500 * time.Millisecond))
	if backend.Requests() != 1 {
		t.Fatal("the request did not arrive")
	}
	request := backend.Seen[0]
	timeout, err := time.ParseDuration(request.Header.Get("X-Timeout") + "s") // the header's value 1234u with an s appended is the Go duration 1234us
	if err != nil || timeout > 1500*time.Millisecond {
		t.Errorf("X-Timeout %q: %v", request.Header.Get("X-Timeout"), err)
	}
	if request.Method != http.MethodPost || request.RequestURI != "/refund-record" || request.Header.Get("Idempotency-Key") != "k" ||
		request.Header.Get("X-Request-ID") != "9b1f03aa5c7e2d41" || backend.Bodies[0] != "body" || request.Host != "origin.svc" {
		t.Errorf("%s %s %v %q", request.Method, request.RequestURI, request.Header, backend.Bodies[0])
	}
}

// An endpoint starts to drain during the dial. The connection opens, but nothing may be written.
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
		t.Errorf("result %v, %d requests received, %d connections still open", out.Result, backend.Requests(), f.openConnections())
	}
}

// delayedUpstream is an Upstream whose attempts do not start until the test lets them proceed.
type delayedUpstream struct {
	*Upstream
	started, proceed chan struct{}
}

func (u delayedUpstream) Execute(ctx context.Context, attempt *core.Attempt) {
	u.started <- struct{}{}
	<-u.proceed
	u.Upstream.Execute(ctx, attempt)
}

// A client disconnects between the balancer's decision and the write. Nothing may be written, although a connection is idle.
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
		t.Errorf("the endpoint received %d requests, want 2", n)
	}
}

// A client aborts its upload to an endpoint that does not answer. The attempt must end at once as not sent, which is no evidence
// against the endpoint.
func TestClientAbortDuringUploadEndsTheAttempt(t *testing.T) {
	t.Parallel()
	backend := testkit.NewBackend(t, testkit.NeverRespond)
	f := newFixture(t, backend.Addr().String(), 4)
	errClientLeft := errors.New("the client aborted the upload")
	attempt := f.attempt(testkit.WaitTimeout)
	attempt.Call.BodyPending = true
	attempt.Call.Message = &httpmsg.Message{
		Head: []byte("POST /pay HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: 9b1f03aa5c7e2d41\r\nContent-Length: 100000\r\n"),
		Body: httpmsg.Body{Buffered: []byte("body"), Length: 100000, Remainder: &httpmsg.Remainder{OnComplete: func() error { return nil },
			Upload: &httpmsg.Upload{Source: iotest.ErrReader(errClientLeft), SetReadDeadline: func(time.Time) error { return nil }}}}}
	go f.Execute(t.Context(), attempt.Attempt)
	select {
	case out := <-attempt.reported:
		if out.Result != logic.NotSent {
			t.Errorf("%+v", out)
		}
	case <-time.After(testkit.WaitTimeout):
		t.Fatal("the attempt did not end")
	}
	if n := f.Pool.Stats().Closed[pool.CloseBroken]; n != 1 {
		t.Errorf("%d connections closed as broken, want 1", n)
	}
}
