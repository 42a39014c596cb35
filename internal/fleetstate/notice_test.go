package fleetstate

import (
	"testing"
	"time"
)

// Several agents send notices of one incarnation. The state must take effect only with the second notice, and only as far as both agree.
// A third notice that adds nothing must not be forwarded, and the two earliest must be kept, whatever the order in which they arrive.
func TestNoticeNeedsTwoAgents(t *testing.T) {
	replica, incarnation := NewReplica(DefaultLimits()), Incarnation{Server: "a"}
	put := func(origin string, state int64, at time.Duration) (forwarded bool) {
		f := Fact{Key: Key{Kind: Notice, Server: "a", Origin: origin}, Value: state, Reporter: origin, Timestamp: timestampOf(epoch.Add(at))}
		return len(replica.Merge(epoch.Add(at), []Fact{f})) > 0
	}
	if !put("x", Removed, 30*time.Millisecond) || replica.NoticeState(incarnation) != 0 || len(replica.ConfirmedNotices(epoch)) != 0 {
		t.Error("one agent's notice takes effect, or is not forwarded")
	}
	if !put("y", Draining, 20*time.Millisecond) || replica.NoticeState(incarnation) != Draining {
		t.Errorf("two agents report draining, and the confirmed state is %d, want Draining", replica.NoticeState(incarnation))
	}
	if put("z", Draining, 10*time.Millisecond) || replica.NoticeState(incarnation) != Draining || !replica.FirstNoticed(incarnation).Equal(epoch.Add(10*time.Millisecond)) {
		t.Errorf("a third notice is forwarded, or its earlier time is not kept: first noticed at %v", replica.FirstNoticed(incarnation))
	}
	if !put("y", Removed, 40*time.Millisecond) || replica.NoticeState(incarnation) != Removed {
		t.Errorf("two agents report removed, and the confirmed state is %d, want Removed", replica.NoticeState(incarnation))
	}
	if _, sent := replica.Put(epoch, Key{Kind: Notice, Server: "a", Origin: "me"}, Removed, "me"); sent || replica.Stats().Facts != requiredConfirmations {
		t.Errorf("Put returns a notice of a confirmed state for sending, or stores it: %+v", replica.Stats())
	}
}
