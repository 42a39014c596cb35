package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"ryeweir/internal/experiment"
)

// experimentOptions are the flags of `ryeweir experiment`.
type experimentOptions struct {
	dir       string        // for the report
	against   string        // the folder of an earlier run of the same file
	hunt      time.Duration // how long to draw random days for; 0: FILE is run
	seed      uint64        // of the first day drawn
	simulated bool
	repeats   int // in place of the file's; 0: the file's
}

func experimentCommand() *cobra.Command {
	var options experimentOptions
	command := &cobra.Command{
		Use:   "experiment FILE",
		Short: "Play days with one or more arms, repeated and paired, and report how they differ",
		Long: "Plays each day of FILE with each arm, repeated with other seeds; equal repeats of all arms get the same arrivals and\n" +
			"troubles. The folder gets report.html, figures.json and plots. An interrupted run leaves what was finished. The\n" +
			"exit code is 1 if a rule broke or a run could not be played. With --hunt, no FILE is read: random days of whole fleets are\n" +
			"played side by side, and each that breaks a rule or serves too little is left in the folder as a file to play again.",
		Example: "  ryeweir experiment deploy/experiments/arms.toml -o /tmp/arms\n" +
			"  ryeweir experiment deploy/experiments/many-days.toml -o /tmp/after --against /tmp/before\n" +
			"  ryeweir experiment deploy/experiments/overload.toml --simulated --repeats 10 -o /tmp/overload\n" +
			"  ryeweir experiment --hunt 5m --seed 1000 -o /tmp/hunt",
		Args: cobra.MaximumNArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			if options.dir == "" {
				return usage(errors.New("-o DIR says where the report goes"))
			}
			if options.hunt > 0 == (len(args) == 1) {
				return usage(errors.New("it takes FILE or --hunt"))
			}
			if options.hunt > 0 {
				return huntDays(command, options)
			}
			return runExperiment(command, args[0], options)
		},
	}
	flags := command.Flags()
	flags.StringVarP(&options.dir, "output", "o", "", "the folder for the report")
	flags.DurationVar(&options.hunt, "hunt", 0, "play random days of whole fleets for so long, and keep each that does not pass as a file")
	flags.Uint64Var(&options.seed, "seed", 1, "with --hunt: the first day's")
	flags.BoolVar(&options.simulated, "simulated", false, "play FILE's days in simulated time, in seconds instead of minutes")
	flags.IntVar(&options.repeats, "repeats", 0, "in place of FILE's")
	flags.StringVar(&options.against, "against", "", "the folder of another play of FILE, as by an earlier program, to compare with")
	return command
}

// huntDays runs random days for a time. It returns errReported where one did not pass.
func huntDays(command *cobra.Command, options experimentOptions) error {
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

// runExperiment runs a file's days and prints the figures. It returns errReported where a rule broke, the gate failed or a run is missing.
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
	fmt.Fprintln(out, "report:", filepath.Join(options.dir, "report.html"))
	if figures.Unfinished || len(figures.Failures) > 0 || !figures.RulesHeld() || !figures.Passed() {
		fmt.Fprintln(out, "not all of it went well: a run was interrupted or failed, a rule broke, or the gate failed")
		return errReported
	}
	return nil
}

// readExperiment reads a file and puts the flags over it. The file is checked again with them.
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
		return nil, usage(fmt.Errorf("%s, as it is to be played: %w", file, err))
	}
	return &spec, nil
}

// printExperiment prints the figures of an experiment: a line for each day and variant, then what differs, then the gate.
func printExperiment(out io.Writer, figures *experiment.Findings) {
	for i := range figures.Rows {
		printRow(out, figures.Simulated, &figures.Rows[i])
	}
	for _, outcome := range figures.Outcomes {
		printViews(out, outcome)
	}
	for _, d := range figures.Differences {
		if d.Figure == "service" {
			fmt.Fprintf(out, "%-12s %s against %s: service %+.3f (%+.3f to %+.3f): %s\n", d.Scenario, d.Variant, d.Baseline, d.Mean, d.Low, d.High, d.Verdict)
		}
	}
	for _, g := range figures.Gate {
		if !g.Passed {
			fmt.Fprintf(out, "gate: %s with %s, seed %d: served %.3f, wanted %.3f: %s\n", g.Scenario, g.Variant, g.Seed, g.Served, g.Wanted, g.FailureReason)
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

// printRow prints the figures of one day with one variant.
func printRow(out io.Writer, simulated bool, row *experiment.Row) {
	fmt.Fprintf(out, "%-12s %-12s service %.3f (%.3f to %.3f)  worst 10 s %.3f  p50 %.1f ms  p99 %.0f ms", row.Scenario, row.Variant, row.Service.Mean,
		row.Service.Low, row.Service.High, row.WorstWindow, row.P50, row.P99)
	if simulated {
		fmt.Fprintf(out, "  refused %.3f, with room %.4f, of its own %.4f  into a jam %.4f  probes %.3f  nodes used %.2f  cold peak %.2f",
			row.Rejected, row.RejectedWithCapacity, row.RejectedNearCapacity, row.SentIntoOverload, row.HealthChecks, row.NodesUsed, row.SlowStartPeak)
	}
	if row.Goodput.Mean > 0 {
		fmt.Fprintf(out, "  surge: goodput %.3f (%.3f to %.3f), back after %.0f s, chokes %.1f, done %.0f, attempts %.2f, probe work %.4f, worthiest served %.3f, passed over %.3f, cold peak %.2f",
			row.Goodput.Mean, row.Goodput.Low, row.Goodput.High, row.RecoverySeconds, row.Degradations, row.Completed, row.Attempts, row.HealthCheckWork, row.TopPriorityServed, row.PassedOver, row.SlowStartPeak)
	}
	if row.Unnotified > 0 {
		fmt.Fprintf(out, "  sent to ending nodes by agents that were not told: %.0f", row.Unnotified)
	}
	fmt.Fprintln(out)
}

// printViews prints what agents that talk with each other saw of their peers.
func printViews(out io.Writer, outcome experiment.Outcome) {
	views := outcome.Peers
	if views == nil {
		return
	}
	fmt.Fprintf(out, "%-12s %-12s seed %d: an agent sent %.0f bytes a second (%.0f at most); %d notices came by peers in %.0f ms (%.0f at most), held back %d times; facts: %d at most, %d refused, %d evicted\n",
		outcome.Scenario, outcome.Variant, outcome.Seed, views.MeanBytesPerSecond, views.MaxBytesPerSecond, views.Notices, views.NoticeMeanMS, views.NoticeMaxMS, views.Withheld, views.MaxFacts, views.FactsRejected, views.FactsEvicted)
	for _, heal := range views.Recoveries {
		fmt.Fprintf(out, "  after %s (%.1f s; an agent saw as few as %d): all others seen after %.2f s, the last agent after %.2f s, never by %d\n", heal.Fault, heal.At,
			heal.MinPeersSeen, heal.Median, heal.Worst, heal.NeverRecovered)
	}
}
