// Command ryeweir is a client-side load balancer agent, together with tools that run it in an emulated environment. Each subcommand
// has a file of its own, which parses the command line, checks it and calls the package that does the work. The exit code is 0 for
// success, 1 if the command failed or found something wrong (a broken rule, an invalid file), and 2 for a usage error.
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
	exitOK      = 0
	exitFailure = 1 // the command failed, or found something wrong
	exitUsage   = 2 // usage error
)

func main() { os.Exit(run(context.Background(), os.Args[1:], os.Stdout, os.Stderr)) }

// run executes a command line and returns the exit code. It prints an error that has not been reported yet.
func run(ctx context.Context, args []string, out, stderr io.Writer) int {
	root := newRoot()
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(stderr)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return exitOK
	}
	if !errors.Is(err, errReported) {
		fmt.Fprintln(stderr, "ryeweir:", err)
	}
	if errors.Is(err, errUsage) {
		return exitUsage
	}
	return exitFailure
}

var (
	// errUsage marks errors of the command line; see usageError.
	errUsage = errors.New("usage error")
	// errReported is returned by a command that has already printed why it fails.
	errReported = errors.New("the command has reported its failure")
)

// usageError wraps an error of the command line, so that the exit code is exitUsage.
func usageError(err error) error { return fmt.Errorf("%w (%w; see --help)", err, errUsage) }

// newRoot returns the root command with all subcommands.
func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:   "ryeweir",
		Short: "A client-side load balancer agent, and an emulated environment to test it in",
		Long: "ryeweir runs beside each copy of a calling application and sends its requests to the backend that is expected\n" +
			"to answer soonest, as its configuration allows. To see it run: ryeweir demo",
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError(err) })
	var log logFlags
	root.PersistentFlags().StringVar(&log.format, "log-format", "text", "format of the log on standard error: text or json")
	root.PersistentFlags().StringVar(&log.level, "log-level", defaultLevel(),
		"minimum level that is logged: debug (each step of each request), info, warn or error; overrides "+levelVariable)
	root.AddCommand(agentCommand(&log), versionCommand(), checkCommand(), demoCommand(), worldCommand(), loadCommand(),
		experimentCommand(), labCommand(), fleetCommand(), proxyCommand(), soakCommand(), soakAgentCommand(&log), soakBackendCommand())
	for _, command := range root.Commands() {
		command.Args = withUsageErrors(command.Args)
	}
	root.Args = cobra.ArbitraryArgs
	root.RunE = func(command *cobra.Command, args []string) error {
		if len(args) > 0 {
			return usageError(fmt.Errorf("unknown command %q", args[0]))
		}
		return command.Help()
	}
	return root
}

// withUsageErrors returns a check of positional arguments whose errors are usage errors.
func withUsageErrors(check cobra.PositionalArgs) cobra.PositionalArgs {
	if check == nil {
		return nil
	}
	return func(command *cobra.Command, args []string) error {
		if err := check(command, args); err != nil {
			return usageError(err)
		}
		return nil
	}
}

// levelVariable is the environment variable that sets the minimum level that is logged. The --log-level flag takes precedence.
const levelVariable = "RYEWEIR_LOG_LEVEL"

// defaultLevel returns the minimum level that is logged if --log-level is not given.
func defaultLevel() string {
	if level := os.Getenv(levelVariable); level != "" {
		return level
	}
	return "info"
}

// logFlags holds the values of --log-format and --log-level.
type logFlags struct{ format, level string }

// logger returns a logger that writes to w as the flags say. An invalid flag is a usage error.
func (l *logFlags) logger(w io.Writer) (*slog.Logger, error) {
	var level slog.Level
	if err := level.UnmarshalText([]byte(l.level)); err != nil || strings.ContainsAny(l.level, "+-") {
		return nil, usageError(fmt.Errorf("--log-level is %q, but must be debug, info, warn or error", l.level))
	}
	opts := &slog.HandlerOptions{Level: level}
	switch l.format {
	case "text":
		return slog.New(slog.NewTextHandler(w, opts)), nil
	case "json":
		return slog.New(slog.NewJSONHandler(w, opts)), nil
	}
	return nil, usageError(fmt.Errorf("--log-format is %q, but must be text or json", l.format))
}
