package fleetstate

import (
	"testing"
	"time"
)

// Agents are notified that an incarnation ends. It counts from the second one on, as far as both say. What a third adds is not sent on,
// and the two earliest stay, whatever the order in which their notices come.
func TestNoticeNeedsTwoAgents(t *testing.T) {
	replica, incarnation := NewReplica(DefaultLimits()), Incarnation{Server: "a"}
	put := func(who string, state int64, at time.Duration) (news bool) {
		f := Fact{Key: Key{Kind: Notice, Server: "a", Origin: who}, Value: state, Reporter: who, Timestamp: timestampOf(epoch.Add(at))}
		return len(replica.Merge(epoch.Add(at), []Fact{f})) > 0
	}
	if !put("x", Removed, 30*time.Millisecond) || replica.NoticeState(incarnation) != 0 || len(replica.ConfirmedNotices(epoch)) != 0 {
		t.Error("one agent's notice counts, or is not sent on")
	}
	if !put("y", Draining, 20*time.Millisecond) || replica.NoticeState(incarnation) != Draining {
		t.Errorf("two say that it drains, and it counts as %d", replica.NoticeState(incarnation))
	}
	if put("z", Draining, 10*time.Millisecond) || replica.NoticeState(incarnation) != Draining || !replica.FirstNoticed(incarnation).Equal(epoch.Add(10*time.Millisecond)) {
		t.Errorf("a third is news, or does not count as the first notified: %v", replica.FirstNoticed(incarnation))
	}
	if !put("y", Removed, 40*time.Millisecond) || replica.NoticeState(incarnation) != Removed {
		t.Errorf("two say that it is removed, and it counts as %d", replica.NoticeState(incarnation))
	}
	if _, sent := replica.Put(epoch, Key{Kind: Notice, Server: "a", Origin: "me"}, Removed, "me"); sent || replica.Stats().Facts != confirmations {
		t.Errorf("a confirmed notice is sent again, or stored: %+v", replica.Stats())
	}
}
