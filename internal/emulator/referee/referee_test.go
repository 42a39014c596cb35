package referee

import (
	"testing"
	"time"
)

func send(r *Referee, request Request) {
	r.RequestSent(request)
	r.RequestArrived(request.ID, "node", request.At)
}

// A process that is killed loses what it has open: that is the test's doing and no violation. A request that came after the agent
// was back has no such excuse.
func TestRequestsOfKilledAgentAreExcused(t *testing.T) {
	r := New(DefaultRules())
	r.AgentKilled("a", 2*time.Second, 3*time.Second)
	send(r, Request{ID: "open", Agent: "a", At: time.Second})
	r.RequestEnded("open", ConnectionClosed, 0, 2*time.Second)
	if got := r.Account(); got.Lost != 0 || got.Failed != 1 {
		t.Errorf("open while the agent was killed: %v", got)
	}
	send(r, Request{ID: "later", Agent: "a", At: 4 * time.Second})
	r.RequestEnded("later", ConnectionClosed, 0, 5*time.Second)
	if got := r.Account(); got.Lost != 1 || !got.Balanced() {
		t.Errorf("sent after the restart: %v", got)
	}
}

// The grace on drains counts from when an agent was notified. An agent that was not notified breaks no rule, and neither does its
// next process by what the one before it was notified of.
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
			t.Errorf("request %d: %v", i, got)
		}
	}
	r.AgentKilled("a", 3*time.Second, 4*time.Second)
	send(r, Request{ID: "restarted", Agent: "a", At: 5 * time.Second})
	if got := r.Account(); got.AfterDrain != 1 {
		t.Errorf("after the restart: %v", got)
	}
}

// In a long run the referee must not grow without bound, so it drops what ended long ago. What is retained still ends only once.
func TestRequestsAreRetainedForConfiguredTime(t *testing.T) {
	r := New(Rules{RetainFor: time.Second, MaxViolations: 1})
	for i, id := range []string{"first", "second", "third"} {
		at := time.Duration(i) * 800 * time.Millisecond
		r.RequestSent(Request{ID: id, At: at})
		if !r.RequestEnded(id, Rejected, 0, at) || r.RequestEnded(id, Rejected, 0, at) {
			t.Errorf("%s must end once", id)
		}
	}
	if r.KnownRequest("first") || !r.KnownRequest("second") || !r.KnownRequest("third") {
		t.Errorf("retained: %v %v %v", r.KnownRequest("first"), r.KnownRequest("second"), r.KnownRequest("third"))
	}
}
