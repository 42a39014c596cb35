package core_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"ryeweir/internal/core"
	"ryeweir/logic"
)

// streamingUpstream is a lineUpstream whose responses begin after a time and end only when the wait for them ends.
type streamingUpstream struct {
	*lineUpstream
	beginsAfter time.Duration
	result      logic.Result // of each attempt, once the wait has ended
}

// streamingResponse is a core.PendingResponse.
type streamingResponse struct {
	begins  time.Time
	endWait chan struct{}
}

func (r *streamingResponse) Begun() bool { return !time.Now().Before(r.begins) }
func (r *streamingResponse) EndWait()    { close(r.endWait) }

func (u *streamingUpstream) Execute(_ context.Context, attempt *core.Attempt) {
	attempt.Begin()
	response := &streamingResponse{time.Now().Add(u.beginsAfter), make(chan struct{})}
	attempt.AwaitResponse(response)
	select {
	case <-response.endWait:
		ended := outcome(u.result)
		ended.Content = lineContent("fine")
		attempt.Report(ended)
	case <-time.After(attempt.Deadline() - u.clock.Now() + 100*time.Millisecond):
		attempt.Report(outcome(logic.TimedOut))
	}
}

// Guards against a call that is failed, at its deadline or because the process ends, while an endpoint is giving its response.
func TestResponseThatHasBegunOutlastsTheWait(t *testing.T) {
	for _, c := range []struct {
		beginsAfter time.Duration
		result      logic.Result
		want        core.AnswerKind
	}{
		{0, logic.OK, core.Served},
		{classTimeout - 1, logic.OK, core.Served},
		{classTimeout + 1, logic.OK, core.Failed},
		{0, logic.Reset, core.Failed},
	} {
		for _, shutdownAfter := range []time.Duration{0, classTimeout / 2} {
			t.Run(fmt.Sprintf("begins after %v, result %v, shutdown after %v", c.beginsAfter, c.result, shutdownAfter), func(t *testing.T) {
				wrap := func(lines *lineUpstream) core.Upstream { return &streamingUpstream{lines, c.beginsAfter, c.result} }
				withCore(t, map[string]*lineEndpoint{"a": {}}, wrap, func(t *testing.T, f *fixture) {
					began := time.Now()
					end, want := classTimeout, c.want
					if shutdownAfter > 0 {
						end = shutdownAfter
						time.AfterFunc(shutdownAfter, f.Shutdown)
						if c.beginsAfter > shutdownAfter {
							want = core.Failed
						}
					}
					answer := <-f.Submit(f.newCall(payClass))
					if took := time.Since(began); answer.Kind != want || took != end {
						t.Errorf("answer kind %d after %v, want %d after %v", answer.Kind, took, want, end)
					}
					time.Sleep(time.Second) // until all attempts have ended
					if overdue := f.ContractViolations().Overdue.Load() + f.ContractViolations().ReportedTwice.Load(); overdue != 0 {
						t.Errorf("%d violations", overdue)
					}
				})
			})
		}
	}
}
