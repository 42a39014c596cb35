package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"ryeweir/internal/emulator"
	"ryeweir/internal/experiment"
	"ryeweir/internal/processrig"
)

func worldCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "world FILE",
		Short: "Run emulated order nodes and discovery on loopback ports until interrupted",
		Long: "Runs the emulated order nodes and discovery of FILE's scenario ([day]), and writes a configuration file for each agent, so\n" +
			"that agents can be started by hand. The scenario's faults are injected at their times. Ctrl-C stops it.",
		Example: "  ryeweir world deploy/experiments/world.toml",
		Args:    cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			var spec experiment.WorldSpec
			if err := readTOML(command, args[0], &spec); err != nil {
				return err
			}
			ctx, stop := interruptible(command.Context())
			defer stop()
			return runWorld(ctx, command, &spec)
		},
	}
}

// runWorld runs the nodes and discovery until the context ends, and prints the state of each node every five seconds as
// ID, requests in flight / requests served.
func runWorld(ctx context.Context, command *cobra.Command, spec *experiment.WorldSpec) error {
	scenario, err := spec.Scenario.Draw(spec.Seed)
	if err != nil {
		return err
	}
	dir := spec.Dir
	if dir == "" {
		if dir, err = os.MkdirTemp("", "ryeweir-world-"); err != nil {
			return err
		}
		defer os.RemoveAll(dir)
	} else if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	world, err := emulator.Start(context.WithoutCancel(ctx), scenario, &emulator.LoopbackNetwork{}, false)
	if err != nil {
		return err
	}
	defer world.Close()
	out := command.OutOrStdout()
	for i, name := range scenario.Agents {
		listen, control, err := processrig.FreePortPair("127.0.0.1", i)
		if err != nil {
			return err
		}
		known := world.EndpointList(i)
		text, err := scenario.AgentConfig(i, listen, control, world.DiscoveryAddr(i), emulator.DefaultLimits(), &known)
		if err != nil {
			return err
		}
		file := filepath.Join(dir, name+".json")
		if err := os.WriteFile(file, text, 0o600); err != nil {
			return fmt.Errorf("writing the agent's configuration: %w", err)
		}
		fmt.Fprintf(out, "PROXY_CONFIG=%s ryeweir agent    # clients at %s, operators at %s\n", file, listen, control)
	}
	fmt.Fprintf(out, "%d nodes are listening; the scenario's faults start now. Ctrl-C stops it.\n", len(scenario.Nodes))
	world.InjectFaults()
	tick := time.NewTicker(5 * time.Second)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			account := world.Referee.Account()
			fmt.Fprintf(out, "%d attempts arrived at the nodes, %d executions were started\n", account.Attempts, account.Effects)
			return world.Err()
		case <-tick.C:
			line := fmt.Sprintf("%4.0fs", world.Now().Seconds())
			for _, state := range world.NodeStates() {
				line += fmt.Sprintf("  %s %d/%d", state.ID, state.InFlight, state.Figures.Served)
			}
			fmt.Fprintln(out, line)
		}
	}
}
