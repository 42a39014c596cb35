package budget

import (
	"testing"
	"time"
)

// Agents that use the same endpoints and exchange no state get two and ten times the demand that the endpoints can serve. Nearly all of
// the capacity must be used, few attempts rejected, and each agent's admitted fraction within a factor of three of the fair one.
func TestAgentsWithoutPeersShareCapacity(t *testing.T) {
	for _, times := range []float64{2, 10} {
		f := newFleet(t, 800, 50*times, 100*times, 150*times, 200*times, 300*times)
		f.run(20 * time.Second)
		f.reset()
		f.run(40 * time.Second)
		sent := f.served + f.rejected
		t.Logf("%gx: served %.3f of capacity, %.3f rejected", times, f.served/40/800, f.rejected/sent)
		if f.served/40/800 < 0.85 || f.rejected/sent > 0.08 {
			t.Errorf("%gx: served %.3f of capacity, %.3f rejected; want at least 0.85 and at most 0.08", times, f.served/40/800, f.rejected/sent)
		}
		fair := sent / (f.arrived[0] + f.arrived[1] + f.arrived[2] + f.arrived[3] + f.arrived[4])
		for i := range f.agents {
			share := f.admitted[i] / f.arrived[i]
			t.Logf("agent of %g a second admits %.3f, fair is %.3f", f.demand[i], share, fair)
			if share < 0.33*fair || share > 3*fair {
				t.Errorf("agent of %g a second admits %.3f, fair is %.3f", f.demand[i], share, fair)
			}
		}
	}
}

// Demand rises to twenty times the normal one for 10 s and falls back. Before the surge nothing may be shed; two seconds after its
// end each agent must admit nine tenths of its demand again.
func TestRateRecoversWithinTwoSecondsOfSurge(t *testing.T) {
	f := newFleet(t, 800, 25, 25, 50, 100, 200)
	f.run(time.Second)
	f.reset()
	f.run(10 * time.Second)
	for i := range f.agents {
		if f.admitted[i] != f.arrived[i] {
			t.Errorf("agent of %g a second shed %g without need", f.demand[i], f.arrived[i]-f.admitted[i])
		}
	}
	calm := f.demand
	f.demand = []float64{500, 500, 1000, 2000, 4000}
	f.run(10 * time.Second)
	f.demand = calm
	f.run(2 * time.Second)
	f.reset()
	f.run(5 * time.Second)
	for i := range f.agents {
		if share := f.admitted[i] / f.arrived[i]; share < 0.9 {
			t.Errorf("after the surge the agent of %g a second admits %.3f", f.demand[i], share)
		}
	}
}

// At the onset of a surge endpoints reject requests as fast as they arrive. The rate must not fall faster than answers can show the
// effect of a decrease: it would reach its minimum within a few milliseconds.
func TestDecreasesAreSpacedByLatency(t *testing.T) {
	b := newBudget(t, nil)
	now := time.Second
	for range 500 { // 100 a second, answered after 100 ms
		now += 10 * ms
		b.Admit(now, 1)
		b.AttemptEnded(now, Outcome{SentAt: now - 100*ms})
	}
	before := b.Stats().OwnRate
	for range 140 {
		now += ms
		b.Admit(now, 1)
		b.AttemptEnded(now, Outcome{SentAt: now, Overloaded: true})
	}
	if after := b.Stats().OwnRate; after < 0.85*before || after >= before {
		t.Errorf("the rate fell from %.1f to %.1f in 140 ms", before, after)
	}
}

// An agent that has just started must admit what arrives until it meets overload. One that starts during a surge must not send all of it.
func TestSlowStartCoversDemandAndStopsAtOverload(t *testing.T) {
	f := newFleet(t, 800, 60)
	f.run(time.Second)
	if f.admitted[0] < 0.95*f.arrived[0] {
		t.Errorf("at the start %g of %g admitted", f.admitted[0], f.arrived[0])
	}
	f = newFleet(t, 50, 2000)
	f.run(500 * ms)
	if f.admitted[0] > 0.25*f.arrived[0] {
		t.Errorf("into a surge %g of %g sent", f.admitted[0], f.arrived[0])
	}
}

// Agents that are restarted during a surge double their rates until endpoints reject. The first overload must halve the rate that the
// doubling has reached: decreasing step by step, the agents would keep the endpoints full for seconds. Where endpoints serve everything,
// a single chance rejection must cost little.
func TestSlowStartEndsAtHalfTheRate(t *testing.T) {
	for _, c := range []struct {
		each        time.Duration // between arrivals
		least, most float64       // rate after the overload, as a fraction of what was sent before
	}{{2 * ms, 0.45, 0.7}, {40 * ms, 0.8, 1.1}} {
		b, now := newBudget(t, nil), time.Second
		for end := now + 400*ms; now < end; now += c.each {
			if b.Admit(now, 1).Admit {
				b.AttemptEnded(now, Outcome{SentAt: now})
			}
		}
		before := b.Stats()
		b.AttemptEnded(now, Outcome{Overloaded: true, SentAt: now - ms})
		if left := b.Stats().AllowedRate / min(before.AllowedRate, before.DemandRate); left < c.least || left > c.most {
			t.Errorf("one each %v: %.2f of the rate is left after the first overload", c.each, left)
		}
	}
}

// An agent is started during a surge and so has no baseline from before it. Within half a second of the surge's end it must admit
// everything.
func TestAgentStartedInSurgeRecoversAtItsEnd(t *testing.T) {
	b, now := newBudget(t, nil), time.Second
	period := func(length, each time.Duration, full float64) (arrived, admitted float64) {
		for end := now + length; now < end; now += each {
			arrived++
			if b.Admit(now, 1).Admit {
				admitted++
				b.AttemptEnded(now, Outcome{Overloaded: admitted > full*length.Seconds(), SentAt: now - 20*ms})
			}
		}
		return arrived, admitted
	}
	period(3*time.Second, 2*ms, 20)
	if rate := b.Stats().AllowedRate; rate > 40 {
		t.Fatalf("in the surge at a rate of %.0f", rate)
	}
	period(500*ms, 20*ms, 1000)
	if arrived, admitted := period(time.Second, 20*ms, 1000); admitted < arrived {
		t.Errorf("after the surge %.0f of %.0f admitted", admitted, arrived)
	}
}
