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
	Errors          []error          `json:"-"` // runs that ended with an error
}

// FailedScenario is a day that did not pass, with the experiment's file that reproduces it.
type FailedScenario struct {
	Seed     uint64 `json:"seed"`
	Scenario string `json:"day"`
	Why      string `json:"why"`
	File     string `json:"file"`
}

// maxFound is the number of days that did not pass after which a hunt ends.
const maxFound = 50

// randomFleet is the day of a seed: a random mixture of faults in a fleet of random size, small enough to run within seconds.
func randomFleet(seed uint64) emulator.FleetScenario {
	rng := rand.New(rand.NewPCG(seed, 0x70726579))
	return emulator.FleetScenario{Name: fmt.Sprintf("mixed-%d", seed), Kind: emulator.MixedScenario, Agents: 20 + rng.IntN(180), Nodes: 12 + rng.IntN(88)}
}

// Hunt runs random days of whole fleets with the agent's decisions in simulated time, for seed and those after it. It ends with the context,
// after maxRuns days (0: no limit), or when maxFound did not pass the gate. Each of these is left in dir as an experiment's file that
// reproduces it. Progress goes to out.
func Hunt(ctx context.Context, seed, maxRuns uint64, dir string, out io.Writer) (HuntResult, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return HuntResult{}, fmt.Errorf("the folder for what is found: %w", err)
	}
	var mu sync.Mutex
	var hunted HuntResult
	var next atomic.Uint64
	var workers sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		workers.Go(func() {
			for ctx.Err() == nil {
				number := next.Add(1)
				if maxRuns > 0 && number > maxRuns {
					return
				}
				daySeed := seed + number - 1
				why, err := runRandomFleet(daySeed)
				mu.Lock()
				hunted.Runs++
				switch {
				case err != nil:
					hunted.Errors = append(hunted.Errors, fmt.Errorf("seed %d: %w", daySeed, err))
				case why != "" && len(hunted.FailedScenarios) < maxFound:
					found, err := saveFound(daySeed, why, dir)
					if err != nil {
						hunted.Errors = append(hunted.Errors, err)
					}
					hunted.FailedScenarios = append(hunted.FailedScenarios, found)
					fmt.Fprintf(out, "FOUND seed %d, %s: %s (%s)\n", daySeed, found.Scenario, why, found.File)
				}
				full := len(hunted.FailedScenarios) == maxFound || len(hunted.Errors) == maxFound
				mu.Unlock()
				if full {
					return
				}
			}
		})
	}
	workers.Wait()
	fmt.Fprintf(out, "%d days played, %d did not pass\n", hunted.Runs, len(hunted.FailedScenarios))
	return hunted, errors.Join(hunted.Errors...)
}

// runRandomFleet runs the day of a seed and returns why it did not pass the gate, or "". A panic of the decision module is a reason, too.
func runRandomFleet(seed uint64) (why string, err error) {
	defer func() {
		if panicValue := recover(); panicValue != nil {
			why = fmt.Sprintf("the decisions crashed: %v\n%s", panicValue, debug.Stack())
		}
	}()
	fleet := randomFleet(seed)
	spec := fleet.Spec(seed)
	day, err := spec.Draw(seed)
	if err != nil {
		return "", err
	}
	variants := []VariantSpec{{Name: "agent", Kind: AgentKind}, {Name: "late", Kind: DelayedOracle}}
	var outcomes []Outcome
	for _, variant := range variants {
		outcome, err := Simulate(day, variant.resolve("agent"))
		if err != nil {
			return "", err
		}
		outcomes = append(outcomes, outcome)
	}
	for _, row := range gate(outcomes, variants, nil) {
		if !row.Passed {
			return fmt.Sprintf("%s: served %.3f, wanted %.3f", row.FailureReason, row.Served, row.Wanted), nil
		}
	}
	return "", nil
}

const foundFile = `# Found by a hunt: %s
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

// saveFound writes the experiment's file that reproduces a day.
func saveFound(seed uint64, why, dir string) (FailedScenario, error) {
	fleet := randomFleet(seed)
	file := filepath.Join(dir, fmt.Sprintf("found-%d.toml", seed))
	first, _, _ := strings.Cut(why, "\n")
	text := fmt.Sprintf(foundFile, first, seed, seed, fleet.Name, fleet.Kind, fleet.Agents, fleet.Nodes)
	return FailedScenario{Seed: seed, Scenario: fleet.String(), Why: why, File: file}, replace(file, []byte(text))
}
