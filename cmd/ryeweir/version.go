package main

import (
	"fmt"
	"runtime/debug"

	"github.com/spf13/cobra"
)

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "version",
		Short:   "Print the version and the commit of this program",
		Example: "  ryeweir version",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			info, ok := debug.ReadBuildInfo()
			if !ok {
				return fmt.Errorf("this program contains no build information: it was built without module support")
			}
			settings := map[string]string{}
			for _, s := range info.Settings {
				settings[s.Key] = s.Value
			}
			fmt.Fprintf(c.OutOrStdout(), "ryeweir %s %s", info.Main.Version, info.GoVersion)
			if commit := settings["vcs.revision"]; commit != "" {
				fmt.Fprintf(c.OutOrStdout(), " commit %s of %s", commit, settings["vcs.time"])
				if settings["vcs.modified"] == "true" {
					fmt.Fprint(c.OutOrStdout(), " with uncommitted changes")
				}
			}
			fmt.Fprintln(c.OutOrStdout())
			return nil
		},
	}
}
