package referee

import (
	"testing"
	"time"
)

func send(r *Referee, request Request) {
	r.RequestSent(request)
	r.RequestArrived(request.ID, "node", request.At)
}

// The requests that are open when an agent is killed fail because of the kill, which is no violation. A request that is sent after
// the next process is ready and gets no response counts as lost.
func TestRequestsOfKilledAgentAreExcused(t *testing.T) {
	r := New(DefaultRules())
	r.AgentKilled("a", 2*time.Second, 3*time.Second)
	send(r, Request{ID: "open", Agent: "a", At: time.Second})
	r.RequestEnded("open", ConnectionClosed, 0, 2*time.Second)
	if got := r.Account(); got.Lost != 0 || got.Failed != 1 {
		t.Errorf("a request open while the agent was killed: got %v, want 0 lost and 1 failed", got)
	}
	send(r, Request{ID: "later", Agent: "a", At: 4 * time.Second})
	r.RequestEnded("later", ConnectionClosed, 0, 5*time.Second)
	if got := r.Account(); got.Lost != 1 || !got.Balanced() {
		t.Errorf("a request sent after the restart: got %v, want 1 lost and a balanced account", got)
	}
}

// The grace period of a drain starts when the agent is notified. An agent that was not notified violates no rule, and neither does
// a process that was started after the notification.
func TestDrainGraceCountsFromNotification(t *testing.T) {
	rules := DefaultRules()
	grace := rules.DrainGrace + rules.TransitSlack
	r := New(rules)
	r.Notified("a", "node", false, time.Second)
	for i, c := range []struct {
		agent      string
		at         time.Duration
		violations int
		unnotified int
	}{
		{"a", time.Second + grace, 0, 0},
		{"a", time.Second + grace + 1, 1, 0},
		{"b", time.Second + grace + 1, 1, 1},
	} {
		send(r, Request{ID: string(rune('0' + i)), Agent: c.agent, At: c.at})
		if got := r.Account(); got.AfterDrain != c.violations || got.Unnotified != c.unnotified {
			t.Errorf("request %d: got %v, want after_drain %d and unheard %d", i, got, c.violations, c.unnotified)
		}
	}
	r.AgentKilled("a", 3*time.Second, 4*time.Second)
	send(r, Request{ID: "restarted", Agent: "a", At: 5 * time.Second})
	if got := r.Account(); got.AfterDrain != 1 {
		t.Errorf("a request sent after the restart: got %v, want after_drain 1", got)
	}
}

// The referee drops requests that ended long ago, so that its memory stays bounded in a long run. A request that is still retained
// can end only once.
func TestRequestsAreRetainedForConfiguredTime(t *testing.T) {
	r := New(Rules{RetainFor: time.Second, MaxViolations: 1})
	for i, id := range []string{"first", "second", "third"} {
		at := time.Duration(i) * 800 * time.Millisecond
		r.RequestSent(Request{ID: id, At: at})
		if !r.RequestEnded(id, Rejected, 0, at) || r.RequestEnded(id, Rejected, 0, at) {
			t.Errorf("%s did not end exactly once", id)
		}
	}
	if r.KnownRequest("first") || !r.KnownRequest("second") || !r.KnownRequest("third") {
		t.Errorf("retained: first %v, second %v, third %v; want false, true, true", r.KnownRequest("first"), r.KnownRequest("second"), r.KnownRequest("third"))
	}
}
