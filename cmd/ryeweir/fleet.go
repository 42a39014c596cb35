package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"ryeweir/internal/experiment"
)

func fleetCommand() *cobra.Command {
	var file string
	command := &cobra.Command{
		Use:   "fleet FILE",
		Short: "Model the connections of many agents, with the real decisions on them",
		Long: "Plays FILE's model with each of its arms, repeated with other seeds, and prints what the arms cost and lose: handshakes,\n" +
			"open connections, requests that a close crossed or that went out on dead connections, and the peak of handshakes at a\n" +
			"server that starts anew. Intervals are 95% ones.",
		Example: "  ryeweir fleet deploy/experiments/fleet-start.toml",
		Args:    cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			spec := experiment.DefaultFleet()
			if err := readTOML(command, args[0], &spec); err != nil {
				return err
			}
			figures, err := experiment.RunFleetModel(&spec, command.OutOrStdout())
			if err != nil || file == "" {
				return err
			}
			text, err := json.MarshalIndent(struct {
				Name    string                    `json:"name"`
				Figures []experiment.FleetFigures `json:"figures"`
			}{spec.Name, figures}, "", "  ")
			if err != nil {
				return err
			}
			if err := os.WriteFile(file, append(text, '\n'), 0o644); err != nil {
				return errors.Join(errors.New("figures not written"), err)
			}
			fmt.Fprintln(command.OutOrStdout(), "figures:", file)
			return nil
		},
	}
	command.Flags().StringVar(&file, "json", "", "write the figures to this file, too")
	return command
}
