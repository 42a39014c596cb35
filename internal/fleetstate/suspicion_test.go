package fleetstate

import (
	"testing"
)

// An endpoint must not be suspected if only one agent suspects it, however many failures that agent reports. Two agents are enough if both
// are live and suspect at most half of the endpoints.
func TestSuspicionNeedsTwoLiveAgents(t *testing.T) {
	replica := NewReplica(DefaultLimits())
	incarnation := Incarnation{Server: "a"}
	put := func(origin, server string, failures int64) {
		replica.Put(epoch, Key{Kind: Suspicion, Server: server, Origin: origin}, failures, origin)
	}
	suspected := func(live ...string) bool {
		liveAgents := map[string]bool{}
		for _, origin := range live {
			liveAgents[origin] = true
		}
		return replica.Suspected(epoch, liveAgents, 4)[incarnation]
	}
	put("x", "a", 1000)
	if suspected("x", "y") {
		t.Error("suspected by a single agent")
	}
	put("y", "a", 1)
	if !suspected("x", "y") || suspected("x") {
		t.Errorf("suspected by two live agents: %v, want true; if only one of them is live: %v, want false", suspected("x", "y"), suspected("x"))
	}
	put("x", "b", 1)
	put("x", "c", 1)
	if suspected("x", "y") {
		t.Error("the suspicion of an agent that suspects three of four endpoints counts")
	}
	put("x", "b", 0)
	if !suspected("x", "y") {
		t.Error("a withdrawn suspicion counts towards the number that an agent suspects")
	}
	put("x", "a", 0)
	if suspected("x", "y") {
		t.Error("still suspected after one of two suspicions was withdrawn")
	}
}
