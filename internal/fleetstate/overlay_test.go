package fleetstate

import (
	"testing"
	"time"
)

// Peers' notices go before the own list, but not for ever, not for more than half of the endpoints and not for another
// incarnation.
func TestOverlayTrustsPeersForALimitedTime(t *testing.T) {
	a, b, c := Incarnation{"a", 1}, Incarnation{"b", 1}, Incarnation{"c", 1}
	ready := map[Incarnation]bool{a: true, b: true, c: true}
	overlay := NewDrainOverlay(10 * time.Second)
	if drained, changed := overlay.Update(epoch, ready, map[Incarnation]int64{a: Draining, {"b", 2}: Removed}); !changed || len(drained) != 1 || !overlay.Drained(a) {
		t.Errorf("drained %v, changed %v", drained, changed)
	}
	if drained, _ := overlay.Update(epoch, ready, map[Incarnation]int64{a: Draining, b: Removed}); len(drained) != 0 {
		t.Errorf("two of three are drained: %v", drained)
	}
	if drained, _ := overlay.Update(epoch.Add(11*time.Second), ready, map[Incarnation]int64{a: Draining}); len(drained) != 0 {
		t.Errorf("against the own list for ever: %v", drained)
	}
	delete(ready, a)
	overlay.Update(epoch.Add(12*time.Second), ready, nil)
	ready[a] = true
	if drained, _ := overlay.Update(epoch.Add(13*time.Second), ready, map[Incarnation]int64{a: Draining}); len(drained) != 1 {
		t.Errorf("notices of an incarnation that was listed as ready again do not count: %v", drained)
	}
}
