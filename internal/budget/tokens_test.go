package budget

import (
	"testing"
	"time"
)

// Retries are limited to a fixed share of admitted requests plus the agent's share of the fleet's retry rate. No more than one second
// of that rate, or the minimum capacity, may accumulate.
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
	// 1000 admitted requests at 0.1 each, 100 s at a share of 1 a second, and the two tokens available at the start
	if retries < 195 || retries > 204 {
		t.Errorf("%d retries, want 195 to 204", retries)
	}
	if f := b.Stats(); f.RetriesDenied < 1000 {
		t.Errorf("%+v", f)
	}
	if b.AllowRetry(now + time.Hour); b.retries.tokens > b.retryCapacity() {
		t.Errorf("%.1f retry tokens accumulated, above the capacity", b.retries.tokens)
	}
}

// The number of health checks is limited to one per 100 admitted requests.
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
