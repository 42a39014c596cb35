package experiment

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"

	"ryeweir/internal/emulator"
)

// HuntResult is the result of Hunt.
type HuntResult struct {
	Runs            int              `json:"played"`
	FailedScenarios []FailedScenario `json:"found,omitempty"`
	Errors          []error          `json:"-"` // of runs that could not be completed, and of writing files
}

// FailedScenario is a random scenario that did not pass the gate.
type FailedScenario struct {
	Seed     uint64 `json:"seed"`
	Scenario string `json:"day"`
	Reason   string `json:"why"`
	File     string `json:"file"` // an experiment's file that reproduces it
}

// maxFailedScenarios is the number of scenarios that did not pass, or of errors, after which a hunt ends.
const maxFailedScenarios = 50

// randomFleet returns the scenario for a seed: random faults in a fleet of random size, small enough to run within seconds.
func randomFleet(seed uint64) emulator.FleetScenario {
	rng := rand.New(rand.NewPCG(seed, 0x70726579))
	return emulator.FleetScenario{Name: fmt.Sprintf("mixed-%d", seed), Kind: emulator.MixedScenario, Agents: 20 + rng.IntN(180), Nodes: 12 + rng.IntN(88)}
}

// Hunt runs random fleet scenarios with the agent's decisions in simulated time, with the seeds from seed on. It ends when ctx ends, after
// maxRuns scenarios (0: no limit), or when maxFailedScenarios did not pass the gate. For each of these Hunt writes an experiment's file
// that reproduces it to dir. Hunt writes its progress to out.
func Hunt(ctx context.Context, seed, maxRuns uint64, dir string, out io.Writer) (HuntResult, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return HuntResult{}, fmt.Errorf("creating the folder for the files of failed scenarios: %w", err)
	}
	var mu sync.Mutex
	var result HuntResult
	var next atomic.Uint64
	var workers sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		workers.Go(func() {
			for ctx.Err() == nil {
				number := next.Add(1)
				if maxRuns > 0 && number > maxRuns {
					return
				}
				scenarioSeed := seed + number - 1
				reason, err := runRandomFleet(scenarioSeed)
				mu.Lock()
				result.Runs++
				switch {
				case err != nil:
					result.Errors = append(result.Errors, fmt.Errorf("seed %d: %w", scenarioSeed, err))
				case reason != "" && len(result.FailedScenarios) < maxFailedScenarios:
					failed, err := saveFailedScenario(scenarioSeed, reason, dir)
					if err != nil {
						result.Errors = append(result.Errors, err)
					}
					result.FailedScenarios = append(result.FailedScenarios, failed)
					fmt.Fprintf(out, "FOUND seed %d, %s: %s (%s)\n", scenarioSeed, failed.Scenario, reason, failed.File)
				}
				full := len(result.FailedScenarios) == maxFailedScenarios || len(result.Errors) == maxFailedScenarios
				mu.Unlock()
				if full {
					return
				}
			}
		})
	}
	workers.Wait()
	fmt.Fprintf(out, "%d scenarios run, %d did not pass the gate\n", result.Runs, len(result.FailedScenarios))
	return result, errors.Join(result.Errors...)
}

// runRandomFleet runs the scenario for a seed and returns why it did not pass the gate, or "" if it passed. A panic of the decision module
// counts as not passed.
func runRandomFleet(seed uint64) (reason string, err error) {
	defer func() {
		if panicValue := recover(); panicValue != nil {
			reason = fmt.Sprintf("panic in the decision module: %v\n%s", panicValue, debug.Stack())
		}
	}()
	fleet := randomFleet(seed)
	spec := fleet.Spec(seed)
	scenario, err := spec.Draw(seed)
	if err != nil {
		return "", err
	}
	variants := []VariantSpec{{Name: "agent", Kind: AgentKind}, {Name: "late", Kind: DelayedOracle}}
	var outcomes []Outcome
	for _, variant := range variants {
		outcome, err := Simulate(scenario, variant.resolve("agent"))
		if err != nil {
			return "", err
		}
		outcomes = append(outcomes, outcome)
	}
	for _, row := range gate(outcomes, variants, nil) {
		if !row.Passed {
			return fmt.Sprintf("%s: served %.3f, want at least %.3f", row.FailureReason, row.Served, row.Wanted), nil
		}
	}
	return "", nil
}

// failedScenarioFile is the format of the experiment's file for a scenario that did not pass the gate.
const failedScenarioFile = `# Found by a hunt: %s
name = "found-%d"
repeats = 1
seed = %d
simulated = true
gate = true

[[arm]]
name = "agent"
kind = "agent"

[[arm]]
name = "late"
kind = "late"

[[fleet_day]]
name = %q
kind = %q
agents = %d
nodes = %d
`

// saveFailedScenario writes the experiment's file that reproduces the scenario for a seed to dir.
func saveFailedScenario(seed uint64, reason, dir string) (FailedScenario, error) {
	fleet := randomFleet(seed)
	file := filepath.Join(dir, fmt.Sprintf("found-%d.toml", seed))
	first, _, _ := strings.Cut(reason, "\n")
	text := fmt.Sprintf(failedScenarioFile, first, seed, seed, fleet.Name, fleet.Kind, fleet.Agents, fleet.Nodes)
	return FailedScenario{Seed: seed, Scenario: fleet.String(), Reason: reason, File: file}, replace(file, []byte(text))
}
