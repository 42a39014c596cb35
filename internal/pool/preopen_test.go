package pool

import (
	"testing"
	"time"
)

// An endpoint starts, and all agents of a large fleet learn of it at the same moment. Together they must not open more connections
// in advance than the settings allow, and fewer during slow start.
func TestPreopeningIsBoundedOverAllAgents(t *testing.T) {
	const agents, seconds, rate = 200, 10, 50
	for window, limit := range map[time.Duration]int{0: rate * seconds, 100 * time.Second: rate * seconds / 4} {
		opened := 0
		for seed := range uint64(agents) {
			settings := DefaultSettings(40)
			settings.PreopenRate, settings.Agents, settings.SlowStartInitialFraction, settings.SlowStartWindow = rate, agents, 0.2, window
			opened += preopenedFor(t, settings, seed, seconds*time.Second)
		}
		if opened > limit*5/4 || opened < limit/4 {
			t.Errorf("slow start window %v: %d connections opened in %d s, want %d to %d", window, opened, seconds, limit/4, limit*5/4)
		}
	}
}

// preopenedFor counts the connections that one agent opens in advance, at constant demand, to an endpoint that has just started.
func preopenedFor(t *testing.T, settings Settings, seed uint64, duration time.Duration) (opened int) {
	t.Helper()
	table := NewTable(settings, seed)
	endpoint := table.AddEndpoint(time.Second, "a", "", time.Second)
	table.SetReady(time.Second, endpoint, true)
	for now := time.Second; now < time.Second+duration; now += 50 * time.Millisecond {
		endpoint.demand.recordRequest(now)
		endpoint.demand.handshakeSeconds = 0.1
		for _, action := range append([]Action(nil), table.Maintain(now, nil)...) {
			opened++
			for _, unexpected := range table.HandshakeSucceeded(now, action.Slot) {
				t.Errorf("%+v", unexpected)
			}
			slot, _, _ := table.Acquire(now, endpoint, false)
			table.Release(now, slot, MustClose) // keeps the number of idle connections below its target
		}
	}
	return opened
}
