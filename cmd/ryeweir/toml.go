package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"ryeweir/internal/config"
)

// readTOML reads one of this program's TOML files into a struct that holds the defaults, and checks it. It prints what is wrong with the
// file and returns errReported then.
func readTOML(command *cobra.Command, file string, into config.Checker) error {
	data, err := config.Read(file)
	if err == nil {
		err = config.TOML(file, data, into)
	}
	if err != nil {
		fmt.Fprintln(command.ErrOrStderr(), err)
		return errReported
	}
	return nil
}
