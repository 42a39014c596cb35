package node

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// plainSpec is a node of one core on which work takes just as long as it costs.
func plainSpec() Spec {
	return Spec{ID: "n", Cores: 1, Speed: 1, SlotsPerCore: 1, QueuePerCore: 2, SlowStartInitialFraction: 0.2, SlowStartWindow: 10 * time.Second, Started: -1}
}

// execute offers work to an idle node and returns how long it took.
func execute(t *testing.T, n *Node, at time.Duration, w Work) time.Duration {
	t.Helper()
	if v, _ := n.Offer(at, w); v != Accepted {
		t.Fatalf("verdict %v", v)
	}
	for now := at; now < at+time.Minute; now = n.NextEvent() {
		for _, d := range n.Advance(now) {
			if d.Ticket == w.Ticket && d.OK {
				return d.At - at
			}
		}
	}
	t.Fatal("never done")
	return 0
}

func near(a, b time.Duration) bool { return (a - b).Abs() <= 2*time.Millisecond }

// The speed of a node follows from its cores, slow start, faults, connections and cached keys, one by one and together.
func TestExecutionTimeFollowsSpeed(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*Spec)
		do     func(*Node)
		want   time.Duration
	}{
		"plain":          {want: 100 * time.Millisecond},
		"a fast core":    {change: func(s *Spec) { s.Speed = 2 }, want: 50 * time.Millisecond},
		"in slow start":  {change: func(s *Spec) { s.Started = time.Second }, want: 465 * time.Millisecond}, // a fifth, and rising
		"slow":           {do: func(n *Node) { n.AddFault(Fault{Kind: Slow, To: time.Hour, Size: 4}) }, want: 400 * time.Millisecond},
		"a neighbour":    {do: func(n *Node) { n.AddFault(Fault{Kind: NoisyNeighbor, To: time.Hour, Size: 0.5}) }, want: 200 * time.Millisecond},
		"neighbour ends": {do: func(n *Node) { n.AddFault(Fault{Kind: NoisyNeighbor, To: 1050 * time.Millisecond, Size: 0.5}) }, want: 125 * time.Millisecond},
		"both": {do: func(n *Node) {
			n.AddFault(Fault{Kind: Slow, To: time.Hour, Size: 2})
			n.AddFault(Fault{Kind: NoisyNeighbor, To: time.Hour, Size: 0.5})
		}, want: 400 * time.Millisecond},
		"late":         {do: func(n *Node) { n.AddFault(Fault{Kind: DelayedResponse, To: time.Hour, Size: 0.3}) }, want: 400 * time.Millisecond},
		"a full table": {change: func(s *Spec) { s.ConnCap, s.ConnOverhead = 1, 0.5 }, do: func(n *Node) { n.Connect(time.Second) }, want: 200 * time.Millisecond},
		"a known key":  {change: func(s *Spec) { s.Affinity = Affinity{0.5, time.Minute, 5} }, do: func(n *Node) { n.keys.remember("k", n.now) }, want: 50 * time.Millisecond},
		"a handshake":  {change: func(s *Spec) { s.HandshakeWork = 30 * time.Millisecond }, do: func(n *Node) { n.Connect(time.Second) }, want: 100 * time.Millisecond},
		"on and off, off": {do: func(n *Node) {
			n.AddFault(Fault{Kind: Slow, To: time.Hour, Size: 4, On: 500 * time.Millisecond, Off: time.Second})
		}, want: 100 * time.Millisecond},
	} {
		s := plainSpec()
		if c.change != nil {
			c.change(&s)
		}
		n := New(s, 1)
		n.Advance(time.Second)
		if c.do != nil {
			c.do(n)
		}
		if got := execute(t, n, time.Second, Work{Ticket: 1, Key: "k", Cost: 100 * time.Millisecond}); !near(got, c.want) {
			t.Errorf("%s: took %v, not %v", name, got, c.want)
		}
	}
}

// A node holds what it has slots and a queue for, rejects the rest without executing it, and drops what has expired or is
// cancelled.
func TestRequestsBeyondSlotsAndQueueAreRejected(t *testing.T) {
	n := New(plainSpec(), 1)
	for i, want := range []Verdict{Accepted, Accepted, Accepted, Rejected} {
		if v, _ := n.Offer(time.Millisecond, Work{Ticket: uint64(i), Cost: time.Second, Deadline: 1500 * time.Millisecond}); v != want {
			t.Errorf("offer %d: %v", i, v)
		}
	}
	if got := n.TakeStarted(); len(got) != 1 || got[0] != 0 {
		t.Errorf("began %v", got)
	}
	n.Cancel(2*time.Millisecond, 1)
	n.Cancel(2*time.Millisecond, 1) // a second time has no effect
	if n.InFlight() != 2 {
		t.Errorf("%d in flight", n.InFlight())
	}
	var expired bool
	for _, d := range n.Advance(4 * time.Second) {
		expired = expired || d.Ticket == 2 && d.Expired
	}
	if f := n.Figures(); !expired && f.Served != 2 || f.Rejected != 1 || f.Cancelled != 1 || n.InFlight() != 0 {
		t.Errorf("%+v expired %v", f, expired)
	}
	if v, _ := n.Offer(5*time.Second, Work{Ticket: 9, Cost: 1, Deadline: 4 * time.Second}); v != Rejected {
		t.Errorf("a request past its deadline got %v", v)
	}
}

// A node that was overloaded for long stays slow after the overload has gone, so that load which it could bear before keeps it
// down. It recovers when it is idle enough. A short overload has no such effect.
func TestLastingOverloadDegradesUntilRecovery(t *testing.T) {
	s := plainSpec()
	s.Degradation = Degradation{QueuePerCore: 4, After: 2 * time.Second, SlowdownFactor: 3, RecoveryUtilization: 0.3, RecoveryTime: 3 * time.Second, MaxDuration: 30 * time.Second}
	overload := func(n *Node, from, to time.Duration) {
		for at := from; at < to; at += 50 * time.Millisecond {
			n.Offer(at, Work{Ticket: uint64(at), Cost: 100 * time.Millisecond})
		}
	}
	n := New(s, 1)
	overload(n, 0, 1500*time.Millisecond)
	if n.Advance(5 * time.Second); n.Degraded() || n.Figures().Degradations > 0 {
		t.Error("degraded after a short overload")
	}
	overload(n, 5*time.Second, 9*time.Second)
	if !n.Degraded() || math.Abs(n.Capacity()-1.0/3) > 1e-9 {
		t.Errorf("degraded %v, capacity %v", n.Degraded(), n.Capacity())
	}
	if n.Advance(20 * time.Second); n.Degraded() {
		t.Error("it did not recover")
	}
}

// A node that has just started can't bear the load of one that is warm: beyond its limit it goes down for good. Below the limit
// it must not.
func TestLoadBeyondLimitInSlowStartOverloads(t *testing.T) {
	for _, c := range []struct {
		load float64 // times its capacity at the start
		want bool
	}{{1.5, false}, {12, true}} {
		s := plainSpec()
		s.Cores, s.Started, s.SlowStartOverloadFactor, s.OverloadWindow = 4, 0, 2.5, 2*time.Second
		n := New(s, 1)
		gap := time.Duration(float64(20*time.Millisecond) / (c.load * 4 * 0.2))
		for at := time.Duration(0); at < 4*time.Second; at += gap {
			n.Offer(at, Work{Ticket: uint64(at) + 1, Cost: 20 * time.Millisecond})
		}
		if n.Overloaded() != c.want {
			t.Errorf("at %v times its capacity it was overloaded: %v", c.load, n.Overloaded())
		}
		if v, _ := n.Offer(5*time.Second, Work{Ticket: 1 << 50, Cost: 1}); c.want && v != NoResponse {
			t.Errorf("an overloaded node returned %v", v)
		}
	}
}

// Agents that had not been notified of a node's start could not know that it is in slow start. An overload counts as avoidable
// only if most of the load came from agents that had been notified.
func TestOverloadIsAvoidableOnlyIfMostAgentsWereNotified(t *testing.T) {
	for _, unnotified := range []int{0, 1, 2, 4} { // of four requests
		spec := plainSpec()
		spec.Started, spec.SlowStartOverloadFactor, spec.OverloadWindow = 0, 2.5, 2*time.Second
		n := New(spec, 1)
		for i := range 40 {
			n.Offer(time.Duration(i)*10*time.Millisecond, Work{Ticket: uint64(i + 1), Cost: 100 * time.Millisecond, Unnotified: i%4 < unnotified})
		}
		if !n.Overloaded() || n.OverloadWasAvoidable() != (unnotified <= 1) {
			t.Errorf("with %d of 4 by agents that were not notified: overloaded %v, avoidable %v", unnotified, n.Overloaded(), n.OverloadWasAvoidable())
		}
		if peak := n.Figures().SlowStartPeak; (peak > 1) != (unnotified <= 1) {
			t.Errorf("with %d of 4 by agents that were not notified the peak is %.2f", unnotified, peak)
		}
	}
}

// Load reports describe the past. A reading must not be seen before its delay is over, and health checks beyond the rate are not
// answered.
func TestLoadReportIsDelayedAndHealthChecksAreLimited(t *testing.T) {
	s := plainSpec()
	s.LoadReporting = LoadReporting{Period: 500 * time.Millisecond, Delay: 200 * time.Millisecond}
	s.HealthCheckRate = 2
	n := New(s, 1)
	n.Advance(10 * time.Second)
	n.Offer(10*time.Second, Work{Ticket: 1, Cost: 5 * time.Second})
	n.Advance(10600 * time.Millisecond)
	if l, ok := n.Load(); !ok || l.Utilization > 0.01 {
		t.Errorf("a reading was seen before its time: %+v", l)
	}
	n.Advance(11300 * time.Millisecond)
	if l, _ := n.Load(); l.Utilization < 0.9 {
		t.Errorf("%+v", l)
	}
	for i, want := range []bool{true, true, false} {
		if n.HealthCheck(12*time.Second) != want {
			t.Errorf("health check %d", i)
		}
	}
}

// A node caches the data of so many keys: beyond it the one that was used longest ago goes.
func TestOldestKeyIsEvicted(t *testing.T) {
	keys := newRecentKeys(Affinity{Saving: 0.5, TTL: time.Hour, MaxKeys: 3})
	for i, key := range []string{"a", "b", "c", "d", "b", "e"} {
		keys.remember(key, time.Duration(i))
	}
	if _, kept := keys.usedAt["b"]; len(keys.usedAt) != 3 || !kept {
		t.Errorf("%v", keys.usedAt)
	}
}

// Whatever is offered and cancelled, and under whatever faults: no request is lost or completed twice, and the node never holds more than its
// slots and its queue.
func TestNoRequestIsLostOrCompletedTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := TypicalSpec("n", "k", "z", rapid.Float64Range(0.2, 2).Draw(t, "speed"))
		s.Started = rapid.SampledFrom([]time.Duration{-1, 0}).Draw(t, "started")
		n := New(s, rapid.Uint64().Draw(t, "seed"))
		for _, k := range rapid.SliceOfN(rapid.SampledFrom(faultKinds), 0, 4).Draw(t, "faults") {
			from := time.Duration(rapid.IntRange(0, 2000).Draw(t, "from")) * time.Millisecond
			tr := Fault{Kind: k, From: from, To: from + time.Second, Size: 0.5}
			if k == Slow {
				tr.Size = 3
			}
			if err := tr.Check(); err != nil {
				t.Fatal(err)
			}
			n.AddFault(tr)
		}
		open, now := map[uint64]bool{}, time.Duration(0)
		take := func(done []Completion) {
			for _, d := range done {
				if !open[d.Ticket] {
					t.Fatalf("%d ended and was not open", d.Ticket)
				}
				delete(open, d.Ticket)
			}
		}
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 80).Draw(t, "gap")) * time.Millisecond
			ticket := uint64(i + 1)
			if rapid.Bool().Draw(t, "cancel") && i > 0 {
				take(n.Advance(now))
				n.Cancel(now, uint64(rapid.IntRange(1, i).Draw(t, "which")))
			}
			if v, _ := n.Offer(now, Work{Ticket: ticket, Cost: time.Duration(rapid.IntRange(1, 90).Draw(t, "cost")) * time.Millisecond, Deadline: now + time.Second}); v == Accepted {
				open[ticket] = true
			}
			take(n.Advance(now))
			if most := s.Cores + int(float64(s.Cores)*s.QueuePerCore); n.InFlight() > most {
				t.Fatalf("%d held, %d allowed", n.InFlight(), most)
			}
			if n.NextEvent() <= n.now {
				t.Fatalf("the next event %v is not after %v", n.NextEvent(), n.now)
			}
		}
		take(n.Advance(now + time.Hour))
		f := n.Figures()
		if !n.Overloaded() && len(open) != f.Cancelled {
			t.Fatalf("%d never ended, %d were cancelled", len(open), f.Cancelled)
		}
	})
}

func TestInvalidFaultsAreRejected(t *testing.T) {
	for _, tr := range []Fault{{Kind: "plague", To: 1}, {Kind: Slow, From: 2, To: 1, Size: 2}, {Kind: Slow, To: 1, Size: 0.5}, {Kind: FastFail, To: 1},
		{Kind: NoisyNeighbor, To: 1, Size: 1}, {Kind: DelayedResponse, To: 1}, {Kind: Slow, To: 1, Size: 2, Off: 1}, {Kind: Blackhole, From: -1, To: 1}} {
		if tr.Check() == nil {
			t.Errorf("%+v passed", tr)
		}
	}
}
