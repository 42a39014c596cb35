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
	var file string
	var compare bool
	var seconds int
	command := &cobra.Command{
		Use:   "load FILE",
		Short: "Send open-loop load to agents that run already, or compare the agent's cost with a plain proxy's",
		Long: "Sends what FILE's day plans to the agents at its targets, and prints how it went, by what the callers saw. With\n" +
			"--compare, no FILE is read: the agent and a plain reverse proxy of Go's library stand in turn before instant\n" +
			"stand-ins, on one core each, at 300 requests a second and at full speed over 32 connections.",
		Example: "  ryeweir load deploy/experiments/load.toml\n  ryeweir load --compare",
		Args:    cobra.MaximumNArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			ctx, stop := interruptible(command.Context())
			defer stop()
			if compare == (len(args) == 1) {
				return usage(errors.New("it takes FILE or --compare"))
			}
			if compare {
				return compareCost(ctx, command, time.Duration(seconds)*time.Second, file)
			}
			var spec experiment.LoadSpec
			if err := readTOML(command, args[0], &spec); err != nil {
				return err
			}
			if len(spec.Targets) == 0 {
				return &config.Error{File: args[0], Key: "targets", Err: errors.New("names no agent's address")}
			}
			outcome, err := experiment.RunLoad(ctx, &spec)
			if err != nil {
				return err
			}
			if file != "" {
				if err := writeJSON(file, outcome); err != nil {
					return err
				}
			}
			printFigures(command.OutOrStdout(), outcome)
			return nil
		},
	}
	command.Flags().StringVar(&file, "json", "", "write the figures to this file")
	command.Flags().BoolVar(&compare, "compare", false, "compare the agent's cost with a plain proxy's")
	command.Flags().IntVar(&seconds, "seconds", 5, "with --compare: how long each measurement takes")
	return command
}

func compareCost(ctx context.Context, command *cobra.Command, each time.Duration, file string) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	costs, ratios, err := experiment.Compare(ctx, self, each)
	if err != nil {
		return err
	}
	out := command.OutOrStdout()
	fmt.Fprintf(out, "%-8s %-12s %10s %24s %10s %9s %9s %9s\n", "through", "rate", "answers/s", "CPU us each", "memory MB", "p50 ms", "p99 ms", "p99.9 ms")
	for i, cost := range costs {
		fmt.Fprintf(out, "%-8s %-12s %10.0f %8.1f (%5.1f to %5.1f) %10.1f %9.2f %9.2f %9.2f\n", cost.Process, cost.Rate, cost.PerSecond, cost.CPU, cost.Low, cost.High, cost.MemoryMB,
			cost.P50, cost.P99, cost.P999)
		if ratio := ratios[i/2]; i%2 == 1 {
			fmt.Fprintf(out, "the agent had %d connections open, %.2f handshakes per 1,000 answers\n", costs[i-1].OpenConnections, costs[i-1].HandshakesPerThousand)
			fmt.Fprintf(out, "the agent takes %.3f (%.3f to %.3f) of the proxy's processor time, slice by slice\n", ratio.Mean, ratio.Low, ratio.High)
		}
	}
	if file != "" {
		return writeJSON(file, costs)
	}
	return nil
}
