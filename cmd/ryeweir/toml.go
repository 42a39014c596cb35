package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"ryeweir/internal/config"
)

// readTOML reads and checks one of our files. What is wrong with it has been said when it returns errReported.
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
