package budget

import (
	"testing"
	"time"
)

// While the rate covers the highest priority none of that is shed, and the rest of the rate goes to the lower one.
func TestLowestPriorityIsShedFirst(t *testing.T) {
	f := newFleet(t, 400, 600)
	f.priorities = []float64{8, 8, 1, 1, 1, 1}
	f.run(10 * time.Second)
	f.reset()
	f.run(20 * time.Second)
	high, low := f.byPriority[8], f.byPriority[1]
	if high.admitted < 0.99*high.arrived {
		t.Errorf("of the highest priority %g of %g admitted", high.admitted, high.arrived)
	}
	if part := low.admitted / low.arrived; part < 0.3 || part > 0.6 {
		t.Errorf("of the lowest priority %.3f admitted", part)
	}
	if fig := f.agents[0].Stats(); fig.Shed == 0 || fig.Overloads == 0 || fig.AdmittedFraction >= 1 {
		t.Errorf("%+v", fig)
	}
}

// A surge begins, and the counts of demand do not show it yet. What is admitted goes to the highest priority from the first second
// on.
func TestHighestPriorityIsAdmittedAtSurgeOnset(t *testing.T) {
	b := newBudget(t, nil)
	now := time.Second
	second := func(each time.Duration) (high, low int) {
		for end := now + time.Second; now < end; now += each {
			for _, priority := range []float64{1, 8} {
				if !b.Admit(now, priority).Admit {
					continue
				}
				b.AttemptEnded(now, Outcome{SentAt: now - 30*ms})
				if priority > 1 {
					high++
				} else {
					low++
				}
			}
		}
		return high, low
	}
	second(20 * ms) // it starts, and takes less
	for range 9 {
		if high, low := second(20 * ms); high < 50 || low < 50 {
			t.Errorf("before the surge %d and %d of 50 admitted", high, low)
		}
	}
	if high, low := second(2 * ms); low*4 > high {
		t.Errorf("in its first second %d of the highest priority and %d of the lowest admitted", high, low)
	}
}

// A shed request is given a Retry-After of at most the longest allowed; without a longest, none.
func TestRetryAfterIsBounded(t *testing.T) {
	for _, longest := range []time.Duration{0, 2 * time.Second} {
		b := newBudget(t, func(s *Settings) { s.MaxRetryAfter = longest })
		v, now := Decision{Admit: true}, time.Second
		for range 1000 {
			if v = b.Admit(now, 1); v.Admit {
				b.AttemptEnded(now, Outcome{Overloaded: true})
			}
			now += ms
		}
		if v.Admit || v.RetryAfter > longest || longest > 0 && v.RetryAfter < 100*ms {
			t.Errorf("longest %v: %+v", longest, v)
		}
	}
}
