package pool

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// history carries out a table's actions in a model and checks each.
type history struct {
	t       *rapid.T
	table   *Table
	set     Settings
	now     time.Duration
	nodes   []*Endpoint
	over    map[*Endpoint]bool // lives that have ended
	opening []*Slot
	used    []*Slot
	rests   []*Slot // that Rested is to be called for
	open    map[*Slot]bool
	waiting map[*Waiter]bool
}

func (h *history) do(actions []Action) {
	for _, a := range actions {
		switch a.Kind {
		case Open:
			if !a.Slot.Endpoint.ready {
				h.t.Fatal("a handshake with a server that takes nothing new")
			}
			h.opening = append(h.opening, a.Slot)
		case Close:
			if !h.open[a.Slot] {
				h.t.Fatalf("closed what is not open, for %v", a.CloseReason)
			}
			delete(h.open, a.Slot)
		case Grant:
			h.handed(a.Slot, a.Waiter.node, a.Waiter.careful)
			h.answered(a.Waiter)
		case Reject:
			h.answered(a.Waiter)
		case ScheduleQuarantineEnd:
			if a.Delay <= 0 || a.Delay > h.set.Quarantine {
				h.t.Fatalf("a rest of %v", a.Delay)
			}
			h.rests = append(h.rests, a.Slot)
		}
	}
}

func (h *history) answered(w *Waiter) {
	if w.node == nil {
		return // refused at once
	}
	if !h.waiting[w] {
		h.t.Fatal("an answer to one that does not wait")
	}
	delete(h.waiting, w)
}

func (h *history) handed(s *Slot, n *Endpoint, careful bool) {
	if !h.open[s] || s.Endpoint != n || !n.ready || h.over[n] {
		h.t.Fatal("handed out a connection that is closed, of another life, or of a server that takes nothing new")
	}
	for _, u := range h.used {
		if u == s {
			h.t.Fatal("handed out twice")
		}
	}
	if s.answered > 0 && h.now-s.answered < h.set.Quarantine {
		h.t.Fatal("a connection that has brought an answer just now")
	}
	if careful && s.proven < n.suspect {
		h.t.Fatal("a suspect connection for what must not repeat")
	}
	h.used = append(h.used, s)
}

func (h *history) check() {
	c := h.table.Stats()
	if c.Open != len(h.open) || c.Opening != len(h.opening) || c.Waiting != len(h.waiting) || c.Open-c.Idle != len(h.used) {
		h.t.Fatalf("it counts %+v; there are %d open, %d opening, %d waiting, %d used", c, len(h.open), len(h.opening), len(h.waiting), len(h.used))
	}
	if c.Open+c.Opening > h.set.MaxConnections || c.Opening > h.set.MaxHandshakes || c.Waiting > h.set.MaxWaiters {
		h.t.Fatalf("over a cap: %+v", c)
	}
	for _, n := range h.table.nodes {
		if n.places > h.set.MaxPerEndpoint || n.opening > h.set.MaxHandshakesPerEndpoint {
			h.t.Fatalf("over a cap of a server: %d places, %d opening", n.places, n.opening)
		}
		if len(n.waiters) > n.opening+n.resting && h.table.room(n) {
			h.t.Fatal("somebody waits and a handshake could begin")
		}
		resting := 0
		for _, s := range n.idle {
			if s.resting {
				resting++
				if !slices.Contains(h.rests, s) {
					h.t.Fatal("a connection rests for somebody who waits, and nothing ends that")
				}
			}
		}
		if resting != n.resting {
			h.t.Fatalf("%d connections rest, it counts %d", resting, n.resting)
		}
		if !n.ready && (len(n.waiters) > 0 || len(n.idle) > 0) {
			h.t.Fatal("something waits for, or is kept to, a server that takes nothing new")
		}
	}
}

func take[T any](t *rapid.T, from *[]T) (x T, ok bool) {
	if len(*from) == 0 {
		return x, false
	}
	i := rapid.IntRange(0, len(*from)-1).Draw(t, "which")
	x = (*from)[i]
	*from = append((*from)[:i], (*from)[i+1:]...)
	return x, true
}

// Whatever happens in whatever order: caps hold, nobody gets what is closed or another's, all who wait are answered once, and
// in the end nothing is left.
func TestAnyHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := DefaultSettings(rapid.IntRange(1, 12).Draw(t, "most"))
		set.MaxPerEndpoint = rapid.IntRange(1, 6).Draw(t, "per node")
		set.MaxHandshakes = rapid.IntRange(1, 4).Draw(t, "opening")
		set.MaxHandshakesPerEndpoint = rapid.IntRange(1, 3).Draw(t, "opening per node")
		set.MaxWaiters = rapid.IntRange(0, 8).Draw(t, "waiting")
		set.ReuseOrder = ReuseOrder(rapid.IntRange(0, 2).Draw(t, "order"))
		set.MaxRequests = rapid.IntRange(0, 3).Draw(t, "uses")
		set.MaxAge = time.Duration(rapid.IntRange(0, 2).Draw(t, "age")) * time.Second
		set.AgeJitter, set.CloseSuspect = 0.5, rapid.Bool().Draw(t, "close suspects")
		set.PreopenRate = float64(rapid.IntRange(0, 1).Draw(t, "ahead")) * 100
		h := &history{t: t, table: NewTable(set, 1), set: set, now: time.Second, over: map[*Endpoint]bool{}, open: map[*Slot]bool{}, waiting: map[*Waiter]bool{}}
		started := 0
		begin := func() {
			started++
			n := h.table.AddEndpoint(h.now, fmt.Sprint(started), "", 0)
			h.nodes = append(h.nodes, n)
			h.do(h.table.SetReady(h.now, n, true))
		}
		begin()
		begin()
		node := func() *Endpoint { return h.nodes[rapid.IntRange(0, len(h.nodes)-1).Draw(t, "node")] }
		want := func(t *rapid.T) {
			n, careful := node(), rapid.Bool().Draw(t, "careful")
			s, w, actions := h.table.Acquire(h.now, n, careful)
			if w != nil && w.node != nil {
				h.waiting[w] = true
			}
			h.do(actions)
			if s != nil {
				h.handed(s, n, careful)
			}
		}
		opened := func(t *rapid.T) {
			if s, ok := take(t, &h.opening); ok {
				h.open[s] = true
				h.do(h.table.HandshakeSucceeded(h.now, s))
			}
		}
		done := func(t *rapid.T) {
			if s, ok := take(t, &h.used); ok {
				h.do(h.table.Release(h.now, s, ReleaseOutcome(rapid.IntRange(0, 4).Draw(t, "how"))))
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"want": want, "want again": want, "opened": opened, "done": done, "done again": done,
			"failed": func(t *rapid.T) {
				if s, ok := take(t, &h.opening); ok {
					h.do(h.table.HandshakeFailed(h.now, s, false))
				}
			},
			"cancel": func(t *rapid.T) {
				for w := range h.waiting {
					h.table.Cancel(h.now, w)
					delete(h.waiting, w)
					return
				}
			},
			"stale": func(t *rapid.T) {
				if s, ok := take(t, &h.used); ok {
					h.do(h.table.DiscardStale(h.now, s))
				}
			},
			"drain or not": func(t *rapid.T) {
				n := node()
				h.do(h.table.SetReady(h.now, n, rapid.Bool().Draw(t, "ready")))
			},
			"restart": func(t *rapid.T) {
				n, _ := take(t, &h.nodes)
				h.do(h.table.Retire(h.now, n))
				h.over[n] = true
				begin()
			},
			"configure": func(t *rapid.T) { // only to more places: with fewer the caps hold later
				h.set.MaxConnections, h.set.MaxPerEndpoint = h.set.MaxConnections+1, h.set.MaxPerEndpoint+1
				h.do(h.table.Configure(h.now, h.set))
			},
			"rested": func(t *rapid.T) {
				if s, ok := take(t, &h.rests); ok {
					h.now = max(h.now, s.answered+h.set.Quarantine)
					h.do(h.table.QuarantineEnded(h.now, s))
				}
			},
			"sweep": func(t *rapid.T) { h.do(h.table.Maintain(h.now, nil)) },
			"time":  func(t *rapid.T) { h.now += time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond },
			"":      func(t *rapid.T) { h.check() },
		})
		for len(h.opening) > 0 {
			opened(t)
		}
		h.do(h.table.Shutdown(h.now))
		for len(h.used) > 0 {
			done(t)
		}
		for _, n := range h.nodes {
			h.do(h.table.Retire(h.now, n))
		}
		h.check()
		if len(h.open) > 0 || len(h.waiting) > 0 || len(h.table.nodes) > 0 {
			t.Fatalf("left: %d open, %d waiting, %d servers", len(h.open), len(h.waiting), len(h.table.nodes))
		}
	})
}

// bench is a table in which handshakes are done at once.
type bench struct {
	*Table
	t   *testing.T
	now time.Duration
}

func newBench(t *testing.T, change func(*Settings)) (*bench, *Endpoint) {
	set := DefaultSettings(40)
	set.Quarantine = 0 // but in the tests of it
	if change != nil {
		change(&set)
	}
	b := &bench{Table: NewTable(set, 1), t: t, now: time.Second}
	return b, b.node("a")
}

func (b *bench) node(id string) *Endpoint {
	n := b.AddEndpoint(b.now, id, id, 0)
	b.SetReady(b.now, n, true)
	return n
}

// get is a connection, as one that is fresh or one that was used before.
func (b *bench) get(n *Endpoint, careful bool) *Slot {
	b.t.Helper()
	s, w, actions := b.Acquire(b.now, n, careful)
	if s != nil {
		return s
	}
	for _, a := range append([]Action(nil), actions...) {
		if a.Kind != Open {
			continue
		}
		for _, a := range b.HandshakeSucceeded(b.now, a.Slot) {
			if a.Kind == Grant && a.Waiter == w {
				return a.Slot
			}
		}
	}
	return nil
}

// three are connections that came back in this order, a second apart, the second one after two uses.
func (b *bench) three(n *Endpoint) (s [3]*Slot) {
	for i := range s {
		s[i] = b.get(n, false)
	}
	s[0].uses, s[1].uses, s[2].uses = 3, 2, 4
	for i := range s {
		b.now += time.Second
		b.Release(b.now, s[i], Reusable)
	}
	return s
}

func TestOrders(t *testing.T) {
	for order, want := range map[ReuseOrder]int{MostRecentlyUsed: 2, LeastRecentlyUsed: 0, FewestRequests: 1} {
		b, n := newBench(t, func(s *Settings) { s.ReuseOrder = order })
		s := b.three(n)
		if got := b.get(n, false); got != s[want] {
			t.Errorf("order %d does not use connection %d", order, want)
		}
	}
}

func TestAgeAndUses(t *testing.T) {
	b, n := newBench(t, func(s *Settings) { s.MaxAge, s.AgeJitter, s.ReuseOrder = 4*time.Second, 0.5, LeastRecentlyUsed })
	ends := map[time.Duration]bool{}
	for _, s := range b.three(n) {
		ends[s.ends] = true
		if life := s.ends - s.opened; life < 2*time.Second || life > 4*time.Second {
			t.Errorf("a life of %v", life)
		}
	}
	if len(ends) != 3 {
		t.Error("connections opened together end together")
	}
	b.now += 4 * time.Second
	if s := b.get(n, false); s.uses != 1 || b.Stats().Closed[CloseAge] != 3 {
		t.Errorf("an old one is used again: %+v", b.Stats())
	}
	b, n = newBench(t, func(s *Settings) { s.MaxRequests = 2 })
	first := b.get(n, false)
	for range 2 {
		b.Release(b.now, first, Reusable)
		if s := b.get(n, false); (s == first) != (s.uses == 2) {
			t.Errorf("%d uses", s.uses)
		}
	}
}

// A close that crosses a request teaches a lower idle limit, which rises again; what must not repeat keeps further away.
func TestIdleLimitLearns(t *testing.T) {
	b, n := newBench(t, nil)
	if got := b.limit(b.now, n); got != 8*time.Second {
		t.Errorf("at first %v", got)
	}
	s := b.get(n, false)
	b.Release(b.now, s, Reusable)
	b.now += 2 * time.Second
	s = b.get(n, false)
	b.Release(b.now, s, ClosedByServer)
	if got := b.limit(b.now, n); got != 1600*time.Millisecond {
		t.Errorf("after a close at 2 s: %v", got)
	}
	s = b.get(n, false)
	b.now += time.Second
	b.Release(b.now, s, Reusable)
	b.now += time.Second
	if got := b.get(n, true); got == s {
		t.Error("what must not repeat goes out on a connection that has stood for over half the limit")
	} else if got := b.get(n, false); got != s {
		t.Error("what may be repeated does not use it")
	}
	b.now += time.Minute
	if got := b.limit(b.now, n); got < 6*time.Second {
		t.Errorf("after a minute: %v", got)
	}
	for range 40 { // of hours
		b.now += time.Hour
		if got := b.limit(b.now, n); got != 8*time.Second {
			t.Fatalf("after hours: %v", got)
		}
	}
}

// What must not repeat takes an old connection rather than none, but never a suspect one.
func TestCarefulWithoutRoom(t *testing.T) {
	for _, suspect := range []bool{false, true} {
		b, n := newBench(t, func(s *Settings) { s.MaxPerEndpoint = 1 })
		s := b.get(n, false)
		b.Release(b.now, s, Reusable)
		b.now += 5 * time.Second
		if suspect {
			n.suspect = b.now
		}
		if got := b.get(n, true); (got == s) == suspect {
			t.Errorf("suspect %v: the kept connection is used: %v", suspect, got == s)
		}
	}
}

// After a burst of failures older connections carry what may be repeated until they have proven themselves, or close.
func TestSuspects(t *testing.T) {
	for _, closes := range []bool{false, true} {
		b, n := newBench(t, func(s *Settings) { s.CloseSuspect, s.SuspectAfterFailures = closes, 3 })
		old := b.get(n, false)
		var broken []*Slot
		for range 3 {
			broken = append(broken, b.get(n, false))
		}
		b.Release(b.now, old, Reusable)
		b.Release(b.now, b.get(n, false), Reusable) // an answer between failures starts the count anew
		for _, s := range broken {
			b.now += time.Millisecond
			b.Release(b.now, s, Broken)
		}
		fresh := b.get(n, true)
		if fresh == old {
			t.Fatal("what must not repeat goes out on a suspect connection")
		}
		if closes {
			if b.Stats().Closed[CloseSuspected] != 1 {
				t.Error("it was not closed")
			}
			continue
		}
		b.now += time.Millisecond
		b.Release(b.now, fresh, Reusable)
		if got := b.get(n, false); got != old {
			t.Error("a suspect one is not tried first")
		}
		b.now += time.Millisecond
		b.Release(b.now, old, Reusable)
		if got := b.get(n, true); got != old {
			t.Error("it has proven itself and is shunned")
		}
	}
}

// A server that says nothing holds its own places and handshakes, not what others need.
func TestSilentServer(t *testing.T) {
	b, silent := newBench(t, func(s *Settings) {
		s.MaxConnections, s.MaxPerEndpoint, s.MaxHandshakes, s.MaxHandshakesPerEndpoint = 8, 4, 4, 2
	})
	var opens []Action
	for range 6 {
		_, _, actions := b.Acquire(b.now, silent, false)
		opens = append(opens, actions...)
	}
	if len(opens) != 2 {
		t.Errorf("%d handshakes", len(opens))
	}
	other := b.node("b")
	if b.get(other, false) == nil {
		t.Error("another server gets nothing meanwhile")
	}
	refused := 0
	for _, a := range b.HandshakeFailed(b.now, opens[0].Slot, false) {
		if a.Kind == Reject && a.CloseReason == RejectConnectFailed {
			refused++
		}
	}
	if refused != 1 {
		t.Errorf("%d were told of one failed handshake", refused)
	}
	if n := b.openingMost(silent); n != 1 {
		t.Errorf("%d handshakes at once after a failure", n)
	}
}

// When places run out they go round: a server with many gives one up to those who wait for one with few.
func TestLastPlacesAreShared(t *testing.T) {
	b, big := newBench(t, func(s *Settings) {
		s.MaxConnections, s.MaxPerEndpoint, s.MaxHandshakes, s.MaxHandshakesPerEndpoint = 4, 4, 4, 4
	})
	var used []*Slot
	for range 4 {
		used = append(used, b.get(big, false))
	}
	small := b.node("b")
	_, w, _ := b.Acquire(b.now, small, false)
	b.Acquire(b.now, big, false) // which has waited for less
	var got *Action
	for _, a := range b.Release(b.now, used[0], Reusable) {
		if a.Kind == Open {
			got = &a
		}
	}
	if got == nil || got.Slot.Endpoint != small || w.node != small {
		t.Errorf("%+v", got)
	}
}

// A connection that has brought an answer just now may bring more yet that belongs to no request: who comes next gets another that
// has rested, or waits for the rest of this one, which is over sooner than a handshake, and what has waited before is served first.
func TestRestAfterAnAnswer(t *testing.T) {
	rest := 10 * time.Millisecond
	b, n := newBench(t, func(set *Settings) { set.Quarantine = rest })
	first, second := b.get(n, false), b.get(n, false)
	b.Release(b.now, second, Reusable)
	b.now += 2 * rest
	b.Release(b.now, first, Reusable)
	if got := b.get(n, false); got != second {
		t.Error("the one that has just had an answer goes first")
	}
	s, w, actions := b.Acquire(b.now, n, false)
	if s != nil || len(actions) != 1 || actions[0].Kind != ScheduleQuarantineEnd || actions[0].Slot != first || actions[0].Delay != rest {
		t.Fatalf("%v, %+v", s, actions)
	}
	if _, _, more := b.Acquire(b.now, n, false); len(more) != 1 || more[0].Kind != Open { // the one behind it
		t.Errorf("%+v", more)
	}
	b.now += rest
	if got := b.QuarantineEnded(b.now, first); len(got) != 1 || got[0].Kind != Grant || got[0].Waiter != w || got[0].Slot != first {
		t.Errorf("%+v", got)
	}
	if again := b.QuarantineEnded(b.now, first); len(again) != 0 {
		t.Errorf("a second time: %+v", again)
	}
	b.Release(b.now, first, Unused) // nothing was written: nothing can come
	if c := b.Stats(); c.Idle != 0 || c.Waiting != 0 {
		t.Errorf("what was not used waits beside one that waits: %+v", c)
	}
}

// All agents together open no more ahead of need than the settings say, and less while the server is cold.
func TestOpeningAheadIsBoundedForAll(t *testing.T) {
	const agents, seconds = 200, 10
	for cold, most := range map[time.Duration]int{0: 50 * seconds, 100 * time.Second: 50 * seconds / 4} {
		opened := 0
		for seed := range uint64(agents) {
			set := DefaultSettings(40)
			set.PreopenRate, set.Agents, set.SlowStartInitialFraction, set.SlowStartWindow = 50, agents, 0.2, cold
			table := NewTable(set, seed)
			n := table.AddEndpoint(time.Second, "a", "", time.Second)
			table.SetReady(time.Second, n, true)
			for now := time.Second; now < (1+seconds)*time.Second; now += 50 * time.Millisecond {
				n.sends(now)
				n.handshake = 0.1
				for _, a := range append([]Action(nil), table.Maintain(now, nil)...) {
					opened++
					for _, a := range table.HandshakeSucceeded(now, a.Slot) {
						t.Errorf("%+v", a)
					}
					s, _, _ := table.Acquire(now, n, false)
					table.Release(now, s, MustClose) // so that there is always need of another
				}
			}
		}
		if opened > most*5/4 || opened < most/4 {
			t.Errorf("cold for %v: %d opened in %d s, where %d may be", cold, opened, seconds, most)
		}
	}
}

// Fewer places than are taken: the idle ones go at once, those in use as they come free.
func TestFewerPlaces(t *testing.T) {
	b, n := newBench(t, nil)
	b.three(n)
	used := []*Slot{b.get(n, false), b.get(n, false)}
	set := b.set
	set.MaxConnections, set.MaxPerEndpoint = 1, 1
	b.Configure(b.now, set)
	if c := b.Stats(); c.Open != 2 || c.Idle != 0 {
		t.Errorf("%d idle of %d", c.Idle, c.Open)
	}
	for _, u := range used {
		b.Release(b.now, u, Reusable)
	}
	if c := b.Stats(); c.Open != 1 || c.Idle != 1 {
		t.Errorf("%d idle of %d", c.Idle, c.Open)
	}
}

// An exchange that the agent gave up on before it could expect an answer makes no connection suspect, however often; its own
// connection closes.
func TestGivenUpIsNoEvidence(t *testing.T) {
	for _, how := range []ReleaseOutcome{Abandoned, Broken} {
		b, n := newBench(t, nil)
		kept := b.get(n, false)
		var used []*Slot
		for range 5 {
			used = append(used, b.get(n, false))
		}
		b.Release(b.now, kept, Reusable)
		for _, s := range used {
			b.now += time.Millisecond
			b.Release(b.now, s, how)
		}
		c := b.Stats()
		if still := c.Idle == 1; still != (how == Abandoned) || c.Open != c.Idle || c.Closed[CloseBroken] != 5 {
			t.Errorf("%v: %+v", how, c)
		}
	}
}

// A connection that is given back unused has stood idle all the while: its idle time goes on, and its next request is its first.
func TestUnusedStandsOn(t *testing.T) {
	set := DefaultSettings(4)
	set.ServerIdleTimeout, set.Quarantine = 10*time.Second, 0
	table := NewTable(set, 1)
	n := table.AddEndpoint(time.Second, "b", "addr", 0)
	table.SetReady(time.Second, n, true)
	_, _, actions := table.Acquire(time.Second, n, false)
	var s *Slot
	for _, a := range actions {
		if a.Kind == Open {
			s = a.Slot
		}
	}
	table.HandshakeSucceeded(time.Second, s) // handed to who waits
	table.Release(time.Second, s, Reusable)
	for _, at := range []time.Duration{5, 8} {
		got, _, _ := table.Acquire(at*time.Second, n, false)
		if got != s {
			t.Fatalf("at %d s it is not handed out", at)
		}
		table.Release(at*time.Second, s, Unused)
	}
	if got, _, _ := table.Acquire(10*time.Second, n, false); got == s {
		t.Error("a connection that has stood idle for 9 s of 10 is used, as if it had been used meanwhile")
	}
	if s.uses != 1 {
		t.Errorf("%d uses", s.uses)
	}
}
