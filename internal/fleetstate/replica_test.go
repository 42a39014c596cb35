package fleetstate

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var epoch = time.UnixMilli(1_800_000_000_000)

// someFact draws a well-formed fact. It has few possible keys, so that copies of the same fact often differ.
func someFact() *rapid.Generator[Fact] {
	return rapid.Custom(func(t *rapid.T) Fact {
		f := Fact{Key: Key{Server: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "server"), Started: rapid.Int64Range(0, 1).Draw(t, "life")},
			Timestamp: timestampOf(epoch.Add(time.Duration(rapid.IntRange(0, 3).Draw(t, "ms"))*time.Millisecond)) + Timestamp(rapid.IntRange(0, 1).Draw(t, "counter")),
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

// merged returns the facts of a new replica after merging the sets one after the other.
func merged(sets ...[]Fact) []Fact {
	replica := NewReplica(DefaultLimits())
	for _, set := range sets {
		replica.Merge(epoch, set)
	}
	return replica.Facts()
}

// Facts arrive in any order and any number of times. Merging must be a join, so that the result is always the same.
func TestMergeIsCommutativeAssociativeAndIdempotent(t *testing.T) {
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

// Replicas write facts, and the deltas arrive in any order, twice or never. Once each replica has merged the whole state of the others, in
// any order, all must be equal.
func TestReplicasConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 4).Draw(t, "replicas")
		replicas := make([]*Replica, n)
		for i := range replicas {
			replicas[i] = NewReplica(DefaultLimits())
		}
		var sent []Fact
		now := epoch
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			i := rapid.IntRange(0, n-1).Draw(t, "who")
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "later")) * time.Millisecond)
			// Clocks differ by up to a second.
			own := now.Add(time.Duration(i) * 300 * time.Millisecond)
			if len(sent) > 0 && rapid.Bool().Draw(t, "delivery") {
				replicas[i].Merge(own, []Fact{rapid.SampledFrom(sent).Draw(t, "delta")})
				continue
			}
			name := fmt.Sprint("agent-", i)
			key := Key{Kind: Suspicion, Server: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "server"), Origin: name}
			value := rapid.Int64Range(0, 3).Draw(t, "value")
			if rapid.Bool().Draw(t, "notice") {
				key.Kind, value = Notice, max(1, value%3)
			}
			if f, fresh := replicas[i].Put(own, key, value, name); fresh {
				sent = append(sent, f)
			}
		}
		for range 2 { // push/pull exchanges along a ring, twice around
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

// A suspicion is withdrawn, and an older copy of it arrives late. The copy must not restore the suspicion, and a fact whose lifetime has
// ended must not be accepted either.
func TestWithdrawnSuspicionStaysWithdrawnUntilItExpires(t *testing.T) {
	replica := NewReplica(DefaultLimits())
	key := Key{Kind: Suspicion, Server: "a", Origin: "x"}
	first, _ := replica.Put(epoch, key, 2, "x")
	replica.Put(epoch.Add(time.Second), key, 0, "x")
	if fresh := replica.Merge(epoch.Add(2*time.Second), []Fact{first}); len(fresh) > 0 {
		t.Errorf("an older copy restored the suspicion: %v", fresh)
	}
	late := epoch.Add(time.Second + DefaultLimits().SuspicionTTL)
	replica.Expire(late)
	if f := replica.Stats(); f.Facts != 0 || f.Expired != 1 || f.Stale != 1 {
		t.Errorf("%+v", f)
	}
	if fresh := replica.Merge(late, []Fact{first}); len(fresh) > 0 {
		t.Errorf("accepted after the end of its lifetime: %v", fresh)
	}
}

// A peer sends facts that are malformed, have a timestamp far ahead or carry another agent's name, and it floods the replica. The former
// must be rejected and counted, and the number of suspicions of each origin must be limited. A full replica must drop its oldest facts.
func TestReplicaRejectsBadFactsAndBoundsTheRest(t *testing.T) {
	limits := DefaultLimits()
	limits.MaxSuspicions, limits.MaxSuspicionsPerOrigin, limits.MaxNotices = 6, 4, 2
	replica := NewReplica(limits)
	at := timestampOf(epoch)
	bad := []Fact{{}, {Key: Key{Kind: 9, Server: "a"}, Timestamp: at}, {Key: Key{Kind: Suspicion, Server: "a", Origin: "x"}, Reporter: "y", Timestamp: at},
		{Key: Key{Kind: Notice, Server: "a", Origin: "x"}, Value: 7, Reporter: "x", Timestamp: at}, {Key: Key{Kind: Notice, Server: "", Origin: "x"}, Value: Removed, Reporter: "x", Timestamp: at},
		{Key: Key{Kind: Notice, Server: "a", Origin: "x"}, Value: Removed, Reporter: "x", Timestamp: timestampOf(epoch.Add(time.Hour))}}
	if fresh := replica.Merge(epoch, bad); len(fresh) > 0 || replica.Stats().Rejected != int64(len(bad)) {
		t.Errorf("%v %+v", fresh, replica.Stats())
	}
	flood := func(origin string, n int) {
		for i := range n {
			replica.Merge(epoch, []Fact{{Key: Key{Kind: Suspicion, Server: fmt.Sprint("s", i), Origin: origin}, Value: 1, Reporter: origin, Timestamp: at + Timestamp(i)}})
		}
	}
	flood("x", 10)
	if f := replica.Stats(); f.Facts != 4 || f.Rejected != int64(len(bad))+6 {
		t.Errorf("%+v", f)
	}
	flood("y", 4)
	if f := replica.Stats(); f.Facts != 6 || f.Evicted != 2 {
		t.Errorf("%+v", f)
	}
}
