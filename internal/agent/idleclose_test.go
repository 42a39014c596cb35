package agent_test

import (
	"encoding/json"
	"net/http"
	"os"
	"testing"
	"time"

	"ryeweir/internal/config/operator"
	"ryeweir/internal/emulator"
	"ryeweir/internal/emulator/node"
)

// connectionMetrics holds an agent's metrics on its connections to endpoints.
type connectionMetrics struct {
	Opened int64            `json:"opened"`
	Reused int64            `json:"reused"`
	Closed map[string]int64 `json:"closed"` // by reason
}

// connectionStats reads an agent's metrics on its connections to endpoints.
func (s *simulation) connectionStats(agent int) (c connectionMetrics) {
	s.t.Helper()
	client := http.Client{Transport: &http.Transport{DialContext: s.network.Dialer("operator"), DisableKeepAlives: true}, Timeout: time.Second}
	resp, err := client.Get("http://" + s.Scenario.Agents[agent] + ":9000/v1/metrics")
	if err != nil {
		s.t.Fatal(err)
	}
	defer resp.Body.Close()
	all := struct {
		Connections any `json:"connections"`
	}{&c}
	if err := json.NewDecoder(resp.Body).Decode(&all); err != nil {
		s.t.Fatal(err)
	}
	return c
}

// Endpoints close idle connections at random, sometimes just as a request is written to one. No request may be lost, and no non-idempotent
// request may run twice. With RYEWEIR_LONG set, the test runs for 200,000 requests, and a second variant reuses every connection.
func TestRandomIdleClosesLoseAndRepeatNothing(t *testing.T) {
	length := 20.0
	variants := map[string]func(*operator.File){"defaults": nil}
	if os.Getenv("RYEWEIR_LONG") != "" {
		length = 1895
		variants["trusting"] = func(f *operator.File) { // reuses every connection
			f.Connections.NonIdempotentIdleFraction, f.Connections.SuspectAfterFailures, f.Connections.MinIdleLimit = 1, 0, seconds(10)
		}
	}
	for name, ops := range variants {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var crossed, stale, opened, reused int64
			closed := map[string]int64{}
			scenario{changeOperators: ops, minService: 0.95, verify: checkNoDuplicates,
				changeSpec: func(d *emulator.ScenarioSpec) {
					d.Length = seconds(length)
					withFaults(fault(node.IdleClose, 5, 0.5, length, 0.9))(d)
				},
				during: func(s *simulation) {
					time.Sleep(time.Duration((length - 1) * float64(time.Second)))
					for i := range s.Scenario.Agents {
						c := s.connectionStats(i)
						crossed, stale = crossed+c.Closed["crossed"], stale+c.Closed["stale"]
						opened, reused = opened+c.Opened, reused+c.Reused
						for reason, n := range c.Closed {
							closed[reason] += n
						}
					}
				}}.run(t)
			t.Logf("%d opened, %d reused, %d found closed, %d closed while a request was written; closed by reason: %v", opened, reused, stale, crossed, closed)
			if stale == 0 || reused == 0 {
				t.Error("no connection was found closed, or none was reused: the scenario did not test idle closes")
			}
		})
	}
}
