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

// Hunted is what a hunt found.
type Hunted struct {
	Played int     `json:"played"`
	Found  []Found `json:"found,omitempty"`
	Failed []error `json:"-"` // days that could not be played
}

// Found is a day that did not pass, with the file that plays it again.
type Found struct {
	Seed uint64 `json:"seed"`
	Day  string `json:"day"`
	Why  string `json:"why"`
	File string `json:"file"`
}

// mostFound is how many days a hunt keeps: with more there is something to mend first.
const mostFound = 50

// prey is the day of a seed: any mixture of what befalls a fleet, in a fleet of any size that plays within seconds.
func prey(seed uint64) emulator.FleetScenario {
	rng := rand.New(rand.NewPCG(seed, 0x70726579))
	return emulator.FleetScenario{Name: fmt.Sprintf("mixed-%d", seed), Kind: emulator.MixedScenario, Agents: 20 + rng.IntN(180), Nodes: 12 + rng.IntN(88)}
}

// Hunt plays random days of whole fleets with the agent's decisions, from a seed on, until the context ends, most days are played (0: no
// limit) or mostFound did not pass the gate. Each of these is left in dir as an experiment's file that plays it again. Progress goes to out.
func Hunt(ctx context.Context, seed, most uint64, dir string, out io.Writer) (Hunted, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return Hunted{}, fmt.Errorf("the folder for what is found: %w", err)
	}
	var mu sync.Mutex
	var h Hunted
	var next atomic.Uint64
	var players sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		players.Go(func() {
			for ctx.Err() == nil {
				n := next.Add(1)
				if most > 0 && n > most {
					return
				}
				s := seed + n - 1
				why, err := playPrey(s)
				mu.Lock()
				h.Played++
				switch {
				case err != nil:
					h.Failed = append(h.Failed, fmt.Errorf("seed %d: %w", s, err))
				case why != "" && len(h.Found) < mostFound:
					f, err := keepPrey(s, why, dir)
					if err != nil {
						h.Failed = append(h.Failed, err)
					}
					h.Found = append(h.Found, f)
					fmt.Fprintf(out, "FOUND seed %d, %s: %s (%s)\n", s, f.Day, why, f.File)
				}
				full := len(h.Found) == mostFound || len(h.Failed) == mostFound
				mu.Unlock()
				if full {
					return
				}
			}
		})
	}
	players.Wait()
	fmt.Fprintf(out, "%d days played, %d did not pass\n", h.Played, len(h.Found))
	return h, errors.Join(h.Failed...)
}

// playPrey plays the day of a seed and says why it did not pass; a crash of the decisions is a reason, too.
func playPrey(seed uint64) (why string, err error) {
	defer func() {
		if p := recover(); p != nil {
			why = fmt.Sprintf("the decisions crashed: %v\n%s", p, debug.Stack())
		}
	}()
	f := prey(seed)
	spec := f.Spec(seed)
	day, err := spec.Draw(seed)
	if err != nil {
		return "", err
	}
	arms := []VariantSpec{{Name: "agent", Kind: AgentKind}, {Name: "late", Kind: Late}}
	var outcomes []Outcome
	for _, a := range arms {
		o, err := Simulate(day, a.arm("agent"))
		if err != nil {
			return "", err
		}
		outcomes = append(outcomes, o)
	}
	for _, r := range gate(outcomes, arms, nil) {
		if !r.Passed {
			return fmt.Sprintf("%s: served %.3f, wanted %.3f", r.FailureReason, r.Served, r.Wanted), nil
		}
	}
	return "", nil
}

const preyFile = `# Found by a hunt: %s
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

// keepPrey leaves the file that plays a day again.
func keepPrey(seed uint64, why, dir string) (Found, error) {
	f := prey(seed)
	file := filepath.Join(dir, fmt.Sprintf("found-%d.toml", seed))
	first, _, _ := strings.Cut(why, "\n")
	text := fmt.Sprintf(preyFile, first, seed, seed, f.Name, f.Kind, f.Agents, f.Nodes)
	return Found{Seed: seed, Day: f.String(), Why: why, File: file}, replace(file, []byte(text))
}
