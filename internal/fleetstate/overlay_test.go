package fleetstate

import (
	"testing"
	"time"
)

// Peers' notices override the agent's own list only for a limited time, for at most half of the endpoints, and for the incarnation that
// they name.
func TestOverlayTrustsPeersForALimitedTime(t *testing.T) {
	a, b, c := Incarnation{"a", 1}, Incarnation{"b", 1}, Incarnation{"c", 1}
	ready := map[Incarnation]bool{a: true, b: true, c: true}
	overlay := NewDrainOverlay(10 * time.Second)
	if drained, changed := overlay.Update(epoch, ready, map[Incarnation]int64{a: Draining, {"b", 2}: Removed}); !changed || len(drained) != 1 || !overlay.Drained(a) {
		t.Errorf("drained %v, changed %v", drained, changed)
	}
	if drained, _ := overlay.Update(epoch, ready, map[Incarnation]int64{a: Draining, b: Removed}); len(drained) != 0 {
		t.Errorf("two of three endpoints are drained: %v", drained)
	}
	if drained, _ := overlay.Update(epoch.Add(11*time.Second), ready, map[Incarnation]int64{a: Draining}); len(drained) != 0 {
		t.Errorf("notices override the agent's own list for longer than 10 s: %v", drained)
	}
	delete(ready, a)
	overlay.Update(epoch.Add(12*time.Second), ready, nil)
	ready[a] = true
	if drained, _ := overlay.Update(epoch.Add(13*time.Second), ready, map[Incarnation]int64{a: Draining}); len(drained) != 1 {
		t.Errorf("notices are ignored after the incarnation was unlisted and then listed as ready again: %v", drained)
	}
}
