package budget

import (
	"testing"
	"time"
)

// An agent is overloaded itself. It must admit less meanwhile, and everything once the overload has ended, even if it had nothing to send
// during the overload, so that no outcome could raise its rate.
func TestSelfOverloadLowersRateUntilItEnds(t *testing.T) {
	f := newFleet(t, 800, 400)
	b := f.agents[0]
	f.run(5 * time.Second)
	before := b.Stats().AllowedRate
	for range 12 {
		f.run(250 * ms)
		b.SetSelfOverloaded(f.now, true)
	}
	if stats := b.Stats(); stats.AllowedRate > before/2 || stats.SelfOverloads != 12 || stats.Shed == 0 {
		t.Errorf("rate %.0f before the overload, stats during it %+v", before, stats)
	}
	f.demand[0] = 0
	for range 100 {
		f.run(250 * ms)
		b.SetSelfOverloaded(f.now, true)
	}
	for range 25 {
		f.run(250 * ms)
		b.SetSelfOverloaded(f.now, false)
	}
	f.demand[0] = 4
	f.reset()
	f.run(10 * time.Second)
	if f.admitted[0] < f.arrived[0] {
		t.Errorf("%g of %g requests admitted after the overload of the agent", f.admitted[0], f.arrived[0])
	}
}
