package soak

import (
	"testing"
	"time"
)

// A failed run can be repeated only if equal seeds draw equal plans. Different seeds draw different plans, and each plan has overlapping
// faults within the length of the run.
func TestDrawIsDeterministic(t *testing.T) {
	plans := map[string]bool{}
	for seed := range uint64(50) {
		p := Draw(seed, 30*time.Second, nil)
		text := p.Describe()
		if again := Draw(seed, 30*time.Second, nil).Describe(); again != text {
			t.Fatalf("seed %d draws two different plans:\n%s\nand\n%s", seed, text, again)
		}
		plans[text] = true
		overlap := 0
		for i, a := range p.Faults {
			if a.Start < quietStart || a.Start > p.Length {
				t.Errorf("seed %d: fault %v starts outside of the run", seed, a)
			}
			for _, b := range p.Faults[i+1:] {
				if b.Start < a.Start+a.Duration {
					overlap++
				}
			}
		}
		if overlap < 5 {
			t.Errorf("seed %d: %d pairs of faults overlap, want at least 5", seed, overlap)
		}
	}
	if len(plans) != 50 {
		t.Errorf("50 seeds draw %d different plans, want 50", len(plans))
	}
}

// Each kind of fault is drawn by some seed, and a restriction to some kinds is kept.
func TestDrawCoversAllFaultKinds(t *testing.T) {
	seen := map[FaultKind]bool{}
	for seed := range uint64(60) {
		for _, fault := range Draw(seed, time.Minute, nil).Faults {
			seen[fault.Kind] = true
		}
		for _, fault := range Draw(seed, time.Minute, FaultKinds{AgentTerm, PathCut}).Faults {
			if fault.Kind != AgentTerm && fault.Kind != PathCut {
				t.Errorf("seed %d drew %v, which is of a kind that is not allowed", seed, fault)
			}
		}
	}
	for _, kind := range drawnFaultKinds {
		if !seen[kind] {
			t.Errorf("none of 60 seeds drew a fault of kind %s", kind)
		}
	}
}
