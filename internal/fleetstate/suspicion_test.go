package fleetstate

import (
	"testing"
)

// One agent suspects an endpoint, however many failures it claims: nobody else does. Two agents are enough if they are live and suspect no
// more than half of the endpoints.
func TestSuspicionNeedsTwoLiveAgents(t *testing.T) {
	replica := NewReplica(DefaultLimits())
	incarnation := Incarnation{Server: "a"}
	put := func(who, server string, n int64) {
		replica.Put(epoch, Key{Kind: Suspicion, Server: server, Origin: who}, n, who)
	}
	suspected := func(live ...string) bool {
		known := map[string]bool{}
		for _, who := range live {
			known[who] = true
		}
		return replica.Suspected(epoch, known, 4)[incarnation]
	}
	put("x", "a", 1000)
	if suspected("x", "y") {
		t.Error("one agent is enough")
	}
	put("y", "a", 1)
	if !suspected("x", "y") || suspected("x") {
		t.Errorf("two agents: %v, without y %v", suspected("x", "y"), suspected("x"))
	}
	put("x", "b", 1)
	put("x", "c", 1)
	if suspected("x", "y") {
		t.Error("one that suspects three of four servers counts")
	}
	put("x", "b", 0)
	if !suspected("x", "y") {
		t.Error("what was withdrawn counts among what it suspects")
	}
	put("x", "a", 0)
	if suspected("x", "y") {
		t.Error("still, after it was withdrawn")
	}
}
