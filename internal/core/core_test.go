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

// The result of the first attempt either proves that the request was not executed or leaves it open. A second attempt is made only
// if the request was not executed or is idempotent.
func TestRetryDependsOnIdempotencyAndResult(t *testing.T) {
	for name, c := range map[string]struct {
		class    int
		first    string // reply to the first attempt
		want     core.AnswerKind
		requests int
	}{
		"rejected, not idempotent":        {payClass, "busy", core.Served, 2},
		"connection lost, idempotent":     {readClass, "", core.Served, 2},
		"connection lost, not idempotent": {payClass, "", core.Failed, 1},
	} {
		t.Run(name, func(t *testing.T) {
			var total atomic.Int64 // requests received by both endpoints
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
					t.Errorf("answer kind %d, want %d", answer.Kind, c.want)
				}
				if answer.Kind == core.Served && answer.Content != lineContent("fine") {
					t.Errorf("content %q, want fine", answer.Content)
				}
			})
			if got := endpoints["a"].requests() + endpoints["b"].requests(); got != c.requests {
				t.Errorf("%d requests, want %d", got, c.requests)
			}
		})
	}
}

// One endpoint begins to drain and another one restarts at the same time. After the updates of the endpoint list, the draining endpoint
// receives no new requests, and the restarted one, which is in slow start, receives at most half as many as the endpoint that is warm.
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
				t.Errorf("answer kind %d, want served", answer.Kind)
			}
		})
		time.Sleep(time.Millisecond)
	}
	pending.Wait()
}

// A client disconnects while an attempt is in flight, and a second call uses the same id. Outcomes are matched to calls by id, so
// the second call could get the answer to the first; it is rejected as a duplicate. After the outcome the id is free. The first call gets
// no answer.
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
			t.Errorf("with the same id before the outcome: answer kind %d, want duplicate", a.Kind)
		}
		time.Sleep(time.Second)
		if len(answer) != 0 || endpoints["a"].requests() != 1 {
			t.Errorf("%d answers, %d requests, want 0 and 1", len(answer), endpoints["a"].requests())
		}
		third := f.newCallWithID(payClass, first.ID, time.Second)
		if a := <-f.Submit(third); a.Kind != core.Served {
			t.Errorf("with the same id after the outcome: answer kind %d, want served", a.Kind)
		}
	})
}

// The buffer of a frontend's message must not be reused while an attempt reads it, and must not leak. It is released exactly once,
// after the last attempt has ended. Neither a disconnect of the client nor the answer alone releases it.
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
					t.Errorf("%s: message %d was released %d times, want %d", when, i, n, want[i])
				}
			}
		}
		abandoned := counted(0, f.newCall(payClass))
		f.Submit(abandoned)
		check("attempt in flight", [3]int64{})
		f.Abandon(abandoned)
		check("client disconnected", [3]int64{})
		duplicate := counted(1, f.newCallWithID(payClass, abandoned.ID, classTimeout))
		if a := <-f.Submit(duplicate); a.Kind != core.Duplicate {
			t.Errorf("answer kind %d, want duplicate", a.Kind)
		}
		check("duplicate answered", [3]int64{0, 1, 0})
		time.Sleep(200 * time.Millisecond)
		check("attempt ended", [3]int64{1, 1, 0})
		<-f.Submit(counted(2, f.newCall(payClass)))
		check("call served", [3]int64{1, 1, 1})
	})
	closing := map[string]*lineEndpoint{"a": {reply: func(string, int) string { return "" }}}
	withCore(t, closing, nil, func(t *testing.T, f *fixture) {
		var released atomic.Int64
		call := f.newCall(payClass)
		call.Release = func() { released.Add(1) }
		if a := <-f.Submit(call); a.Kind != core.Failed {
			t.Errorf("answer kind %d, want failed", a.Kind)
		}
		if synctest.Wait(); released.Load() != 1 {
			t.Errorf("message was released %d times after a failure, want 1", released.Load())
		}
	})
}

// A call ends while its body is pending, and another call with the same id starts. The end of the first call's body is reported only
// then. It must not set the deadline of the second call, whose body is still arriving.
func TestLateEndOfBodyDoesNotAffectNextCallWithSameID(t *testing.T) {
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
			t.Fatalf("answer kind %d, want rejected", a.Kind)
		}
		answer := f.Submit(second)
		synctest.Wait()
		f.BodyReceived(first, f.clock.Now())
		time.Sleep(first.Timeout + 100*time.Millisecond) // shorter than the time after which an unreceived answer is discarded
		if len(answer) != 0 {
			t.Errorf("the second call, whose body is pending, was answered with %+v", <-answer)
		}
		f.Abandon(second)
	})
}
