package invariant

import (
	"encoding/json"
	"log/slog"
	"strings"
	"testing"
	"time"
)

// Each guard names the rule that an act would break, and lets pass what breaks none.
func TestGuards(t *testing.T) {
	const second = time.Second
	fine := Send{Now: second, WriteDeadline: 2 * second, EndpointAcceptsNew: true}
	change := func(f func(*Send)) Send { s := fine; f(&s); return s }
	for what, c := range map[string]struct {
		got  Verdict
		want Verdict
	}{
		"send":                               {fine.Check(), allowed},
		"send for who has left":              {change(func(s *Send) { s.RequestFinished = true }).Check(), denied(SendAfterRequestFinished)},
		"send to who drains":                 {change(func(s *Send) { s.EndpointAcceptsNew = false }).Check(), denied(SendToRetiredEndpoint)},
		"send at the deadline":               {change(func(s *Send) { s.Now = s.WriteDeadline }).Check(), denied(SendAfterDeadline)},
		"first attempt of unsafe":            {Repeat{Now: second}.Check(), allowed},
		"repeat of unsafe that never ran":    {Repeat{Now: second}.Check(), allowed},
		"repeat of unsafe that may have run": {Repeat{Now: second, MayHaveRun: true, FirstSentAt: 1}.Check(), denied(RepeatOfNonIdempotent)},
		"repeat of repeatable":               {Repeat{Now: second, MayHaveRun: true, FirstSentAt: 1, Idempotent: true}.Check(), allowed},
		"repeat in the window":               {Repeat{Now: second, MayHaveRun: true, FirstSentAt: 1, IdempotencyWindow: second}.Check(), allowed},
		"repeat after the window":            {Repeat{Now: second + 1, MayHaveRun: true, FirstSentAt: 1, IdempotencyWindow: second}.Check(), denied(RepeatAfterIdempotencyWindow)},
		"close with nothing owed":            {Close{}.Check(), allowed},
		"close over a request":               {Close{RequestPending: true}.Check(), denied(ClosedUnanswered)},
		"close behind who left":              {Close{RequestPending: true, ClientLeft: true}.Check(), allowed},
		"close of an answer that broke off":  {Close{RequestPending: true, AnswerTruncated: true}.Check(), allowed},
	} {
		if c.got != c.want {
			t.Errorf("%s: %+v, want %+v", what, c.got, c.want)
		}
	}
}

// What was sent is checked once more: a state that changed between check and write counts only past its grace.
func TestSentIsCheckedOnceMore(t *testing.T) {
	const left = time.Second
	const now = time.Second
	for what, c := range map[string]struct {
		after        Send
		stated, left time.Duration
		rule         Rule
		violations   int64
	}{
		"in order":                       {Send{Now: now, EndpointAcceptsNew: true}, left, left, SendToRetiredEndpoint, 0},
		"notified of a drain as it went": {Send{Now: now, RetiredAt: now - DrainGrace}, left, left, SendToRetiredEndpoint, 0},
		"notified of it long before":     {Send{Now: now, RetiredAt: now - DrainGrace - 1}, left, left, SendToRetiredEndpoint, 1},
		"its client left as it went":     {Send{Now: now, EndpointAcceptsNew: true, RequestFinished: true, FinishedAt: now - CancellationGrace}, left, left, SendAfterRequestFinished, 0},
		"its client left long before":    {Send{Now: now, EndpointAcceptsNew: true, RequestFinished: true, FinishedAt: now - CancellationGrace - 1}, left, left, SendAfterRequestFinished, 1},
		"held up within the slack":       {Send{Now: now, EndpointAcceptsNew: true}, left, left - DeadlineSlack, DeadlineOverstated, 0},
		"more time than is left":         {Send{Now: now, EndpointAcceptsNew: true}, left, left - DeadlineSlack - 1, DeadlineOverstated, 1},
	} {
		var out strings.Builder
		m := NewMonitor(slog.New(slog.NewTextHandler(&out, nil)))
		m.Sent("4f2a", c.after, c.stated, c.left)
		if m.Count(c.rule) != c.violations || m.Total() != c.violations {
			t.Errorf("%s: %d of the rule, %d in all", what, m.Count(c.rule), m.Total())
		}
		if logged := strings.Contains(out.String(), "request=4f2a"); logged != (c.violations > 0) {
			t.Errorf("%s: the log has %q", what, out.String())
		}
	}
}

// The counts are read by rule, those of 0 too: an operator sees that a rule is watched.
func TestCountsByRule(t *testing.T) {
	m := NewMonitor(slog.New(slog.DiscardHandler))
	m.Violated(ClosedUnanswered, "4f2a", "")
	data, err := json.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	var counts map[string]int64
	if err := json.Unmarshal(data, &counts); err != nil || len(counts) != rules || counts["closed_unanswered"] != 1 || counts["repeat_of_unsafe"] != 0 {
		t.Errorf("%s, %v", data, err)
	}
	var none *Monitor
	none.Violated(ClosedUnanswered, "", "")
	if none.Total() != 0 || none.Count(ClosedUnanswered) != 0 {
		t.Error("a nil monitor counts")
	}
}
