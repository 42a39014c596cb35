package budget

import (
	"math"
	"testing"
	"time"
)

// Requests queue at endpoints that reject nothing, so answers are late. The allowed rate must fall at once with the latency signal and be
// restored at once without it. The signal must be ignored once no answer has arrived for a while.
func TestLatencyOverloadActsAtOnceAndExpires(t *testing.T) {
	f := newFleet(t, 400, 600)
	f.run(10 * time.Second)
	b := f.agents[0]
	rate := b.Stats().AllowedRate
	for share, want := range map[float64]float64{0: 1, 0.1: 0.7, 5: 0.3} {
		b.SetLatencyOverload(f.now, share)
		if got := b.Stats().AllowedRate / rate; math.Abs(got-want) > 0.01 {
			t.Errorf("latency overload %.1f: %.2f of the rate is allowed, want %.2f", share, got, want)
		}
	}
	b.SetLatencyOverload(f.now+2*time.Second, 5)
	if got := b.Stats().AllowedRate / rate; got < 0.9 {
		t.Errorf("a latency signal 2 s after the last answer leaves %.2f of the rate, want at least 0.9", got)
	}
}
