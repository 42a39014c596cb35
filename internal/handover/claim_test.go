package handover

import (
	"context"
	"errors"
	"testing"
	"time"
)

// Two processes of an agent must not both take the larger part of what they share, and the second must get it when the first ends.
func TestOnlyOneProcessHoldsTheClaim(t *testing.T) {
	dir := t.TempDir()
	first, err := TryClaim(dir)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := TryClaim(dir); !errors.Is(err, ErrClaimed) {
		t.Errorf("second claim: %v", err)
	}
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	if AwaitClaim(ended, dir) != nil {
		t.Error("the claim was taken twice")
	}
	time.AfterFunc(10*time.Millisecond, first.Release)
	second := AwaitClaim(t.Context(), dir)
	defer second.Release()
	if _, err := TryClaim(dir); !errors.Is(err, ErrClaimed) {
		t.Errorf("third claim: %v", err)
	}
}
