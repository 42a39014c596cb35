package agent

import (
	"bufio"
	"net/http"
	"testing"

	"ryeweir/internal/testkit"
)

// Operators drain an agent without ending its process. During the drain the agent reports that it is not ready, closes idle connections,
// closes other connections with their next answer, and still serves clients that connect. When it is activated, it serves as before.
func TestOperatorsDrainAndActivate(t *testing.T) {
	t.Parallel()
	b := testkit.NewBackend(t, testkit.RespondWith(testkit.OKResponse))
	a := startAgent(t, testkit.NewDiscovery(t, 1, testkit.EndpointJSON("s-1", b.Addr().String(), "Ready", 0)), 0)
	idle := a.dial(t)
	r := a.newRequest(t, http.MethodGet, "/form-check", "")
	r.Write(idle)
	if resp, err := http.ReadResponse(bufio.NewReader(idle), r); err != nil || resp.Close {
		t.Fatal("before the drain", err)
	}
	if status := a.callOperator(t, http.MethodPost, "/v1/agent/drain"); status != http.StatusOK {
		t.Fatal(status)
	}
	if got := a.status(t, "/ready"); got == http.StatusOK {
		t.Error("/ready still reports that the agent is ready")
	}
	if got := a.callOperator(t, http.MethodGet, "/v1/readyz"); got == http.StatusOK {
		t.Error("/v1/readyz still reports that the agent is ready")
	}
	if got := send(t, a.newRequest(t, http.MethodGet, "/form-check", "")); got.status != http.StatusOK || !got.close {
		t.Errorf("request on a new connection during the drain: %+v", got)
	}
	readUntilClosed(t, idle)
	a.callOperator(t, http.MethodPost, "/v1/agent/activate")
	if got := a.status(t, "/ready"); got != http.StatusOK {
		t.Errorf("/ready after the drain: status %d", got)
	}
	if got := send(t, a.newRequest(t, http.MethodGet, "/form-check", "")); got.status != http.StatusOK || got.close {
		t.Errorf("request after the drain: %+v", got)
	}
	select {
	case err := <-a.done:
		t.Error("a drain ended the process:", err)
	default:
	}
}
