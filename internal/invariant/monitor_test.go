package invariant

import (
	"encoding/json"
	"log/slog"
	"strings"
	"testing"
	"time"
)

// A client leaves, or an endpoint begins to drain, between the check of a send and its first byte. What was sent is checked once
// more: it is a violation only if it began after the grace period, and then names the request in the log.
func TestSendIsAViolationOnlyAfterItsGrace(t *testing.T) {
	const timeLeft = time.Second
	const now = time.Second
	for name, c := range map[string]struct {
		after            Send
		stated, timeLeft time.Duration
		rule             Rule
		violations       int64
	}{
		"nothing changed":                    {Send{Now: now, EndpointAcceptsNew: true}, timeLeft, timeLeft, SendToRetiredEndpoint, 0},
		"endpoint drains within the grace":   {Send{Now: now, RetiredAt: now - DrainGrace}, timeLeft, timeLeft, SendToRetiredEndpoint, 0},
		"endpoint drained before it":         {Send{Now: now, RetiredAt: now - DrainGrace - 1}, timeLeft, timeLeft, SendToRetiredEndpoint, 1},
		"client leaves within the grace":     {Send{Now: now, EndpointAcceptsNew: true, RequestFinished: true, FinishedAt: now - CancellationGrace}, timeLeft, timeLeft, SendAfterRequestFinished, 0},
		"client left before it":              {Send{Now: now, EndpointAcceptsNew: true, RequestFinished: true, FinishedAt: now - CancellationGrace - 1}, timeLeft, timeLeft, SendAfterRequestFinished, 1},
		"deadline within the slack":          {Send{Now: now, EndpointAcceptsNew: true}, timeLeft, timeLeft - DeadlineSlack, DeadlineOverstated, 0},
		"deadline later than the client has": {Send{Now: now, EndpointAcceptsNew: true}, timeLeft, timeLeft - DeadlineSlack - 1, DeadlineOverstated, 1},
	} {
		t.Run(name, func(t *testing.T) {
			var out strings.Builder
			m := NewMonitor(slog.New(slog.NewTextHandler(&out, nil)))
			m.Sent("4f2a", c.after, c.stated, c.timeLeft)
			if m.Count(c.rule) != c.violations || m.Total() != c.violations {
				t.Errorf("%d violations of the rule, %d in all, want %d", m.Count(c.rule), m.Total(), c.violations)
			}
			if logged := strings.Contains(out.String(), "request=4f2a"); logged != (c.violations > 0) {
				t.Errorf("the log has %q", out.String())
			}
		})
	}
}

// Operators search the metrics for the rules' names, and see from counts of 0 that a rule is checked. The names are those that
// commit 53b3d21 wrote.
func TestEveryReleasedRuleIsInTheMetrics(t *testing.T) {
	released := []string{
		"send_after_client_left", "send_to_retired_server", "send_after_deadline", "deadline_overstated",
		"repeat_of_unsafe", "repeat_outside_window", "outcome_reported_twice",
		"closed_unanswered",
		"ready_without_server", "listener_ended",
	}
	m := NewMonitor(slog.New(slog.DiscardHandler))
	m.Violated(ClosedUnanswered, "4f2a", "")
	data, err := json.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	var counts map[string]int64
	if err := json.Unmarshal(data, &counts); err != nil || len(counts) != rules {
		t.Fatalf("%s, %v", data, err)
	}
	for _, name := range released {
		want := int64(0)
		if name == "closed_unanswered" {
			want = 1
		}
		if count, present := counts[name]; !present || count != want {
			t.Errorf("%s: %d, present %v, want %d", name, count, present, want)
		}
	}
}

// Parts of the agent that run without a monitor call a nil one.
func TestNilMonitorCountsNothing(t *testing.T) {
	var none *Monitor
	none.Violated(ClosedUnanswered, "", "")
	if none.Total() != 0 || none.Count(ClosedUnanswered) != 0 {
		t.Error("a nil monitor counted something")
	}
}
