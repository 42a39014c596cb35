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

// connections are an agent's figures on connections.
func (s *stage) connections(agent int) (c struct {
	Opened int64            `json:"opened"`
	Reused int64            `json:"reused"`
	Closed map[string]int64 `json:"closed"`
}) {
	client := http.Client{Transport: &http.Transport{DialContext: s.network.Dialer("operator"), DisableKeepAlives: true}, Timeout: time.Second}
	resp, err := client.Get("http://" + s.Day.Agents[agent] + ":9000/v1/metrics")
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

// Nodes that close idle connections at random: nothing runs twice and nothing is lost, however long that goes on. With
// RYEWEIR_LONG set it goes on for 200,000 requests, beside an agent that trusts every connection it keeps.
func TestClosesAtRandom(t *testing.T) {
	length := 20.0
	arms := map[string]func(*operator.File){"defaults": nil}
	if os.Getenv("RYEWEIR_LONG") != "" {
		length = 1895
		arms["trusting"] = func(f *operator.File) {
			f.Connections.NonIdempotentIdleFraction, f.Connections.StaleAfterFailures, f.Connections.MinIdleLimit = 1, 0, sec(10)
		}
	}
	for name, ops := range arms {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var crossed, stale, opened, reused int64
			closed := map[string]int64{}
			scene{ops: ops, service: 0.95, verify: effects,
				day: func(d *emulator.DaySpec) {
					d.Length = sec(length)
					add(trouble(node.IdleClose, 5, 0.5, length, 0.9))(d)
				},
				during: func(s *stage) {
					time.Sleep(time.Duration((length - 1) * float64(time.Second)))
					for i := range s.Day.Agents {
						c := s.connections(i)
						crossed, stale = crossed+c.Closed["crossed"], stale+c.Closed["stale"]
						opened, reused = opened+c.Opened, reused+c.Reused
						for why, n := range c.Closed {
							closed[why] += n
						}
					}
				}}.play(t)
			t.Logf("%d opened, %d reused, %d found closed, %d closed as a request went out; closed by reason %v", opened, reused, stale, crossed, closed)
			if stale == 0 || reused == 0 {
				t.Error("nothing was closed, or nothing reused: the scene shows nothing")
			}
		})
	}
}
