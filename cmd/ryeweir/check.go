package main

import (
	"errors"
	"fmt"
	"io"
	"path/filepath"
	"strings"

	"github.com/spf13/cobra"

	"ryeweir/internal/config"
	"ryeweir/internal/config/platform"
)

func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Validate a configuration file, and print what it means or what is wrong with it",
		Long: "Reads the platform's JSON configuration (FILE ends in .json) or one of this program's TOML files. Each mistake is printed\n" +
			"with file, line and key; the exit code is 1 then.",
		Example: "  ryeweir check /run/balancer/config.json",
		Args:    cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			if err := check(command.OutOrStdout(), args[0]); err != nil {
				fmt.Fprintln(command.OutOrStdout(), err)
				return errReported
			}
			return nil
		},
	}
}

// check prints a description of a configuration file, or returns an error that says what is wrong with it.
func check(out io.Writer, file string) error {
	data, err := config.Read(file)
	if err != nil {
		return err
	}
	if strings.HasSuffix(file, ".json") {
		cfg, err := platform.Check(file, data)
		if err != nil {
			return err
		}
		cfg.Describe(out)
		return nil
	}
	if filepath.Base(file) == "balancer.toml" {
		var d deployment
		if err := config.TOML(file, data, &d); err != nil {
			return err
		}
		fmt.Fprintf(out, "deployment: build %q, run %q, sim %q, %d policy files, %d folders of the real agent\n", d.Build, d.Run, d.Sim,
			len(d.Policy), len(d.Node))
		return nil
	}
	text, err := describeTOML(file, data)
	if err != nil {
		return err
	}
	fmt.Fprintln(out, text)
	return nil
}

// deployment is the content of deploy/balancer.toml, which tells the platform how to build and run this program.
type deployment struct {
	Build    string   `toml:"build"`
	Run      string   `toml:"run"`
	Sim      string   `toml:"sim"`
	Policy   []string `toml:"policy"`
	Node     []string `toml:"node"`
	Packages []string `toml:"packages"`
}

// Check returns an error for each required key that is missing or empty.
func (d *deployment) Check() error {
	var all []error
	for key, value := range map[string]string{"build": d.Build, "run": d.Run, "sim": d.Sim} {
		if value == "" {
			all = append(all, config.Wrong(key, "is missing"))
		}
	}
	for key, value := range map[string][]string{"policy": d.Policy, "node": d.Node} {
		if len(value) == 0 {
			all = append(all, config.Wrong(key, "must list at least one entry"))
		}
	}
	return errors.Join(all...)
}
