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
	var plays int
	var file string
	command := &cobra.Command{
		Use:   "lab FILE",
		Short: "Drill a fleet of real agent processes with faults of and between them; figures and a verdict",
		Long: "Starts the agents of FILE's day as processes, with stand-in order nodes and discovery, and does to them what the day\n" +
			"has for them: kills, pauses, restarts, cut and poor ways between chosen agents, nodes and discovery, surges. Prints\n" +
			"figures and what was expected and did not come; then the exit code is 1. deploy/drills has some to begin with.",
		Example: "  ryeweir lab deploy/drills/talk.toml",
		Args:    cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			self, err := os.Executable()
			if err != nil {
				return fmt.Errorf("where this program is: %w", err)
			}
			ctx, stop := interruptible(command.Context())
			defer stop()
			for play := 1; ; play++ {
				spec, d, err := experiment.RunDrill(ctx, args[0], self, long)
				if err != nil {
					return err
				}
				if file != "" {
					if err := writeJSON(file, d); err != nil {
						return err
					}
				}
				printDrill(command.OutOrStdout(), spec, d)
				switch {
				case len(d.FailedExpectations) == 0:
					return nil
				case d.RuleBroken || play >= plays:
					return errReported
				}
			}
		},
	}
	command.Flags().IntVar(&plays, "plays", 1, "play it so many times at most until all is as expected; a broken rule ends it at once")
	command.Flags().BoolVar(&long, "long", false, "play the long form")
	command.Flags().StringVar(&file, "json", "", "write the last play's figures to this file")
	return command
}

// printDrill prints what came of a drill.
func printDrill(out io.Writer, spec *experiment.DrillSpec, drilled experiment.DrillResult) {
	o := drilled.Outcome
	fmt.Fprintf(out, "%s: %s\n", spec.Name, spec.Question)
	fmt.Fprintf(out, "%+v\nservice %.3f, attempts a request %.2f, chokes %d, probe work %.4f, cold peak %.2f", o.Account, o.Overall, o.Attempts, o.Degradations,
		o.HealthCheckWork, o.SlowStartPeak)
	for i, class := range spec.Scenario.Classes {
		fmt.Fprintf(out, ", %s %.3f", class.Name, o.ByClass[i])
	}
	fmt.Fprintf(out, ", passed over %.3f of the worthiest, at agents that nothing befell %.3f\n", o.PassedOver, o.UnaffectedService)
	if s := o.Surge; s != nil {
		fmt.Fprintf(out, "surge of %.1f times: goodput %.3f, service back after %.0f s\n", s.Offered, s.Goodput, s.RecoverySeconds)
	}
	if l := o.Admission; l != nil {
		fmt.Fprintf(out, "budgets: an agent took %.2f of its demand in the surge (median; %.2f to %.2f), %d requests shed, %d retries withheld, over themselves at %d looks\n",
			l.Median, l.Least, l.Most, l.Shed, l.Withheld, l.SelfOverloaded)
	}
	fmt.Fprintf(out, "the rig waited %.3f ms for a processor (mean), callers were up to %.0f ms late\n", o.ProcessorWait, o.Lag)
	printViews(out, o)
	for _, w := range drilled.FailedExpectations {
		fmt.Fprintln(out, "not as expected:", w)
	}
	if len(drilled.FailedExpectations) == 0 {
		fmt.Fprintln(out, "as expected")
	}
}
