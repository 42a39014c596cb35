package main

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"ryeweir/internal/experiment"
)

func fleetCommand() *cobra.Command {
	var jsonFile string
	command := &cobra.Command{
		Use:   "fleet FILE",
		Short: "Model the connections of many agents, with the agent's own decisions about connections",
		Long: "Runs FILE's model with each of its variants (arms), repeated with other seeds, and prints the costs and losses of each:\n" +
			"handshakes, open connections, requests that crossed the server's close or were sent on dead connections, and the peak\n" +
			"rate of handshakes at a server that has just restarted. Intervals are 95% confidence intervals.",
		Example: "  ryeweir fleet deploy/experiments/fleet-start.toml",
		Args:    cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			spec := experiment.DefaultFleet()
			if err := readTOML(command, args[0], &spec); err != nil {
				return err
			}
			figures, err := experiment.RunFleetModel(&spec, command.OutOrStdout())
			if err != nil || jsonFile == "" {
				return err
			}
			text, err := json.MarshalIndent(struct {
				Name    string                    `json:"name"`
				Figures []experiment.FleetFigures `json:"figures"`
			}{spec.Name, figures}, "", "  ")
			if err != nil {
				return err
			}
			if err := os.WriteFile(jsonFile, append(text, '\n'), 0o644); err != nil {
				return fmt.Errorf("writing the figures to %s (--json): %w", jsonFile, err)
			}
			fmt.Fprintln(command.OutOrStdout(), "figures:", jsonFile)
			return nil
		},
	}
	command.Flags().StringVar(&jsonFile, "json", "", "also write the figures to this file")
	return command
}
