package fleetstate

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var epoch = time.UnixMilli(1_800_000_000_000)

// someFact draws a fact that is well-formed, of few keys, so that copies differ often.
func someFact() *rapid.Generator[Fact] {
	return rapid.Custom(func(t *rapid.T) Fact {
		f := Fact{Key: Key{Server: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "server"), Started: rapid.Int64Range(0, 1).Draw(t, "life")},
			Timestamp: stampOf(epoch.Add(time.Duration(rapid.IntRange(0, 3).Draw(t, "ms"))*time.Millisecond)) + Timestamp(rapid.IntRange(0, 1).Draw(t, "counter")),
			Reporter:  rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "by")}
		f.Origin = f.Reporter
		if f.Kind = Notice; rapid.Bool().Draw(t, "suspicion") {
			f.Kind, f.Value = Suspicion, rapid.Int64Range(0, 4).Draw(t, "wrong")
		} else {
			f.Value = rapid.SampledFrom([]int64{Draining, Removed}).Draw(t, "state")
		}
		return f
	})
}

func merged(sets ...[]Fact) []Fact {
	s := NewReplica(DefaultLimits())
	for _, set := range sets {
		s.Merge(epoch, set)
	}
	return s.Facts()
}

// Merging is commutative, associative and idempotent.
func TestMergeIsAJoin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sets := rapid.SliceOfN(rapid.SliceOfN(someFact(), 0, 12), 3, 3).Draw(t, "sets")
		a, b, c := sets[0], sets[1], sets[2]
		if x, y := merged(a, b), merged(b, a); !reflect.DeepEqual(x, y) {
			t.Fatalf("not commutative: %v and %v", x, y)
		}
		if x, y := merged(merged(a, b), c), merged(a, merged(b, c)); !reflect.DeepEqual(x, y) {
			t.Fatalf("not associative: %v and %v", x, y)
		}
		if x, y := merged(a), merged(a, a); !reflect.DeepEqual(x, y) {
			t.Fatalf("not idempotent: %v and %v", x, y)
		}
	})
}

// Replicas that each write, and whose deltas come in any order, twice, or never, are equal once each has been merged with the
// others' whole state in some order.
func TestReplicasConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 4).Draw(t, "replicas")
		replicas := make([]*Replica, n)
		for i := range replicas {
			replicas[i] = NewReplica(DefaultLimits())
		}
		var told []Fact
		now := epoch
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			i := rapid.IntRange(0, n-1).Draw(t, "who")
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "later")) * time.Millisecond)
			// Clocks differ by up to a second.
			own := now.Add(time.Duration(i) * 300 * time.Millisecond)
			if len(told) > 0 && rapid.Bool().Draw(t, "delivery") {
				replicas[i].Merge(own, []Fact{rapid.SampledFrom(told).Draw(t, "delta")})
				continue
			}
			name := fmt.Sprint("agent-", i)
			key := Key{Kind: Suspicion, Server: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "server"), Origin: name}
			value := rapid.Int64Range(0, 3).Draw(t, "value")
			if rapid.Bool().Draw(t, "notice") {
				key.Kind, value = Notice, max(1, value%3)
			}
			if f, fresh := replicas[i].Put(own, key, value, name); fresh {
				told = append(told, f)
			}
		}
		for range 2 { // push and pull along a ring, twice around
			for _, i := range rapid.Permutation([]int{0, 1, 2, 3}[:n]).Draw(t, "order") {
				j := (i + 1) % n
				replicas[j].Merge(now, replicas[i].Facts())
				replicas[i].Merge(now, replicas[j].Facts())
			}
		}
		for i := range n {
			for j := range n {
				replicas[i].Merge(now, replicas[j].Facts())
			}
		}
		for _, r := range replicas[1:] {
			if !reflect.DeepEqual(r.Facts(), replicas[0].Facts()) {
				t.Fatalf("%v and %v", r.Facts(), replicas[0].Facts())
			}
		}
	})
}

// A withdrawn suspicion does not come back by an older copy, and expires like any other; a fact whose time is over is refused.
func TestExpiryAndWithdrawal(t *testing.T) {
	s := NewReplica(DefaultLimits())
	key := Key{Kind: Suspicion, Server: "a", Origin: "x"}
	first, _ := s.Put(epoch, key, 2, "x")
	s.Put(epoch.Add(time.Second), key, 0, "x")
	if fresh := s.Merge(epoch.Add(2*time.Second), []Fact{first}); len(fresh) > 0 {
		t.Errorf("an older copy came back: %v", fresh)
	}
	late := epoch.Add(time.Second + DefaultLimits().SuspicionTTL)
	s.Expire(late)
	if f := s.Stats(); f.Facts != 0 || f.Expired != 1 || f.Stale != 1 {
		t.Errorf("%+v", f)
	}
	if fresh := s.Merge(late, []Fact{first}); len(fresh) > 0 {
		t.Errorf("taken after its time: %v", fresh)
	}
}

// One agent alone makes nobody suspect a server, however much it says; two do, if they are there and suspect no more than half of
// the servers.
func TestOneAgentIsNotEnough(t *testing.T) {
	s := NewReplica(DefaultLimits())
	l := Incarnation{Server: "a"}
	say := func(who, server string, n int64) {
		s.Put(epoch, Key{Kind: Suspicion, Server: server, Origin: who}, n, who)
	}
	suspected := func(there ...string) bool {
		known := map[string]bool{}
		for _, who := range there {
			known[who] = true
		}
		return s.Suspected(epoch, known, 4)[l]
	}
	say("x", "a", 1000)
	if suspected("x", "y") {
		t.Error("one agent is enough")
	}
	say("y", "a", 1)
	if !suspected("x", "y") || suspected("x") {
		t.Errorf("two agents: %v, without y %v", suspected("x", "y"), suspected("x"))
	}
	say("x", "b", 1)
	say("x", "c", 1)
	if suspected("x", "y") {
		t.Error("one that suspects three of four servers counts")
	}
	say("x", "b", 0)
	if !suspected("x", "y") {
		t.Error("what was withdrawn counts among what it suspects")
	}
	say("x", "a", 0)
	if suspected("x", "y") {
		t.Error("still, after it was withdrawn")
	}
}

// That a life ends is believed by the word of two agents, as far as both say; what a third adds is told on no more, and the two that
// were told first are kept, whatever the order in which their words come.
func TestTwoWitnesses(t *testing.T) {
	s, l := NewReplica(DefaultLimits()), Incarnation{Server: "a"}
	say := func(who string, state int64, at time.Duration) (news bool) {
		f := Fact{Key: Key{Kind: Notice, Server: "a", Origin: who}, Value: state, Reporter: who, Timestamp: stampOf(epoch.Add(at))}
		return len(s.Merge(epoch.Add(at), []Fact{f})) > 0
	}
	if !say("x", Removed, 30*time.Millisecond) || s.NoticeState(l) != 0 || len(s.ConfirmedNotices(epoch)) != 0 {
		t.Error("one agent's word is believed, or not told on")
	}
	if !say("y", Draining, 20*time.Millisecond) || s.NoticeState(l) != Draining {
		t.Errorf("two say that it drains, and it counts as %d", s.NoticeState(l))
	}
	if say("z", Draining, 10*time.Millisecond) || s.NoticeState(l) != Draining || !s.FirstNoticed(l).Equal(epoch.Add(10*time.Millisecond)) {
		t.Errorf("a third is news, or does not count as the first told: %v", s.FirstNoticed(l))
	}
	if !say("y", Removed, 40*time.Millisecond) || s.NoticeState(l) != Removed {
		t.Errorf("two say that it is gone, and it counts as %d", s.NoticeState(l))
	}
	if _, told := s.Put(epoch, Key{Kind: Notice, Server: "a", Origin: "me"}, Removed, "me"); told || s.Stats().Facts != witnesses {
		t.Errorf("what is believed is told again, or kept: %+v", s.Stats())
	}
}

// What is malformed, of a clock far ahead, or told in another's name is refused and counted; a flood of one agent is bounded;
// a full replica drops its oldest.
func TestBounds(t *testing.T) {
	set := DefaultLimits()
	set.MaxSuspicions, set.MaxSuspicionsPerOrigin, set.MaxNotices = 6, 4, 2
	s := NewReplica(set)
	at := stampOf(epoch)
	bad := []Fact{{}, {Key: Key{Kind: 9, Server: "a"}, Timestamp: at}, {Key: Key{Kind: Suspicion, Server: "a", Origin: "x"}, Reporter: "y", Timestamp: at},
		{Key: Key{Kind: Notice, Server: "a", Origin: "x"}, Value: 7, Reporter: "x", Timestamp: at}, {Key: Key{Kind: Notice, Server: "", Origin: "x"}, Value: Removed, Reporter: "x", Timestamp: at},
		{Key: Key{Kind: Notice, Server: "a", Origin: "x"}, Value: Removed, Reporter: "x", Timestamp: stampOf(epoch.Add(time.Hour))}}
	if fresh := s.Merge(epoch, bad); len(fresh) > 0 || s.Stats().Rejected != int64(len(bad)) {
		t.Errorf("%v %+v", fresh, s.Stats())
	}
	flood := func(who string, n int) {
		for i := range n {
			s.Merge(epoch, []Fact{{Key: Key{Kind: Suspicion, Server: fmt.Sprint("s", i), Origin: who}, Value: 1, Reporter: who, Timestamp: at + Timestamp(i)}})
		}
	}
	flood("x", 10)
	if f := s.Stats(); f.Facts != 4 || f.Rejected != int64(len(bad))+6 {
		t.Errorf("%+v", f)
	}
	flood("y", 4)
	if f := s.Stats(); f.Facts != 6 || f.Evicted != 2 {
		t.Errorf("%+v", f)
	}
}

// Peers' word of a drain goes before the own list, but not for ever, not for more than half of the servers, and not for
// another life.
func TestOverlay(t *testing.T) {
	a, b, c := Incarnation{"a", 1}, Incarnation{"b", 1}, Incarnation{"c", 1}
	ready := map[Incarnation]bool{a: true, b: true, c: true}
	o := NewDrainOverlay(10 * time.Second)
	if held, changed := o.Update(epoch, ready, map[Incarnation]int64{a: Draining, {"b", 2}: Removed}); !changed || len(held) != 1 || !o.Drained(a) {
		t.Errorf("held %v, changed %v", held, changed)
	}
	if held, _ := o.Update(epoch, ready, map[Incarnation]int64{a: Draining, b: Removed}); len(held) != 0 {
		t.Errorf("two of three are held: %v", held)
	}
	if held, _ := o.Update(epoch.Add(11*time.Second), ready, map[Incarnation]int64{a: Draining}); len(held) != 0 {
		t.Errorf("against the own list for ever: %v", held)
	}
	delete(ready, a)
	o.Update(epoch.Add(12*time.Second), ready, nil)
	ready[a] = true
	if held, _ := o.Update(epoch.Add(13*time.Second), ready, map[Incarnation]int64{a: Draining}); len(held) != 1 {
		t.Errorf("a life that was listed as ready again is not believed: %v", held)
	}
}

// Doubts are told when they change, withdrawn when an attempt goes well, and told anew when they go on after their lifetime.
func TestDoubts(t *testing.T) {
	d, l, lifetime := NewFailureReporter(2), Incarnation{"a", 1}, 5*time.Second
	told := func(at time.Duration) []FailureReport { return d.Reports(epoch.Add(at), 10, lifetime) }
	d.AttemptEnded(l, false)
	if x := told(0); len(x) != 1 || x[0] != (FailureReport{l, 1}) {
		t.Errorf("%v", x)
	}
	for range 5 {
		d.AttemptEnded(l, false)
	}
	if x := told(time.Second); len(x) != 1 || x[0].Failures != countedEach {
		t.Errorf("%v", x)
	}
	if x := told(2 * time.Second); len(x) != 0 {
		t.Errorf("told again: %v", x)
	}
	d.AttemptEnded(l, true)
	if x := told(3 * time.Second); len(x) != 1 || x[0].Failures != 0 {
		t.Errorf("not withdrawn: %v", x)
	}
	for _, server := range []string{"a", "b", "c"} {
		d.AttemptEnded(Incarnation{server, 1}, false)
	}
	if x := told(4 * time.Second); len(x) != 2 {
		t.Errorf("bound of two lives: %v", x)
	}
	if told(20 * time.Second); len(d.lives) != 0 {
		t.Errorf("old doubts stay: %v", d.lives)
	}
}

// Who doubts most of its servers is cut off itself: it withdraws what it told of them, tells again when it doubts few, and goes on
// to be silent for as long as attempts go wrong everywhere.
func TestMostDoubtedIsOwnFault(t *testing.T) {
	d, lifetime := NewFailureReporter(100), 5*time.Second
	look := func(at time.Duration, wrong ...string) (said map[string]int64) {
		said = map[string]int64{}
		for _, server := range wrong {
			d.AttemptEnded(Incarnation{server, 1}, false)
			d.AttemptEnded(Incarnation{server, 1}, false)
		}
		for _, x := range d.Reports(epoch.Add(at), 4, lifetime) {
			said[x.Server] = x.Failures
		}
		return said
	}
	if x := look(0, "a", "b"); x["a"] != countedEach || x["b"] != countedEach {
		t.Errorf("of two of four is told %v", x)
	}
	if x := look(time.Second, "c"); len(x) != 2 || x["a"] != 0 || x["b"] != 0 || d.LastReported(Incarnation{"a", 1}) != 0 {
		t.Errorf("of three of four is told %v", x)
	}
	for at := 2 * time.Second; at < 20*time.Second; at += time.Second {
		if x := look(at, "a", "b", "c"); len(x) != 0 {
			t.Fatalf("cut off for %v it tells %v", at, x)
		}
	}
	d.AttemptEnded(Incarnation{"a", 1}, true)
	d.AttemptEnded(Incarnation{"b", 1}, true)
	if x := look(20 * time.Second); len(x) != 1 || x["c"] != countedEach {
		t.Errorf("when two are well again it tells %v", x)
	}
}
