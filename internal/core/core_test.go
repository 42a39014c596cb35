package core_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"ryeweir/internal/core"
	"ryeweir/logic"
)

// The first attempt fails in a way that leaves open whether the request ran, or proves that it did not. Only a request that did
// not run, or that may run twice, reaches a second endpoint.
func TestRetryDependsOnIdempotencyAndResult(t *testing.T) {
	for name, c := range map[string]struct {
		class    int
		first    string // reply
		want     core.AnswerKind
		requests int
	}{
		"rejected, not idempotent":        {payClass, "busy", core.Served, 2},
		"connection lost, idempotent":     {readClass, "", core.Served, 2},
		"connection lost, not idempotent": {payClass, "", core.Failed, 1},
	} {
		t.Run(name, func(t *testing.T) {
			var total atomic.Int64 // requests at both endpoints
			reply := func(string, int) string {
				if total.Add(1) == 1 {
					return c.first
				}
				return "ok fine"
			}
			endpoints := map[string]*lineEndpoint{"a": {reply: reply}, "b": {reply: reply}}
			withCore(t, endpoints, nil, func(t *testing.T, f *fixture) {
				answer := <-f.Submit(f.newCall(c.class))
				if answer.Kind != c.want {
					t.Errorf("verdict %d, want %d", answer.Kind, c.want)
				}
				if answer.Kind == core.Served && answer.Content != lineContent("fine") {
					t.Errorf("content %q", answer.Content)
				}
			})
			if got := endpoints["a"].requests() + endpoints["b"].requests(); got != c.requests {
				t.Errorf("%d requests, want %d", got, c.requests)
			}
		})
	}
}

// One endpoint begins to drain and another restarts at the same time. From the notification on, the draining one receives
// nothing, and the restarted one, which is in slow start, less than the one that is warm.
func TestDrainingEndpointReceivesNothingAndRestartedOneWarmsUp(t *testing.T) {
	endpoints := map[string]*lineEndpoint{}
	for _, id := range []string{"a", "b", "c"} {
		endpoints[id] = &lineEndpoint{reply: replyOKAfter(10 * time.Millisecond)}
	}
	withCore(t, endpoints, nil, func(t *testing.T, f *fixture) {
		f.submitAll(t, 300)
		f.UpdateEndpoints(core.EndpointList{Endpoints: []core.Endpoint{{Endpoint: logic.Endpoint{ID: "a", State: logic.Draining}}}})
		synctest.Wait()
		beforeA := endpoints["a"].requests()
		f.UpdateEndpoints(core.EndpointList{Endpoints: []core.Endpoint{{Endpoint: logic.Endpoint{ID: "c", StartedAt: f.clock.Now()}}}})
		synctest.Wait()
		beforeB, beforeC := endpoints["b"].requests(), endpoints["c"].requests()
		f.submitAll(t, 300)
		if endpoints["a"].requests() != beforeA {
			t.Error("a draining endpoint received new requests")
		}
		warm, warmingUp := endpoints["b"].requests()-beforeB, endpoints["c"].requests()-beforeC
		if warmingUp == 0 || warmingUp*2 > warm {
			t.Errorf("the restarted endpoint received %d requests, the warm one %d", warmingUp, warm)
		}
	})
}

// submitAll submits calls a millisecond apart, waits for their answers, and checks that all are served.
func (f *fixture) submitAll(t *testing.T, calls int) {
	t.Helper()
	var pending sync.WaitGroup
	for range calls {
		call := f.newCall(readClass)
		pending.Go(func() {
			if answer := <-f.Submit(call); answer.Kind != core.Served {
				t.Errorf("verdict %d", answer.Kind)
			}
		})
		time.Sleep(time.Millisecond)
	}
	pending.Wait()
}

// A client leaves while its request is at an endpoint, and the same id is used again. Until the outcome is known it could not
// be matched to one of the two, so that the second call is a duplicate. After that the id is free. The first client gets no answer.
func TestAbandonedCallOccupiesItsIDUntilItsAttemptEnds(t *testing.T) {
	endpoints := map[string]*lineEndpoint{"a": {reply: replyOKAfter(100 * time.Millisecond)}}
	withCore(t, endpoints, nil, func(t *testing.T, f *fixture) {
		first := f.newCall(payClass)
		answer := f.Submit(first)
		time.Sleep(10 * time.Millisecond)
		f.Abandon(first)
		synctest.Wait()
		second := f.newCallWithID(payClass, first.ID, classTimeout)
		if a := <-f.Submit(second); a.Kind != core.Duplicate {
			t.Errorf("under the same id meanwhile: verdict %d", a.Kind)
		}
		time.Sleep(time.Second)
		if len(answer) != 0 || endpoints["a"].requests() != 1 {
			t.Errorf("%d answers, %d requests", len(answer), endpoints["a"].requests())
		}
		third := f.newCallWithID(payClass, first.ID, time.Second)
		if a := <-f.Submit(third); a.Kind != core.Served {
			t.Errorf("after that: verdict %d", a.Kind)
		}
	})
}

// A front's buffer must not be reused while an attempt still reads it, and must not be lost. It is released once, when the last
// attempt has ended: not when the client leaves, nor by the answer alone.
func TestMessageIsReleasedOnceAfterTheLastAttempt(t *testing.T) {
	slow := map[string]*lineEndpoint{"a": {reply: replyOKAfter(100 * time.Millisecond)}}
	withCore(t, slow, nil, func(t *testing.T, f *fixture) {
		var released [3]atomic.Int64
		counted := func(i int, call *core.Call) *core.Call {
			call.Release = func() { released[i].Add(1) }
			return call
		}
		check := func(when string, want [3]int64) {
			t.Helper()
			synctest.Wait()
			for i := range released {
				if n := released[i].Load(); n != want[i] {
					t.Errorf("%s: message %d is released %d times, want %d", when, i, n, want[i])
				}
			}
		}
		abandoned := counted(0, f.newCall(payClass))
		f.Submit(abandoned)
		check("at the endpoint", [3]int64{})
		f.Abandon(abandoned)
		check("its client has left", [3]int64{})
		duplicate := counted(1, f.newCallWithID(payClass, abandoned.ID, classTimeout))
		if a := <-f.Submit(duplicate); a.Kind != core.Duplicate {
			t.Errorf("verdict %d", a.Kind)
		}
		check("a duplicate was answered", [3]int64{0, 1, 0})
		time.Sleep(200 * time.Millisecond)
		check("the endpoint has answered", [3]int64{1, 1, 0})
		<-f.Submit(counted(2, f.newCall(payClass)))
		check("a call was served", [3]int64{1, 1, 1})
	})
	closing := map[string]*lineEndpoint{"a": {reply: func(string, int) string { return "" }}}
	withCore(t, closing, nil, func(t *testing.T, f *fixture) {
		var released atomic.Int64
		call := f.newCall(payClass)
		call.Release = func() { released.Add(1) }
		if a := <-f.Submit(call); a.Kind != core.Failed {
			t.Errorf("verdict %d", a.Kind)
		}
		if synctest.Wait(); released.Load() != 1 {
			t.Errorf("released %d times after a failure", released.Load())
		}
	})
}

// A call ends while its body is pending, and another call under the same id starts. The end of the first body is reported late:
// it must not give the second, whose body is still arriving, a deadline.
func TestLateEndOfBodyDoesNotAffectNextCallUnderTheSameID(t *testing.T) {
	attempts := 0
	wrap := func(u *lineUpstream) core.Upstream {
		return stubUpstream{u, func(ctx context.Context, attempt *core.Attempt) {
			if attempts++; attempts == 1 {
				failed := outcome(logic.ConnectFailed)
				failed.NotReplayable = true
				attempt.Report(failed)
				return
			}
			<-ctx.Done()
			attempt.Report(outcome(logic.Reset))
		}}
	}
	withCore(t, map[string]*lineEndpoint{"a": {reply: replyOK}}, wrap, func(t *testing.T, f *fixture) {
		uploading := func() *core.Call {
			return &core.Call{ID: "same", Class: payClass, Tenant: -1, Timeout: time.Second, BodyPending: true}
		}
		first, second := uploading(), uploading()
		if a := <-f.Submit(first); a.Kind != core.Rejected {
			t.Fatalf("verdict %d", a.Kind)
		}
		answer := f.Submit(second)
		synctest.Wait()
		f.BodyReceived(first, f.clock.Now())
		time.Sleep(first.Timeout + 100*time.Millisecond) // within the time that an answer may wait for its front
		if len(answer) != 0 {
			t.Errorf("the second call, whose body is pending, ends with %+v", <-answer)
		}
		f.Abandon(second)
	})
}
