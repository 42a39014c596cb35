package core_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"ryeweir/internal/core"
	"ryeweir/logic"
)

// stubUpstream executes attempts by a function, which may violate the contract of core.Upstream.
type stubUpstream struct {
	core.Upstream
	execute func(ctx context.Context, attempt *core.Attempt)
}

func (u stubUpstream) Execute(ctx context.Context, attempt *core.Attempt) { u.execute(ctx, attempt) }

// countedContent counts the calls of Discard.
type countedContent struct{ discards *atomic.Int64 }

func (c countedContent) Discard() { c.discards.Add(1) }

// An upstream reports two outcomes, or none, or none in time, and a frontend submits a call twice. Each violation is counted once, and
// its effect is limited: the call gets one answer, a request that may have been executed is not sent again, and the id is free
// afterwards.
func TestContractViolationsAreCountedAndContained(t *testing.T) {
	served := outcome(logic.OK)
	served.Content = lineContent("fine")
	var discards atomic.Int64
	for name, c := range map[string]struct {
		execute func(ctx context.Context, attempt *core.Attempt)
		want    core.AnswerKind
		count   func(*core.ContractViolations) int64
	}{
		"two outcomes": {
			func(_ context.Context, attempt *core.Attempt) {
				attempt.Report(served)
				second := outcome(logic.Reset)
				second.Content = countedContent{&discards}
				attempt.Report(second)
			},
			core.Served,
			func(v *core.ContractViolations) int64 { return v.ReportedTwice.Load() },
		},
		"no outcome": {
			func(context.Context, *core.Attempt) {},
			core.Failed,
			func(v *core.ContractViolations) int64 { return v.Unreported.Load() },
		},
		"no outcome in time": {
			func(ctx context.Context, attempt *core.Attempt) {
				attempt.Begin()
				<-ctx.Done()
			},
			core.Failed,
			func(v *core.ContractViolations) int64 { return v.Overdue.Load() },
		},
	} {
		t.Run(name, func(t *testing.T) {
			var attempts atomic.Int64
			wrap := func(u *lineUpstream) core.Upstream {
				return stubUpstream{u, func(ctx context.Context, attempt *core.Attempt) {
					attempts.Add(1)
					c.execute(ctx, attempt)
				}}
			}
			withCore(t, map[string]*lineEndpoint{"a": {reply: replyOK}, "b": {reply: replyOK}}, wrap, func(t *testing.T, f *fixture) {
				call := f.newCall(payClass)
				answer := f.Submit(call)
				if a := <-answer; a.Kind != c.want {
					t.Errorf("answer kind %d, want %d", a.Kind, c.want)
				}
				if f.Submit(call) != nil || f.ContractViolations().Resubmitted.Load() != 1 {
					t.Error("submitting a call twice was accepted, or not counted once")
				}
				time.Sleep(5 * time.Second)
				if n := c.count(f.ContractViolations()); n != 1 || attempts.Load() != 1 || len(answer) != 0 {
					t.Errorf("counted %d violations, %d attempts, %d further answers, want 1, 1 and 0", n, attempts.Load(), len(answer))
				}
				<-f.Submit(f.newCallWithID(payClass, call.ID, classTimeout)) // the id is free again
				if n := attempts.Load(); n != 2 {
					t.Errorf("%d attempts, want 2", n)
				}
			})
		})
	}
	if n := discards.Load(); n != 2 { // of the first call and of the second call with the same id
		t.Errorf("the content of %d second outcomes was discarded, want 2", n)
	}
}

// A frontend stops waiting without calling Abandon. The core discards the answer, which may hold a connection to an endpoint.
func TestAnswerThatNoFrontendReceivesIsDiscarded(t *testing.T) {
	var discards atomic.Int64
	wrap := func(u *lineUpstream) core.Upstream {
		return stubUpstream{u, func(_ context.Context, attempt *core.Attempt) {
			served := outcome(logic.OK)
			served.Content = countedContent{&discards}
			attempt.Report(served)
		}}
	}
	withCore(t, map[string]*lineEndpoint{"a": {reply: replyOK}}, wrap, func(t *testing.T, f *fixture) {
		f.Submit(f.newCall(readClass))
		uploading := f.newCall(readClass)
		uploading.BodyPending, uploading.Deadline = true, 0
		f.Submit(uploading)
		time.Sleep(5 * time.Second)
		if n := f.ContractViolations().Unread.Load(); n != 2 || discards.Load() != 2 {
			t.Errorf("counted %d unread answers, discarded %d, want 2 and 2", n, discards.Load())
		}
	})
}
