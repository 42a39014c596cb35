package budget

import (
	"math"
	"slices"
	"testing"
	"time"
)

// Agents with very different traffic exchange their states. All must admit the same fraction and shed the same priorities, and states
// that are not renewed must expire.
func TestAgentsWithPeersShedAlike(t *testing.T) {
	f := newFleet(t, 800, 200, 400, 800, 1600, 5000)
	f.exchangeEvery, f.priorities = 200*ms, []float64{8, 1, 1, 1}
	f.run(20 * time.Second)
	f.reset()
	f.run(20 * time.Second)
	all := f.served + f.rejected
	fair := all / (8000 * 20)
	for i := range f.agents {
		if share := f.admitted[i] / f.arrived[i]; math.Abs(share/fair-1) > 0.25 {
			t.Errorf("agent of %g a second admits %.3f, fair is %.3f", f.demand[i], share, fair)
		}
	}
	if low := f.byPriority[1]; low.admitted/low.arrived > 0.02 {
		t.Errorf("%.3f of the lowest priority is admitted while the highest is shed", low.admitted/low.arrived)
	}
	if f.served/20/800 < 0.85 || f.rejected/all > 0.08 {
		t.Errorf("served %.3f of capacity, %.3f rejected", f.served/20/800, f.rejected/all)
	}
	// The states of peers expire.
	b := f.agents[0]
	if b.Stats().FleetRate == 0 {
		t.Error("the rates of peers are not included in the fleet rate")
	}
	b.Admit(f.now+PeerStateTTL+time.Second, 1)
	if b.Stats().FleetRate != 0 {
		t.Error("the rates of peers are included in the fleet rate after PeerStateTTL")
	}
}

// Agents with unequal rates and demand exchange states while no outcome changes their rates. The sum of the rates must stay the same: if
// each exchange lowered it, the fleet would shed ever more without any overload.
func TestExchangeKeepsSumOfRates(t *testing.T) {
	f := newFleet(t, 800, 100, 300, 600, 1200)
	f.run(10 * time.Second)
	sum := func() (s float64) {
		for _, b := range f.agents {
			s += b.Stats().OwnRate
		}
		return s
	}
	before := sum()
	for range 20 {
		var states []PeerState
		for _, b := range f.agents {
			states = append(states, b.PeerState(f.now))
		}
		for i, b := range f.agents {
			b.UpdatePeers(f.now, slices.Concat(states[:i], states[i+1:]), len(states)-1)
		}
	}
	if after := sum(); math.Abs(after/before-1) > 0.05 {
		t.Errorf("the sum of rates went from %.0f to %.0f by exchange alone", before, after)
	}
}
