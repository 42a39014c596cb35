package http

import (
	"testing"
	"time"

	"ryeweir/internal/httpmsg"
)

// The platform's limits are 4 s for a connection that stays idle in a drain, and 3 s for the answer to a request. Idle connections
// close well before that, and no read of a request may wait as long.
func TestDrainTimingKeepsThePlatformsLimits(t *testing.T) {
	if headerTimeout >= 3*time.Second || httpmsg.UploadStallTimeout >= 3*time.Second {
		t.Errorf("a head may take %v, a pause in a body %v, where an answer must come in 3 s", headerTimeout, httpmsg.UploadStallTimeout)
	}
	if drainIdleTimeout+drainSweepInterval > 2*time.Second {
		t.Errorf("a connection may be idle for %v", drainIdleTimeout+drainSweepInterval)
	}
}

// Shutting down is final: no operator brings back a process that is about to end.
func TestShutdownIsFinal(t *testing.T) {
	l := newLifecycle()
	for _, next := range []phase{phaseDraining, phaseDraining, phaseServing, phaseDraining} {
		if err := l.moveTo(next); err != nil || l.draining() != (next == phaseDraining) {
			t.Errorf("to %d: %v", next, err)
		}
	}
	l.shutDown()
	if l.moveTo(phaseServing) == nil || !l.draining() {
		t.Error("the server came back from shutting down")
	}
}
