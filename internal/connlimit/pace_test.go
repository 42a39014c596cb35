package connlimit

import (
	"fmt"
	"testing"
	"time"
)

// Failure: clients that sent cheap requests at full speed took all turns, and others got their answers late. However many connections flood, all
// of them together must get turnRate beyond their own rate, each as much as the others, and a connection below its rate,
// or one whose requests are served, must never wait.
func TestFloodingConnectionsShareTheirTurns(t *testing.T) {
	const duration = 10 * time.Second
	for _, flooding := range []int{1, 6, 300} {
		t.Run(fmt.Sprint(flooding), func(t *testing.T) {
			l := New(nil, flooding+1)
			began := time.Now()
			quiet, served := &Conn{listener: l}, &Conn{listener: l, served: true}
			conns, readyAt, counts := make([]*Conn, flooding), make([]time.Time, flooding), make([]int, flooding)
			for i := range conns {
				conns[i], readyAt[i] = &Conn{listener: l}, began
			}
			for now := began; now.Before(began.Add(duration)); now = now.Add(100 * time.Microsecond) {
				for i, c := range conns {
					if !readyAt[i].After(now) {
						readyAt[i] = now.Add(c.requestDelay(now))
						counts[i]++
					}
				}
				if sent := now.Sub(began); sent%(100*time.Millisecond) == 0 && quiet.requestDelay(now) != 0 {
					t.Fatalf("a connection with ten checks per second waits after %v", sent)
				}
				if served.requestDelay(now) != 0 {
					t.Fatal("a connection whose requests are served waits")
				}
			}
			total, least, most := 0, counts[0], counts[0]
			for _, n := range counts {
				total, least, most = total+n, min(least, n), max(most, n)
			}
			limit := turnRate*duration.Seconds() + float64(flooding)*(requestRate*duration.Seconds()+requestBurst)
			if float64(total) > 1.01*limit {
				t.Errorf("%d requests in %v, at most %.0f are allowed", total, duration, limit)
			}
			if float64(most) > 1.2*float64(least) {
				t.Errorf("connections got from %d to %d turns", least, most)
			}
		})
	}
}

// A flood of new connections must not be accepted faster than acceptRate after a burst.
func TestAcceptsKeepToTheirRate(t *testing.T) {
	l := New(nil, 1)
	began := time.Now()
	accepted, readyAt := 0, began
	for now := began; now.Before(began.Add(5 * time.Second)); now = now.Add(100 * time.Microsecond) {
		for !readyAt.After(now) && accepted < 100_000 {
			accepted++
			readyAt = now.Add(l.acceptDelay(now))
			if readyAt == now {
				readyAt = now.Add(time.Nanosecond)
				break
			}
		}
	}
	if limit := acceptBurst + 2*acceptRate*5; float64(accepted) > limit {
		t.Errorf("%d connections accepted in 5 s, at most %.0f are allowed", accepted, limit)
	}
}
