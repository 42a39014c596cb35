package invariant

import (
	"encoding/json"
	"log/slog"
	"strings"
	"testing"
	"time"
)

// A client disconnects, or an endpoint begins to drain, between Send.Check and the write. Monitor.Sent counts a violation only if the
// write happened after the grace period, and logs it with the id of the request.
func TestSentIsAViolationOnlyAfterGracePeriod(t *testing.T) {
	const timeLeft = time.Second
	const now = time.Second
	for name, c := range map[string]struct {
		after            Send
		stated, timeLeft time.Duration
		rule             Rule
		violations       int64
	}{
		"nothing changed":                             {Send{Now: now, EndpointAcceptsNew: true}, timeLeft, timeLeft, SendToRetiredEndpoint, 0},
		"endpoint drains within the grace period":     {Send{Now: now, RetiredAt: now - DrainGrace}, timeLeft, timeLeft, SendToRetiredEndpoint, 0},
		"endpoint drained before the grace period":    {Send{Now: now, RetiredAt: now - DrainGrace - 1}, timeLeft, timeLeft, SendToRetiredEndpoint, 1},
		"client disconnects within the grace period":  {Send{Now: now, EndpointAcceptsNew: true, RequestFinished: true, FinishedAt: now - CancellationGrace}, timeLeft, timeLeft, SendAfterRequestFinished, 0},
		"client disconnected before the grace period": {Send{Now: now, EndpointAcceptsNew: true, RequestFinished: true, FinishedAt: now - CancellationGrace - 1}, timeLeft, timeLeft, SendAfterRequestFinished, 1},
		"stated timeout within the slack":             {Send{Now: now, EndpointAcceptsNew: true}, timeLeft, timeLeft - DeadlineSlack, DeadlineOverstated, 0},
		"stated timeout beyond the slack":             {Send{Now: now, EndpointAcceptsNew: true}, timeLeft, timeLeft - DeadlineSlack - 1, DeadlineOverstated, 1},
	} {
		t.Run(name, func(t *testing.T) {
			var out strings.Builder
			m := NewMonitor(slog.New(slog.NewTextHandler(&out, nil)))
			m.Sent("4f2a", c.after, c.stated, c.timeLeft)
			if m.Count(c.rule) != c.violations || m.Total() != c.violations {
				t.Errorf("%d violations of the rule, %d in total, want %d", m.Count(c.rule), m.Total(), c.violations)
			}
			if logged := strings.Contains(out.String(), "request=4f2a"); logged != (c.violations > 0) {
				t.Errorf("the log is %q", out.String())
			}
		})
	}
}

// Operators search the metrics for the names of rules, and a count of 0 tells them that a rule is checked. The names are those of
// commit 53b3d21.
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
	if err := json.Unmarshal(data, &counts); err != nil || len(counts) != numRules {
		t.Fatalf("the JSON does not have a count for each rule: %s, %v", data, err)
	}
	for _, name := range released {
		want := int64(0)
		if name == "closed_unanswered" {
			want = 1
		}
		if count, present := counts[name]; !present || count != want {
			t.Errorf("rule %s: count %d, present %v, want %d", name, count, present, want)
		}
	}
}

// Parts of the agent that run without a monitor call methods of a nil one.
func TestNilMonitorCountsNothing(t *testing.T) {
	var none *Monitor
	none.Violated(ClosedUnanswered, "", "")
	if none.Total() != 0 || none.Count(ClosedUnanswered) != 0 {
		t.Error("a nil monitor counted something")
	}
}
