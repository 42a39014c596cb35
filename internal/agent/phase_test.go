package agent

import (
	"bufio"
	"net/http"
	"testing"
	"time"
)

// An operator's drain says no at once, closes connections as they are answered or stand idle, still serves who comes,
// and ends when the operator says so.
func TestOperatorsDrain(t *testing.T) {
	t.Parallel()
	b := newBackend(t, says(servedText))
	a := start(t, newFakeDiscovery(t, 1, entryText("s-1", b.Addr().String(), "Ready", 0)), 0)
	idle := a.dial(t)
	r := a.newRequest(t, http.MethodGet, "/form-check", "")
	r.Write(idle)
	if resp, err := http.ReadResponse(bufio.NewReader(idle), r); err != nil || resp.Close {
		t.Fatal("before the drain", err)
	}
	if status := a.operator(t, http.MethodPost, "/v1/agent/drain"); status != http.StatusOK {
		t.Fatal(status)
	}
	if got := a.status(t, "/ready"); got == http.StatusOK {
		t.Error("still ready")
	}
	if got := a.operator(t, http.MethodGet, "/v1/readyz"); got == http.StatusOK {
		t.Error("still ready to operators")
	}
	if got := send(t, a.newRequest(t, http.MethodGet, "/form-check", "")); got.status != http.StatusOK || !got.close {
		t.Errorf("a late client: %+v", got)
	}
	ends(t, idle)
	a.operator(t, http.MethodPost, "/v1/agent/activate")
	if got := a.status(t, "/ready"); got != http.StatusOK {
		t.Errorf("after the drain: %d", got)
	}
	if got := send(t, a.newRequest(t, http.MethodGet, "/form-check", "")); got.status != http.StatusOK || got.close {
		t.Errorf("after the drain: %+v", got)
	}
	select {
	case err := <-a.done:
		t.Error("a drain ended the process:", err)
	default:
	}
}

// What is idle goes, with a sweep, well before the 4 s after which it breaks a rule.
func TestDrainTimes(t *testing.T) {
	if drainIdle+drainSweep > 2*time.Second {
		t.Errorf("idle for %v", drainIdle+drainSweep)
	}
}

// The end is final: no operator brings back a process that is about to go.
func TestPhases(t *testing.T) {
	var p phase
	for _, to := range []int32{draining, draining, serving, draining} {
		if err := p.move(to); err != nil || p.leaving() != (to == draining) {
			t.Errorf("to %d: %v", to, err)
		}
	}
	p.end()
	if p.move(serving) == nil || !p.leaving() {
		t.Error("back from the end")
	}
}
