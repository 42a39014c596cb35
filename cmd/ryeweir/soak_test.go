package main

import (
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"ryeweir/internal/soak"
)

// soakLength is the length of the runs that must break no rule.
const soakLength = 13 * time.Second

// The soak must find bugs that are planted in the agents, each by one of the rules that it breaks. Otherwise a soak without violations would
// prove nothing.
func TestSoakNoticesPlantedFaults(t *testing.T) {
	t.Setenv("RYEWEIR_AS_PROGRAM", "1")
	t.Run("each", func(t *testing.T) {
		for fault, expected := range map[string]struct {
			rules  []string
			length time.Duration
		}{
			"drop 0.03":      {[]string{"lost"}, 7 * time.Second},
			"duplicate 0.05": {[]string{"duplicate"}, 7 * time.Second},
			"deaf 0.5":       {[]string{"drain", "not notified"}, soakLength}, // while all endpoints are in slow start, few attempts meet a drain
			"wrong 0.05":     {[]string{"wrong answer"}, 7 * time.Second},
			"late 0.1":       {[]string{"deadline", "sent after leave", "invariant"}, 7 * time.Second},
			"overstate 0.1":  {[]string{"deadline"}, 7 * time.Second},
		} {
			t.Run(strings.Fields(fault)[0], func(t *testing.T) {
				t.Parallel()
				plan := soak.Draw(5, expected.length, soak.FaultKinds{soak.ServerDrain, soak.DiskFails})
				r := runPlan(t, plan, fault)
				seen := map[string]bool{}
				for _, v := range r.Violations {
					seen[v.Rule] = true
				}
				for _, rule := range expected.rules {
					if seen[rule] {
						return
					}
				}
				t.Errorf("of %d requests none broke one of the rules %q; other violations: %d", r.Requests, expected.rules, len(r.Violations))
			})
		}
	})
}

// Short runs with the deployed program at the least memory of the platform's pages must break no rule: the race detector's memory is not that of a
// deployed agent. The plans hold crowds, floods, throttled agents and replaced servers.
func TestSoakHoldsAtTheLeastMemory(t *testing.T) {
	program, err := plainProgram()
	if err != nil {
		t.Fatal(err)
	}
	strains := soak.FaultKinds{soak.StrainingCrowd, soak.StrainingCrowd, soak.RequestFlood, soak.AgentThrottle, soak.ServerReplaced, soak.ClientBurst, soak.AgentTerm, soak.ServerMode}
	for _, seed := range []uint64{3, 8} {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			plan := soak.Draw(seed, soakLength, strains)
			plan.MemoryMB = 32
			r, err := soak.Run(t.Context(), plan, soak.Options{Program: program, MemoryChecked: true, Dir: t.TempDir()})
			if err != nil {
				t.Fatal(err)
			}
			t.Logf("%d processes, %d requests, %d served, largest agent %d kB, soak process delayed by up to %v", r.Processes, r.Requests, r.Served, r.MaxRSS>>10, r.Lag)
			if len(r.Violations) > 0 {
				t.Log(plan.Describe())
			}
			for _, v := range r.Violations[:min(len(r.Violations), 10)] {
				t.Error(v)
			}
		})
	}
}

// runPlan runs a plan with this test binary as the program; the caller sets RYEWEIR_AS_PROGRAM. plant lists bugs to plant in the agents.
func runPlan(t *testing.T, plan *soak.Plan, plant ...string) soak.Result {
	t.Helper()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	r, err := soak.Run(t.Context(), plan, soak.Options{Program: self, Dir: t.TempDir(), PlantedFaults: plant})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// Two short runs with overlapping faults must break no rule, and the agents' own counts of violated invariants must be 0. Longer runs with
// other seeds are left to ryeweir soak. If a rule is broken, the test's log has the plan.
func TestSoakHolds(t *testing.T) {
	t.Setenv("RYEWEIR_AS_PROGRAM", "1")
	t.Run("each", func(t *testing.T) {
		for _, seed := range []uint64{7, 12} {
			t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
				t.Parallel()
				plan := soak.Draw(seed, soakLength, nil)
				r := runPlan(t, plan)
				t.Logf("%d processes, %d requests, %d served, soak process delayed by up to %v", r.Processes, r.Requests, r.Served, r.Lag)
				if r.Served < r.Requests/3 {
					t.Errorf("of %d requests only %d were served", r.Requests, r.Served)
				}
				if len(r.Violations) > 0 {
					t.Log(plan.Describe())
				}
				for _, v := range r.Violations[:min(len(r.Violations), 10)] {
					t.Error(v)
				}
			})
		}
	})
}
