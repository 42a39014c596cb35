package invariant

import (
	"testing"
	"time"
)

// Each check allows an operation that breaks no rule, and otherwise names the rule.
func TestChecksDenyOperationsThatBreakARule(t *testing.T) {
	const second = time.Second
	send := Send{Now: second, WriteDeadline: 2 * second, EndpointAcceptsNew: true}
	with := func(change func(*Send)) Send {
		changed := send
		change(&changed)
		return changed
	}
	for name, c := range map[string]struct {
		got  CheckResult
		want CheckResult
	}{
		"send":                                       {send.Check(), allowed},
		"send after the client disconnected":         {with(func(s *Send) { s.RequestFinished = true }).Check(), denied(SendAfterRequestFinished)},
		"send to a draining endpoint":                {with(func(s *Send) { s.EndpointAcceptsNew = false }).Check(), denied(SendToRetiredEndpoint)},
		"send at the deadline":                       {with(func(s *Send) { s.Now = s.WriteDeadline }).Check(), denied(SendAfterDeadline)},
		"first attempt, not idempotent":              {Repeat{Now: second}.Check(), allowed},
		"repeat, never executed, not idempotent":     {Repeat{Now: second, FirstSentAt: 1}.Check(), allowed},
		"repeat, may have been executed":             {Repeat{Now: second, MayHaveExecuted: true, FirstSentAt: 1}.Check(), denied(RepeatOfNonIdempotent)},
		"repeat, may have been executed, idempotent": {Repeat{Now: second, MayHaveExecuted: true, FirstSentAt: 1, Idempotent: true}.Check(), allowed},
		"repeat within the idempotency window":       {Repeat{Now: second, MayHaveExecuted: true, FirstSentAt: 1, IdempotencyWindow: second}.Check(), allowed},
		"repeat after the idempotency window":        {Repeat{Now: second + 1, MayHaveExecuted: true, FirstSentAt: 1, IdempotencyWindow: second}.Check(), denied(RepeatAfterIdempotencyWindow)},
		"close without a pending request":            {Close{}.Check(), allowed},
		"close with a pending request":               {Close{RequestPending: true}.Check(), denied(ClosedUnanswered)},
		"close after the client disconnected":        {Close{RequestPending: true, ClientLeft: true}.Check(), allowed},
		"close after a truncated answer":             {Close{RequestPending: true, AnswerTruncated: true}.Check(), allowed},
	} {
		if c.got != c.want {
			t.Errorf("%s: %+v, want %+v", name, c.got, c.want)
		}
	}
}
