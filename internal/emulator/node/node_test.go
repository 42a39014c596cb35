package node

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// plainSpec returns the spec of a node with one core of speed 1, on which a request takes exactly its cost.
func plainSpec() Spec {
	return Spec{ID: "n", Cores: 1, Speed: 1, SlotsPerCore: 1, QueuePerCore: 2, SlowStartInitialFraction: 0.2, SlowStartWindow: 10 * time.Second, Started: -1}
}

// execute offers work to an idle node and returns the time until its response.
func execute(t *testing.T, n *Node, at time.Duration, w Work) time.Duration {
	t.Helper()
	if v, _ := n.Offer(at, w); v != Accepted {
		t.Fatalf("Offer returned verdict %v, want %v", v, Accepted)
	}
	for now := at; now < at+time.Minute; now = n.NextEvent() {
		for _, d := range n.Advance(now) {
			if d.Ticket == w.Ticket && d.OK {
				return d.At - at
			}
		}
	}
	t.Fatal("the request did not complete within a minute")
	return 0
}

func near(a, b time.Duration) bool { return (a - b).Abs() <= 2*time.Millisecond }

// Core speed, slow start, faults, open connections and cached keys each change how long a request takes, and their effects
// combine.
func TestExecutionTimeFollowsSpeed(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*Spec)
		do     func(*Node)
		want   time.Duration
	}{
		"plain":          {want: 100 * time.Millisecond},
		"a fast core":    {change: func(s *Spec) { s.Speed = 2 }, want: 50 * time.Millisecond},
		"in slow start":  {change: func(s *Spec) { s.Started = time.Second }, want: 465 * time.Millisecond}, // speed starts at a fifth and rises
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
			t.Errorf("%s: the request took %v, want %v", name, got, c.want)
		}
	}
}

// A node accepts requests up to its slots and queue, and rejects the rest without executing them. It drops queued requests that
// are cancelled or whose deadline has passed.
func TestRequestsBeyondSlotsAndQueueAreRejected(t *testing.T) {
	n := New(plainSpec(), 1)
	for i, want := range []Verdict{Accepted, Accepted, Accepted, Rejected} {
		if v, _ := n.Offer(time.Millisecond, Work{Ticket: uint64(i), Cost: time.Second, Deadline: 1500 * time.Millisecond}); v != want {
			t.Errorf("offer %d: verdict %v, want %v", i, v, want)
		}
	}
	if got := n.TakeStarted(); len(got) != 1 || got[0] != 0 {
		t.Errorf("started requests: %v, want [0]", got)
	}
	n.Cancel(2*time.Millisecond, 1)
	n.Cancel(2*time.Millisecond, 1) // a repeated cancel has no effect
	if n.InFlight() != 2 {
		t.Errorf("%d requests in flight, want 2", n.InFlight())
	}
	var expired bool
	for _, d := range n.Advance(4 * time.Second) {
		expired = expired || d.Ticket == 2 && d.Expired
	}
	if f := n.Figures(); !expired && f.Served != 2 || f.Rejected != 1 || f.Cancelled != 1 || n.InFlight() != 0 {
		t.Errorf("figures %+v, expired %v, %d in flight", f, expired, n.InFlight())
	}
	if v, _ := n.Offer(5*time.Second, Work{Ticket: 9, Cost: 1, Deadline: 4 * time.Second}); v != Rejected {
		t.Errorf("a request past its deadline got verdict %v, want %v", v, Rejected)
	}
}

// After a sustained overload a node stays slow, so that a load it could handle before now keeps it overloaded. It recovers after
// low utilization. A short overload does not degrade it.
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
		t.Errorf("after a sustained overload: degraded %v, capacity %v, want 1/3", n.Degraded(), n.Capacity())
	}
	if n.Advance(20 * time.Second); n.Degraded() {
		t.Error("still degraded after 11 s without load")
	}
}

// A node in slow start cannot handle the load of a warm one: load beyond its limit overloads it for the rest of its incarnation,
// and load below the limit must not.
func TestLoadBeyondLimitInSlowStartOverloads(t *testing.T) {
	for _, c := range []struct {
		load float64 // as a multiple of the capacity at the start
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
			t.Errorf("at %v times its initial capacity: overloaded %v, want %v", c.load, n.Overloaded(), c.want)
		}
		if v, _ := n.Offer(5*time.Second, Work{Ticket: 1 << 50, Cost: 1}); c.want && v != NoResponse {
			t.Errorf("an overloaded node returned verdict %v, want %v", v, NoResponse)
		}
	}
}

// Agents that had not been notified of a node's start cannot know that it is in slow start. An overload is avoidable only if at
// least two thirds of the load came from agents that had been notified.
func TestOverloadIsAvoidableOnlyIfMostAgentsWereNotified(t *testing.T) {
	for _, unnotified := range []int{0, 1, 2, 4} { // of every four requests
		spec := plainSpec()
		spec.Started, spec.SlowStartOverloadFactor, spec.OverloadWindow = 0, 2.5, 2*time.Second
		n := New(spec, 1)
		for i := range 40 {
			n.Offer(time.Duration(i)*10*time.Millisecond, Work{Ticket: uint64(i + 1), Cost: 100 * time.Millisecond, Unnotified: i%4 < unnotified})
		}
		if !n.Overloaded() || n.OverloadWasAvoidable() != (unnotified <= 1) {
			t.Errorf("with %d of 4 requests from unnotified agents: overloaded %v, avoidable %v", unnotified, n.Overloaded(), n.OverloadWasAvoidable())
		}
		if peak := n.Figures().SlowStartPeak; (peak > 1) != (unnotified <= 1) {
			t.Errorf("with %d of 4 requests from unnotified agents: slow start peak %.2f", unnotified, peak)
		}
	}
}

// Load reports describe the past: a measurement must not be visible before its delay has passed. Health checks beyond the rate
// are not answered.
func TestLoadReportIsDelayedAndHealthChecksAreLimited(t *testing.T) {
	s := plainSpec()
	s.LoadReporting = LoadReporting{Period: 500 * time.Millisecond, Delay: 200 * time.Millisecond}
	s.HealthCheckRate = 2
	n := New(s, 1)
	n.Advance(10 * time.Second)
	n.Offer(10*time.Second, Work{Ticket: 1, Cost: 5 * time.Second})
	n.Advance(10600 * time.Millisecond)
	if l, ok := n.Load(); !ok || l.Utilization > 0.01 {
		t.Errorf("a measurement was visible before its delay had passed: %+v", l)
	}
	n.Advance(11300 * time.Millisecond)
	if l, _ := n.Load(); l.Utilization < 0.9 {
		t.Errorf("load report %+v of a busy node, want a utilization of at least 0.9", l)
	}
	for i, want := range []bool{true, true, false} {
		if n.HealthCheck(12*time.Second) != want {
			t.Errorf("health check %d: answered %v, want %v", i, !want, want)
		}
	}
}

// A node caches at most Affinity.MaxKeys keys and evicts the least recently used one: "b", used again, must stay.
func TestLeastRecentlyUsedKeyIsEvicted(t *testing.T) {
	keys := newRecentKeys(Affinity{Saving: 0.5, TTL: time.Hour, MaxKeys: 3})
	for i, key := range []string{"a", "b", "c", "d", "b", "e"} {
		keys.remember(key, time.Duration(i))
	}
	if _, kept := keys.usedAt["b"]; len(keys.usedAt) != 3 || !kept {
		t.Errorf("cached keys %v, want three with b", keys.usedAt)
	}
}

// For any sequence of offers and cancels, under any faults, no request is lost or completed twice, and the node never holds more
// requests than its slots and queue allow.
func TestNoRequestIsLostOrCompletedTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := TypicalSpec("n", "k", "z", rapid.Float64Range(0.2, 2).Draw(t, "speed"))
		s.Started = rapid.SampledFrom([]time.Duration{-1, 0}).Draw(t, "started")
		n := New(s, rapid.Uint64().Draw(t, "seed"))
		for _, k := range rapid.SliceOfN(rapid.SampledFrom(faultKinds), 0, 4).Draw(t, "faults") {
			from := time.Duration(rapid.IntRange(0, 2000).Draw(t, "from")) * time.Millisecond
			fault := Fault{Kind: k, From: from, To: from + time.Second, Size: 0.5}
			if k == Slow {
				fault.Size = 3
			}
			if err := fault.Check(); err != nil {
				t.Fatal(err)
			}
			n.AddFault(fault)
		}
		open, now := map[uint64]bool{}, time.Duration(0)
		take := func(done []Completion) {
			for _, d := range done {
				if !open[d.Ticket] {
					t.Fatalf("request %d completed but was not open", d.Ticket)
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
				t.Fatalf("%d requests in flight, at most %d allowed", n.InFlight(), most)
			}
			if n.NextEvent() <= n.now {
				t.Fatalf("next event at %v is not after the current time %v", n.NextEvent(), n.now)
			}
		}
		take(n.Advance(now + time.Hour))
		f := n.Figures()
		if !n.Overloaded() && len(open) != f.Cancelled {
			t.Fatalf("%d requests never completed, but %d were cancelled", len(open), f.Cancelled)
		}
	})
}

func TestInvalidFaultsAreRejected(t *testing.T) {
	for _, fault := range []Fault{{Kind: "plague", To: 1}, {Kind: Slow, From: 2, To: 1, Size: 2}, {Kind: Slow, To: 1, Size: 0.5}, {Kind: FastFail, To: 1},
		{Kind: NoisyNeighbor, To: 1, Size: 1}, {Kind: DelayedResponse, To: 1}, {Kind: Slow, To: 1, Size: 2, Off: 1}, {Kind: Blackhole, From: -1, To: 1}} {
		if fault.Check() == nil {
			t.Errorf("%+v passed Check, want an error", fault)
		}
	}
}
