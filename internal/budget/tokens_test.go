package budget

import (
	"testing"
	"time"
)

// Retries are a fixed share of admitted requests, and the agent's part of the fleet's rate over time; no more is saved than a second
// of that.
func TestRetriesAreBoundedByRatioAndFleetRate(t *testing.T) {
	b := newBudget(t, func(s *Settings) { s.FleetRetryRate, s.Agents = 300, 300 })
	now := time.Second
	retries := 0
	for range 1000 {
		b.Admit(now, 1)
		b.AttemptEnded(now, Outcome{})
		for b.AllowRetry(now) {
			retries++
		}
		now += 100 * ms
	}
	// 1000 admitted requests at 0.1, 100 s of a part of 1 a second, and the two saved at the start
	if retries < 195 || retries > 204 {
		t.Errorf("%d retries", retries)
	}
	if f := b.Stats(); f.RetriesDenied < 1000 {
		t.Errorf("%+v", f)
	}
	if b.AllowRetry(now + time.Hour); b.retries.tokens > b.retryCapacity() {
		t.Errorf("saved %.1f", b.retries.tokens)
	}
}

// Health checks stay under their share of admitted requests.
func TestHealthChecksAreBoundedByRatio(t *testing.T) {
	b := newBudget(t, nil)
	checks, admitted := 0, 0
	for i := range 10000 {
		if b.Admit(time.Second+time.Duration(i)*10*ms, 1).Admit {
			admitted++
		}
		if b.AllowHealthCheck() {
			checks++
		}
	}
	if checks > admitted/100+1 || checks < admitted/100-2 {
		t.Errorf("%d health checks for %d admitted requests", checks, admitted)
	}
}
