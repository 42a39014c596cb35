package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"ryeweir/internal/config"
	"ryeweir/internal/experiment"
)

func loadCommand() *cobra.Command {
	var jsonFile string
	var compare bool
	var seconds int
	command := &cobra.Command{
		Use:   "load FILE",
		Short: "Send open-loop load to running agents, or compare the agent's CPU time with a plain proxy's",
		Long: "Sends the requests that FILE's scenario ([day]) plans to the agents at its targets, and prints the results that the\n" +
			"callers saw. With --compare, no FILE is read: the agent and a plain reverse proxy of Go's standard library are measured\n" +
			"in turn, on one core each, with backends that answer at once, at 300 and 1,200 requests a second and at full speed over\n" +
			"32 connections.",
		Example: "  ryeweir load deploy/experiments/load.toml\n  ryeweir load --compare",
		Args:    cobra.MaximumNArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			ctx, stop := interruptible(command.Context())
			defer stop()
			if compare && len(args) == 1 {
				return usageError(fmt.Errorf("load takes either FILE or --compare, not both: got %s and --compare", args[0]))
			}
			if !compare && len(args) == 0 {
				return usageError(errors.New("load needs FILE or --compare"))
			}
			if compare {
				return compareCost(ctx, command, time.Duration(seconds)*time.Second, jsonFile)
			}
			var spec experiment.LoadSpec
			if err := readTOML(command, args[0], &spec); err != nil {
				return err
			}
			if len(spec.Targets) == 0 {
				return &config.Error{File: args[0], Key: "targets", Err: errors.New("must list the address of at least one agent")}
			}
			outcome, err := experiment.RunLoad(ctx, &spec)
			if err != nil {
				return err
			}
			if jsonFile != "" {
				if err := writeJSON(jsonFile, outcome); err != nil {
					return err
				}
			}
			printFigures(command.OutOrStdout(), outcome)
			return nil
		},
	}
	command.Flags().StringVar(&jsonFile, "json", "", "also write the figures to this file, as JSON")
	command.Flags().BoolVar(&compare, "compare", false, "compare the agent's CPU time with a plain proxy's")
	command.Flags().IntVar(&seconds, "seconds", 5, "with --compare: duration of each measurement, in seconds")
	return command
}

// compareCost measures the agent and the plain proxy for the duration each at every rate, prints the costs, and writes them to jsonFile as
// JSON if that is not empty.
func compareCost(ctx context.Context, command *cobra.Command, each time.Duration, jsonFile string) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	costs, ratios, err := experiment.Compare(ctx, self, each)
	if err != nil {
		return err
	}
	out := command.OutOrStdout()
	fmt.Fprintf(out, "%-8s %-12s %10s %24s %10s %9s %9s %9s\n", "process", "rate", "answers/s", "CPU us per answer", "memory MB", "p50 ms", "p99 ms", "p99.9 ms")
	for i, cost := range costs {
		fmt.Fprintf(out, "%-8s %-12s %10.0f %8.1f (%5.1f to %5.1f) %10.1f %9.2f %9.2f %9.2f\n", cost.Process, cost.Rate, cost.PerSecond, cost.CPU, cost.Low, cost.High, cost.MemoryMB,
			cost.P50, cost.P99, cost.P999)
		if ratio := ratios[i/2]; i%2 == 1 {
			fmt.Fprintf(out, "the agent had %d connections open, %.2f handshakes per 1,000 answers\n", costs[i-1].OpenConnections, costs[i-1].HandshakesPerThousand)
			fmt.Fprintf(out, "the agent uses %.3f (95%% interval: %.3f to %.3f) times the proxy's CPU time per answer, compared slice by slice\n", ratio.Mean, ratio.Low, ratio.High)
		}
	}
	if jsonFile != "" {
		return writeJSON(jsonFile, costs)
	}
	return nil
}
