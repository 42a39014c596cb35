// Command ryeweir-report draws the report of an experiment: report.html and its plots, from figures.json in the folder that the argument
// names. `ryeweir experiment` runs it. It is a program of its own so that the program with the agent stays small.
package main

import (
	"fmt"
	"os"

	"ryeweir/internal/experiment/report"
)

// Exit codes.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

func main() { os.Exit(run(os.Args[1:])) }

// run draws the report and returns the exit code.
func run(args []string) int {
	if len(args) != 1 {
		fmt.Fprintln(os.Stderr, "usage: ryeweir-report FOLDER")
		return exitUsage
	}
	if err := report.Draw(args[0]); err != nil {
		fmt.Fprintln(os.Stderr, "ryeweir-report:", err)
		return exitFailure
	}
	return exitOK
}
