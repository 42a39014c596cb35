package soak

import (
	"testing"
	"time"
)

// A seed draws the same plan each time, another seed another one; faults overlap in each.
func TestPlanFollowsFromTheSeed(t *testing.T) {
	plans := map[string]bool{}
	for seed := range uint64(50) {
		p := Draw(seed, 30*time.Second, nil)
		text := p.Describe()
		if again := Draw(seed, 30*time.Second, nil).Describe(); again != text {
			t.Fatalf("seed %d draws\n%s\nand\n%s", seed, text, again)
		}
		plans[text] = true
		overlap := 0
		for i, a := range p.Faults {
			if a.Start < quietStart || a.Start > p.Length {
				t.Errorf("seed %d: %v is outside of the run", seed, a)
			}
			for _, b := range p.Faults[i+1:] {
				if b.Start < a.Start+a.Duration {
					overlap++
				}
			}
		}
		if overlap < 5 {
			t.Errorf("seed %d: %d faults overlap", seed, overlap)
		}
	}
	if len(plans) != 50 {
		t.Errorf("50 seeds draw %d plans", len(plans))
	}
}

// Every kind of fault is drawn by some seed, and kinds can be left out.
func TestAllKindsAreDrawn(t *testing.T) {
	seen := map[FaultKind]bool{}
	for seed := range uint64(60) {
		for _, fault := range Draw(seed, time.Minute, nil).Faults {
			seen[fault.Kind] = true
		}
		for _, fault := range Draw(seed, time.Minute, FaultKinds{AgentTerm, PathCut}).Faults {
			if fault.Kind != AgentTerm && fault.Kind != PathCut {
				t.Errorf("seed %d drew %v", seed, fault)
			}
		}
	}
	for _, kind := range drawnFaultKinds {
		if !seen[kind] {
			t.Errorf("no seed drew %s", kind)
		}
	}
}
