package main

import (
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"ryeweir/internal/experiment"
)

func labCommand() *cobra.Command {
	var long bool
	var maxRuns int
	var file string
	command := &cobra.Command{
		Use:   "lab FILE",
		Short: "Run a drill: a fleet of real agent processes with injected faults, checked against expectations",
		Long: "Starts the agents of FILE's scenario ([day]) as processes, with emulated order nodes and discovery, and injects its\n" +
			"faults: kills, pauses, restarts, cut or degraded network paths between chosen agents, nodes and discovery, and surges of\n" +
			"load. Prints the figures and each expectation that failed; if one did, the exit code is 1. deploy/drills has ready-made\n" +
			"drills.",
		Example: "  ryeweir lab deploy/drills/talk.toml",
		Args:    cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			self, err := os.Executable()
			if err != nil {
				return fmt.Errorf("finding the path of this program to start agents from: %w", err)
			}
			ctx, stop := interruptible(command.Context())
			defer stop()
			for runNumber := 1; ; runNumber++ {
				spec, result, err := experiment.RunDrill(ctx, args[0], self, long)
				if err != nil {
					return err
				}
				if file != "" {
					if err := writeJSON(file, result); err != nil {
						return err
					}
				}
				printDrill(command.OutOrStdout(), spec, result)
				switch {
				case len(result.FailedExpectations) == 0:
					return nil
				case result.RuleBroken || runNumber >= maxRuns:
					return errReported
				}
			}
		},
	}
	command.Flags().IntVar(&maxRuns, "plays", 1, "maximum number of runs, until one meets all expectations; after a broken rule there is no further run")
	command.Flags().BoolVar(&long, "long", false, "run the long form of the drill")
	command.Flags().StringVar(&file, "json", "", "also write the figures of the last run to this file, as JSON")
	return command
}

// printDrill prints the figures of a drill and the expectations that failed.
func printDrill(out io.Writer, spec *experiment.DrillSpec, result experiment.DrillResult) {
	o := result.Outcome
	fmt.Fprintf(out, "%s: %s\n", spec.Name, spec.Question)
	fmt.Fprintf(out, "%+v\nservice %.3f, attempts per request %.2f, degradations %d, health check work %.4f, slow start peak %.2f", o.Account, o.Overall, o.Attempts, o.Degradations,
		o.HealthCheckWork, o.SlowStartPeak)
	for i, class := range spec.Scenario.Classes {
		fmt.Fprintf(out, ", %s %.3f", class.Name, o.ByClass[i])
	}
	fmt.Fprintf(out, ", top priority passed over %.3f, service at agents without faults %.3f\n", o.PassedOver, o.UnaffectedService)
	if s := o.Surge; s != nil {
		fmt.Fprintf(out, "surge of %.1f times the capacity of the nodes: goodput %.3f, service recovered after %.0f s (below 0: never)\n", s.Offered, s.Goodput, s.RecoverySeconds)
	}
	if l := o.Admission; l != nil {
		fmt.Fprintf(out, "budgets: an agent admitted %.2f of its demand in the surge (median; %.2f to %.2f), %d requests shed, %d retries withheld, agents overloaded in %d samples\n",
			l.Median, l.Least, l.Most, l.Shed, l.Withheld, l.SelfOverloaded)
	}
	fmt.Fprintf(out, "this process waited %.3f ms for a processor on average, callers sent up to %.0f ms late\n", o.ProcessorWait, o.Lag)
	printPeers(out, o)
	for _, w := range result.FailedExpectations {
		fmt.Fprintln(out, "not as expected:", w)
	}
	if len(result.FailedExpectations) == 0 {
		fmt.Fprintln(out, "as expected")
	}
}
