package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"golang.org/x/term"

	"ryeweir/internal/emulator/referee"
	"ryeweir/internal/experiment"
)

func demoCommand() *cobra.Command {
	var seconds int
	var seed uint64
	var file string
	command := &cobra.Command{
		Use:   "demo",
		Short: "Run an emulated environment, two agents and callers, and report whether the rules held",
		Long: "Runs ten order nodes of two kinds in three zones, discovery, two agents and callers that send about 290 requests a\n" +
			"second, all on free loopback ports. During the run one node becomes slow, another fails fast and a third drains.\n" +
			"Ctrl-C ends it early. The exit code is 1 if a rule was broken.",
		Example: "  ryeweir demo --seconds 20 --json figures.json",
		Args:    cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			if seconds < 3 || seconds > 600 {
				return usageError(fmt.Errorf("--seconds is %d, but must be from 3 to 600", seconds))
			}
			ctx, stop := interruptible(command.Context())
			defer stop()
			return demo(ctx, command.OutOrStdout(), time.Duration(seconds)*time.Second, seed, file)
		},
	}
	command.Flags().IntVar(&seconds, "seconds", 20, "how long callers send requests, in seconds")
	command.Flags().Uint64Var(&seed, "seed", 1, "seed of the random draws: arrivals, work and faults")
	command.Flags().StringVar(&file, "json", "", "also write the figures to this file, as JSON")
	return command
}

// interruptible returns a context that ends at Ctrl-C (SIGINT) or SIGTERM. A second signal kills the program, because the first one
// restores the default handling.
func interruptible(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	context.AfterFunc(ctx, stop)
	return ctx, stop
}

// demo runs the demo's scenario and prints its outcome. It returns errReported if a rule was broken.
func demo(ctx context.Context, out io.Writer, length time.Duration, seed uint64, file string) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	spec := experiment.DemoScenario(length)
	scenario, err := spec.Draw(seed)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%d order nodes, %d agents, %.0f requests a second for %v (%d in all)\n", len(scenario.Nodes), len(scenario.Agents), scenario.Rate, length, len(scenario.Plan))
	screen := newScreen(out)
	outcome, err := experiment.RunScenario(ctx, scenario, experiment.Variant{Name: "agent", Command: []string{self, "agent"}}, screen.show)
	if err != nil {
		return err
	}
	if file != "" {
		if err := writeJSON(file, outcome); err != nil {
			return err
		}
	}
	printOutcome(out, outcome)
	if !outcome.Account.RulesHold() {
		return errReported
	}
	return nil
}

// writeJSON writes a value to a file atomically: the file has either the whole text or its old content.
func writeJSON(file string, value any) error {
	text, err := json.MarshalIndent(value, "", " ")
	if err != nil {
		return fmt.Errorf("encoding the figures as JSON: %w", err)
	}
	if err := os.WriteFile(file+".part", append(text, '\n'), 0o644); err != nil {
		os.Remove(file + ".part")
		return fmt.Errorf("writing the figures: %w", err)
	}
	return os.Rename(file+".part", file)
}

// printFigures prints the counts of requests by outcome, the service and the latency percentiles of each class.
func printFigures(out io.Writer, outcome experiment.Outcome) {
	a := outcome.Account
	fmt.Fprintf(out, "requests %d  completed %d  rejected %d  failed %d  unanswered %d\n", a.Requests, a.Completed, a.Rejected, a.Failed, a.Unanswered)
	fmt.Fprintf(out, "service %.3f  worst 10 s %.3f\n", outcome.Overall, outcome.WorstWindow)
	for _, name := range slices.Sorted(maps.Keys(outcome.Latency)) {
		p := outcome.Latency[name]
		fmt.Fprintf(out, "%-14s p50 %.1f ms  p90 %.1f ms  p99 %.1f ms  p99.9 %.1f ms  (%d served)\n", name, p.P50, p.P90, p.P99, p.P999, p.Count)
	}
}

// printOutcome prints the figures of a run, the violations and the verdict.
func printOutcome(out io.Writer, outcome experiment.Outcome) {
	a := outcome.Account
	fmt.Fprintln(out)
	printFigures(out, outcome)
	fmt.Fprintf(out, "attempts per request %.3f  wasted work %.1f%%  agents' CPU %.0f us per request\n", outcome.Attempts, 100*outcome.Waste, outcome.CPU)
	fmt.Fprintf(out, "lost %d  duplicates %d  after_drain %d  toppled %d\n", a.Lost, a.Duplicates, a.AfterDrain, a.SlowStartOverloads)
	if r := outcome.Misbehaving; r.Clients > 0 {
		fmt.Fprintf(out, "misbehaving clients %d, of which %d were served and %d got neither an error nor a close\n", r.Clients, r.Served, r.Ignored)
	}
	for _, b := range outcome.Violations {
		fmt.Fprintln(out, "BROKEN:", b)
	}
	if outcome.Lag > 50 {
		fmt.Fprintf(out, "note: this machine was overloaded; requests were sent up to %.0f ms later than planned\n", outcome.Lag)
	}
	if outcome.Interrupted {
		fmt.Fprintln(out, "interrupted: these are the figures up to then")
	}
	if a.RulesHold() {
		fmt.Fprintln(out, "verdict: all rules held")
	} else {
		fmt.Fprintln(out, "verdict: a rule was broken")
	}
}

// screen prints the figures of a running demo every second. On a terminal each sample replaces the one before; elsewhere it is a new line.
type screen struct {
	out           io.Writer
	terminal      bool            // out is a terminal
	lines         int             // lines of the sample that is on the terminal
	last          referee.Account // of the sample before
	eventsPrinted int             // fault events printed so far, if out is not a terminal
}

// newScreen returns a screen that prints to out.
func newScreen(out io.Writer) *screen {
	f, ok := out.(*os.File)
	return &screen{out: out, terminal: ok && term.IsTerminal(int(f.Fd()))}
}

// show prints one sample: the requests since the sample before, and on a terminal also each node and the faults in effect.
func (s *screen) show(live experiment.LiveSample) {
	account := live.Account
	calls := live.Calls
	latencies := referee.Latencies(calls, -1)
	percentileMS := func(q float64) float64 {
		if len(latencies) == 0 {
			return 0
		}
		return float64(latencies[int(q*float64(len(latencies)-1))].Microseconds()) / 1e3
	}
	line := fmt.Sprintf("%4.0fs  %4d/s  served %4d  rejected %3d  failed %3d  p50 %6.1f ms  p99 %7.1f ms", live.At.Seconds(), account.Requests-s.last.Requests,
		account.Completed-s.last.Completed, account.Rejected-s.last.Rejected, account.Failed+account.Unanswered-s.last.Failed-s.last.Unanswered, percentileMS(0.5), percentileMS(0.99))
	s.last = account
	var started []string
	for _, m := range live.Events[min(s.eventsPrinted, len(live.Events)):] {
		started = append(started, fmt.Sprintf("%s: %s for %.0f s", m.Node, m.Text, (m.To-m.At).Seconds()))
	}
	if !s.terminal {
		s.eventsPrinted = len(live.Events)
		if len(started) > 0 {
			line += "  <- " + strings.Join(started, ", ")
		}
		fmt.Fprintln(s.out, line)
		return
	}
	var b strings.Builder
	if s.lines > 0 {
		fmt.Fprintf(&b, "\x1b[%dA\x1b[J", s.lines)
	}
	b.WriteString(line + "\n")
	s.lines = 1
	for _, n := range live.States {
		state := ""
		switch {
		case !n.Up:
			state = "down"
		case n.Overloaded:
			state = "TOPPLED"
		case n.Degraded:
			state = "choked"
		case n.FailureFraction > 0:
			state = fmt.Sprintf("failing %.0f%%", 100*n.FailureFraction)
		}
		fmt.Fprintf(&b, "  %-10s %-12s %5.2f cores  in flight %2d %s\n", n.ID, state, n.Capacity, n.InFlight, strings.Repeat("#", min(40, n.InFlight)))
		s.lines++
	}
	for _, m := range live.Events {
		if live.At < m.To {
			fmt.Fprintf(&b, "  now: %s %s until %.0fs\n", m.Node, m.Text, m.To.Seconds())
			s.lines++
		}
	}
	io.WriteString(s.out, b.String())
}
