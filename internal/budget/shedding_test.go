package budget

import (
	"testing"
	"time"
)

// While the rate covers the highest priority, nearly none of that may be shed, and the lower priority gets the rest of the rate.
func TestLowestPriorityIsShedFirst(t *testing.T) {
	f := newFleet(t, 400, 600)
	f.priorities = []float64{8, 8, 1, 1, 1, 1}
	f.run(10 * time.Second)
	f.reset()
	f.run(20 * time.Second)
	high, low := f.byPriority[8], f.byPriority[1]
	if high.admitted < 0.99*high.arrived {
		t.Errorf("%g of %g requests of the highest priority admitted", high.admitted, high.arrived)
	}
	if part := low.admitted / low.arrived; part < 0.3 || part > 0.6 {
		t.Errorf("a fraction of %.3f of the lowest priority admitted, want 0.3 to 0.6", part)
	}
	if stats := f.agents[0].Stats(); stats.Shed == 0 || stats.Overloads == 0 || stats.AdmittedFraction >= 1 {
		t.Errorf("%+v", stats)
	}
}

// A surge starts and the demand counters do not show it yet. From its first second on, the highest priority must be admitted first.
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
	second(20 * ms) // slow start, admits less
	for range 9 {
		if high, low := second(20 * ms); high < 50 || low < 50 {
			t.Errorf("before the surge %d and %d of 50 admitted", high, low)
		}
	}
	if high, low := second(2 * ms); low*4 > high {
		t.Errorf("in the first second of the surge %d of the highest priority and %d of the lowest admitted", high, low)
	}
}

// A shed request gets a Retry-After of at most MaxRetryAfter; if that is 0, it gets none.
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
