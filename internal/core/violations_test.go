package core_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"ryeweir/internal/core"
	"ryeweir/logic"
)

// stubUpstream carries out attempts by a function, which may break the contract of core.Upstream.
type stubUpstream struct {
	core.Upstream
	execute func(ctx context.Context, attempt *core.Attempt)
}

func (u stubUpstream) Execute(ctx context.Context, attempt *core.Attempt) { u.execute(ctx, attempt) }

// countedContent counts how often it is discarded.
type countedContent struct{ discards *atomic.Int64 }

func (c countedContent) Discard() { c.discards.Add(1) }

// An upstream reports an outcome twice, or none, or none in time; a front submits a call twice. Each is counted once, the call
// has one answer, a request that may have run is not sent again, and the id is free afterwards.
func TestViolationsOfTheBoundaryAreCountedAndContained(t *testing.T) {
	served := outcome(logic.OK)
	served.Content = lineContent("fine")
	var discards atomic.Int64
	for name, c := range map[string]struct {
		execute func(ctx context.Context, attempt *core.Attempt)
		verdict core.AnswerKind
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
				if a := <-answer; a.Kind != c.verdict {
					t.Errorf("verdict %d, want %d", a.Kind, c.verdict)
				}
				if f.Submit(call) != nil || f.ContractViolations().Resubmitted.Load() != 1 {
					t.Error("a call was accepted twice")
				}
				time.Sleep(5 * time.Second)
				if n := c.count(f.ContractViolations()); n != 1 || attempts.Load() != 1 || len(answer) != 0 {
					t.Errorf("counted %d violations, %d attempts, %d further answers", n, attempts.Load(), len(answer))
				}
				<-f.Submit(f.newCallWithID(payClass, call.ID, classTimeout)) // its id is free: nothing is left of the first
				if n := attempts.Load(); n != 2 {
					t.Errorf("%d attempts, want 2", n)
				}
			})
		})
	}
	if n := discards.Load(); n != 2 { // of the first call and of the one under the same id
		t.Errorf("%d second outcomes were discarded, want 2", n)
	}
}

// A front gives up without calling Abandon. Its answer, which may hold a connection to an endpoint, is discarded for it.
func TestAnswerThatNoFrontReceivesIsDiscarded(t *testing.T) {
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
			t.Errorf("counted %d, discarded %d, want 2 and 2", n, discards.Load())
		}
	})
}
