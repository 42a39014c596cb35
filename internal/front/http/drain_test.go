package http

import (
	"testing"
	"time"

	"ryeweir/internal/httpmsg"
)

// The platform allows 4 s until an idle connection closes in a drain, and 3 s until a request is answered. Idle connections must
// close well before that, and no timeout for reading a request may be that long.
func TestDrainTimingStaysWithinPlatformLimits(t *testing.T) {
	if headerTimeout >= 3*time.Second || httpmsg.UploadStallTimeout >= 3*time.Second {
		t.Errorf("head timeout %v, body stall timeout %v; both must be below the 3 s in which a request must be answered", headerTimeout, httpmsg.UploadStallTimeout)
	}
	if drainIdleTimeout+drainSweepInterval > 2*time.Second {
		t.Errorf("an idle connection may stay open for %v in a drain, want at most 2 s", drainIdleTimeout+drainSweepInterval)
	}
}

// Shutting down is final: an operator can't put a terminating process back into service.
func TestShutdownIsFinal(t *testing.T) {
	l := newLifecycle()
	for _, next := range []phase{phaseDraining, phaseDraining, phaseServing, phaseDraining} {
		if err := l.moveTo(next); err != nil || l.draining() != (next == phaseDraining) {
			t.Errorf("moveTo(%d): %v", next, err)
		}
	}
	l.shutDown()
	if l.moveTo(phaseServing) == nil || !l.draining() {
		t.Error("the server left the shutting-down phase")
	}
}
