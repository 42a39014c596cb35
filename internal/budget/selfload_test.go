package budget

import (
	"testing"
	"time"
)

// An agent has more to do than it can. It admits less, and all again as soon as it can: also when it had nothing to send
// meanwhile, so that no outcome could raise its rate.
func TestSelfOverloadLowersRateUntilItEnds(t *testing.T) {
	f := newFleet(t, 800, 400)
	b := f.agents[0]
	f.run(5 * time.Second)
	before := b.Stats().AllowedRate
	for range 12 {
		f.run(250 * ms)
		b.SetSelfOverloaded(f.now, true)
	}
	if fig := b.Stats(); fig.AllowedRate > before/2 || fig.SelfOverloads != 12 || fig.Shed == 0 {
		t.Errorf("rate %.0f before, %+v", before, fig)
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
		t.Errorf("%g of %g admitted after its overload", f.admitted[0], f.arrived[0])
	}
}
