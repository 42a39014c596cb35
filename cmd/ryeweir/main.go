// Command ryeweir is a client-side load balancer agent, and the tools to see it at work. Each subcommand has a file, which only parses,
// checks and calls. Exit codes: 0 yes, 1 the answer is no (a rule broke, a check failed), 2 wrong use.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"strings"

	"github.com/spf13/cobra"
)

// Exit codes.
const (
	exitYes   = 0
	exitNo    = 1 // the answer is no, or the command failed
	exitUsage = 2 // wrong use
)

func main() { os.Exit(run(context.Background(), os.Args[1:], os.Stdout, os.Stderr)) }

// run is the program: it returns the exit code.
func run(ctx context.Context, args []string, out, errs io.Writer) int {
	root := newRoot()
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errs)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return exitYes
	}
	if !errors.Is(err, errReported) {
		fmt.Fprintln(errs, "ryeweir:", err)
	}
	if errors.Is(err, errUsage) {
		return exitUsage
	}
	return exitNo
}

var (
	errUsage = errors.New("wrong use")
	// errReported is a no whose reason has been printed in full.
	errReported = errors.New("the answer is no")
)

// usage marks an error as wrong use.
func usage(err error) error { return fmt.Errorf("%w (%w; see --help)", err, errUsage) }

// newRoot builds the command line.
func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:   "ryeweir",
		Short: "A load balancer agent beside each calling application, and a world to try it in",
		Long: "ryeweir runs beside each copy of a calling application and sends its requests to the backend that will\n" +
			"answer soonest, by the rules of its deployment. See it at work with: ryeweir demo",
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usage(err) })
	var log logging
	root.PersistentFlags().StringVar(&log.format, "log-format", "text", "form of the log on standard error: text or json")
	root.PersistentFlags().StringVar(&log.level, "log-level", defaultLevel(),
		"least level that is logged: debug (each step of each request), info, warn or error; also "+levelVariable)
	root.AddCommand(agentCommand(&log), versionCommand(), checkCommand(), demoCommand(), worldCommand(), loadCommand(),
		experimentCommand(), labCommand(), fleetCommand(), proxyCommand(), soakCommand(), soakAgentCommand(&log), soakBackendCommand())
	for _, command := range root.Commands() {
		command.Args = argumentsAsUsage(command.Args)
	}
	root.Args = cobra.ArbitraryArgs
	root.RunE = func(command *cobra.Command, args []string) error {
		if len(args) > 0 {
			return usage(fmt.Errorf("no command %q", args[0]))
		}
		return command.Help()
	}
	return root
}

// argumentsAsUsage makes an error of a command's arguments one of wrong use.
func argumentsAsUsage(check cobra.PositionalArgs) cobra.PositionalArgs {
	if check == nil {
		return nil
	}
	return func(command *cobra.Command, args []string) error {
		if err := check(command, args); err != nil {
			return usage(err)
		}
		return nil
	}
}

// levelVariable is the environment variable for the least level that is logged. The flag takes precedence.
const levelVariable = "RYEWEIR_LOG_LEVEL"

// defaultLevel is the least level that is logged where no flag says one.
func defaultLevel() string {
	if level := os.Getenv(levelVariable); level != "" {
		return level
	}
	return "info"
}

// logging holds the flags of the log.
type logging struct{ format, level string }

// logger returns the log on w.
func (l *logging) logger(w io.Writer) (*slog.Logger, error) {
	var level slog.Level
	if err := level.UnmarshalText([]byte(l.level)); err != nil || strings.ContainsAny(l.level, "+-") {
		return nil, usage(fmt.Errorf("--log-level %q is none of debug, info, warn and error", l.level))
	}
	opts := &slog.HandlerOptions{Level: level}
	switch l.format {
	case "text":
		return slog.New(slog.NewTextHandler(w, opts)), nil
	case "json":
		return slog.New(slog.NewJSONHandler(w, opts)), nil
	}
	return nil, usage(fmt.Errorf("--log-format %q is neither text nor json", l.format))
}
