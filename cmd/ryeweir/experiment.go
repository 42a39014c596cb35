package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"ryeweir/internal/experiment"
)

// experimentOptions holds the flags of `ryeweir experiment`.
type experimentOptions struct {
	dir       string        // folder for the report
	against   string        // folder of an earlier run of the same file, to compare with; empty for none
	hunt      time.Duration // how long to run random scenarios; 0: run FILE instead
	seed      uint64        // seed of the first random scenario
	simulated bool          // run FILE's scenarios in simulated time, even if the file does not say so
	repeats   int           // overrides the number of repeats in FILE; 0: not overridden
}

func experimentCommand() *cobra.Command {
	var options experimentOptions
	command := &cobra.Command{
		Use:   "experiment FILE",
		Short: "Run scenarios with one or more variants, repeated and paired, and report how the variants differ",
		Long: "Runs each scenario ([[day]], [[fleet_day]]) of FILE with each variant ([[arm]]), repeated with other seeds; within a\n" +
			"repeat all variants get the same arrivals and faults. Writes report.html, figures.json and plots to the folder. An\n" +
			"interrupted experiment keeps the runs that are finished. The exit code is 1 if a rule was broken, a run failed or is\n" +
			"missing, or the gate failed. With --hunt, no FILE is read: random scenarios of whole fleets run in parallel, and for each\n" +
			"that breaks a rule or serves too little a file that reproduces it is written to the folder.",
		Example: "  ryeweir experiment deploy/experiments/arms.toml -o /tmp/arms\n" +
			"  ryeweir experiment deploy/experiments/many-days.toml -o /tmp/after --against /tmp/before\n" +
			"  ryeweir experiment deploy/experiments/overload.toml --simulated --repeats 10 -o /tmp/overload\n" +
			"  ryeweir experiment --hunt 5m --seed 1000 -o /tmp/hunt",
		Args: cobra.MaximumNArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			if options.dir == "" {
				return usageError(errors.New("-o DIR is required: the folder for the report"))
			}
			if options.hunt > 0 && len(args) == 1 {
				return usageError(fmt.Errorf("experiment takes either FILE or --hunt, not both: got %s and --hunt %v", args[0], options.hunt))
			}
			if options.hunt <= 0 && len(args) == 0 {
				return usageError(errors.New("experiment needs FILE, or --hunt with a duration above 0"))
			}
			if options.hunt > 0 {
				return huntScenarios(command, options)
			}
			return runExperiment(command, args[0], options)
		},
	}
	flags := command.Flags()
	flags.StringVarP(&options.dir, "output", "o", "", "folder for the report")
	flags.DurationVar(&options.hunt, "hunt", 0, "run random scenarios of whole fleets for this time, and write a file for each that does not pass")
	flags.Uint64Var(&options.seed, "seed", 1, "with --hunt: seed of the first scenario; each further one adds 1")
	flags.BoolVar(&options.simulated, "simulated", false, "run FILE's scenarios in simulated time, which takes seconds instead of minutes")
	flags.IntVar(&options.repeats, "repeats", 0, "number of repeats; overrides the number in FILE")
	flags.StringVar(&options.against, "against", "", "folder of another run of FILE to compare with, such as one by an earlier build of this program")
	return command
}

// huntScenarios runs random scenarios for the time of --hunt. It returns errReported if one did not pass.
func huntScenarios(command *cobra.Command, options experimentOptions) error {
	ctx, stop := interruptible(command.Context())
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, options.hunt)
	defer cancel()
	result, err := experiment.Hunt(ctx, options.seed, 0, options.dir, command.OutOrStdout())
	if err == nil && len(result.FailedScenarios) > 0 {
		return errReported
	}
	return err
}

// runExperiment runs a file's scenarios and prints the figures. It returns errReported if a rule was broken, the gate failed, or a run failed
// or is missing.
func runExperiment(command *cobra.Command, file string, options experimentOptions) error {
	spec, err := readExperiment(command, file, options)
	if err != nil {
		return err
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	ctx, stop := interruptible(command.Context())
	defer stop()
	out := command.OutOrStdout()
	figures, err := experiment.Run(ctx, spec, self, options.dir, options.against, out)
	if err != nil {
		return err
	}
	printExperiment(out, &figures)
	drawReport(ctx, out, self, options.dir)
	if figures.Unfinished || len(figures.Failures) > 0 || !figures.RulesHeld() || !figures.Passed() {
		fmt.Fprintln(out, "experiment failed: a run was interrupted or failed, a rule was broken, or the gate failed")
		return errReported
	}
	return nil
}

// reportProgram is the name of the program that draws an experiment's report. It is built beside this one.
const reportProgram = "ryeweir-report"

// drawReport draws report.html and the plots from figures.json, or says how to. self is the path of this program.
func drawReport(ctx context.Context, out io.Writer, self, dir string) {
	program := filepath.Join(filepath.Dir(self), reportProgram)
	if output, err := exec.CommandContext(context.WithoutCancel(ctx), program, dir).CombinedOutput(); err != nil {
		fmt.Fprintf(out, "the report was not drawn: %v %s; to draw it: %s %s\n", err, output, reportProgram, dir)
		return
	}
	fmt.Fprintln(out, "report:", filepath.Join(dir, "report.html"))
}

// readExperiment reads an experiment's file and overrides it by the flags. The result is checked again, because a flag may make it invalid.
func readExperiment(command *cobra.Command, file string, options experimentOptions) (*experiment.Spec, error) {
	var spec experiment.Spec
	if err := readTOML(command, file, &spec); err != nil {
		return nil, err
	}
	spec.Simulated = spec.Simulated || options.simulated
	if options.repeats != 0 {
		spec.Repeats = options.repeats
	}
	if err := spec.Check(); err != nil {
		return nil, usageError(fmt.Errorf("%s, with --simulated and --repeats applied: %w", file, err))
	}
	return &spec, nil
}

// printExperiment prints the figures of an experiment: a line for each scenario and variant, what agents that gossip saw of their peers,
// the differences in service between variants, and the result of the gate.
func printExperiment(out io.Writer, figures *experiment.Findings) {
	for i := range figures.Rows {
		printRow(out, figures.Simulated, &figures.Rows[i])
	}
	for _, outcome := range figures.Outcomes {
		printPeers(out, outcome)
	}
	for _, d := range figures.Differences {
		if d.Figure == "service" {
			fmt.Fprintf(out, "%-12s %s against %s: service %+.3f (%+.3f to %+.3f): %s\n", d.Scenario, d.Variant, d.Baseline, d.Mean, d.Low, d.High, d.Verdict)
		}
	}
	for _, g := range figures.Gate {
		if !g.Passed {
			fmt.Fprintf(out, "gate: %s with %s, seed %d: served %.3f, required %.3f: %s\n", g.Scenario, g.Variant, g.Seed, g.Served, g.Wanted, g.FailureReason)
		}
	}
	switch {
	case len(figures.Gate) == 0:
	case figures.Passed():
		fmt.Fprintln(out, "GATE passed")
	default:
		fmt.Fprintln(out, "GATE failed")
	}
}

// printRow prints the figures of one scenario with one variant.
func printRow(out io.Writer, simulated bool, row *experiment.Row) {
	fmt.Fprintf(out, "%-12s %-12s service %.3f (%.3f to %.3f)  worst 10 s %.3f  p50 %.1f ms  p99 %.0f ms", row.Scenario, row.Variant, row.Service.Mean,
		row.Service.Low, row.Service.High, row.WorstWindow, row.P50, row.P99)
	if simulated {
		fmt.Fprintf(out, "  rejected %.3f (without an attempt %.4f while a ready node had a free core, %.4f while a node in the agent's subset had one)  sent into overload %.4f  health checks %.3f  nodes used %.2f  slow start peak %.2f",
			row.Rejected, row.RejectedWithCapacity, row.RejectedNearCapacity, row.SentIntoOverload, row.HealthChecks, row.NodesUsed, row.SlowStartPeak)
	}
	if row.Goodput.Mean > 0 {
		fmt.Fprintf(out, "  surge: goodput %.3f (%.3f to %.3f), recovered after %.0f s (below 0: never), degradations %.1f, completed %.0f, attempts per request %.2f, health check work %.4f, top priority served %.3f, top priority passed over %.3f, slow start peak %.2f",
			row.Goodput.Mean, row.Goodput.Low, row.Goodput.High, row.RecoverySeconds, row.Degradations, row.Completed, row.Attempts, row.HealthCheckWork, row.TopPriorityServed, row.PassedOver, row.SlowStartPeak)
	}
	if row.Unnotified > 0 {
		fmt.Fprintf(out, "  sent to draining nodes by agents that were not notified: %.0f", row.Unnotified)
	}
	fmt.Fprintln(out)
}

// printPeers prints what agents that gossip saw of their peers: traffic, notices, facts, and the recovery after each fault.
func printPeers(out io.Writer, outcome experiment.Outcome) {
	peers := outcome.Peers
	if peers == nil {
		return
	}
	fmt.Fprintf(out, "%-12s %-12s seed %d: an agent sent its peers %.0f bytes a second (%.0f at most); %d notices arrived through peers after %.0f ms (%.0f at most), and notices drained a node at an agent whose own list still had it as ready %d times; facts: %d held at most, %d rejected, %d evicted\n",
		outcome.Scenario, outcome.Variant, outcome.Seed, peers.MeanBytesPerSecond, peers.MaxBytesPerSecond, peers.Notices, peers.NoticeMeanMS, peers.NoticeMaxMS, peers.Withheld, peers.MaxFacts, peers.FactsRejected, peers.FactsEvicted)
	for _, recovery := range peers.Recoveries {
		fmt.Fprintf(out, "  after %s, from %.1f s on (fewest peers seen by an agent before that: %d): agents saw all others after %.2f s (median) to %.2f s (slowest), %d did not before the next fault or the run ended\n", recovery.Fault, recovery.At,
			recovery.MinPeersSeen, recovery.Median, recovery.Worst, recovery.NeverRecovered)
	}
}
