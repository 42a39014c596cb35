package main

import (
	"context"
	"fmt"
	"io"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/spf13/cobra"

	"ryeweir/internal/agent"
	"ryeweir/internal/config/operator"
	"ryeweir/internal/config/platform"
	"ryeweir/internal/handover"
	"ryeweir/internal/logwriter"
)

// gcPercent is GOGC where the environment sets none: the heap may grow to five times what is in use before it is swept. The heap is a few
// MB, and with Go's default of 100 it would be swept hundreds of times a second under load. The memory limit takes precedence.
const gcPercent = 400

// heapFraction is the part of the memory limit that the runtime may fill; sockets and files count against the limit too.
const heapFraction = 0.6

func agentCommand(log *logging) *cobra.Command {
	var operatorFile string
	var peerOptions peerFlags
	agentCmd := &cobra.Command{
		Use:   "agent",
		Short: "Run the agent; the platform's environment says the rest",
		Long: "Runs one agent in the foreground. PROXY_CONFIG names its configuration; PROXY_NAME, PROXY_LISTEN,\n" +
			"PROXY_DISCOVERY and PROXY_CONTROL go before what stands there, and PROXY_ACCEPT_FD names an inherited\n" +
			"socket for clients. SIGHUP reads the configuration again; SIGTERM drains and ends.",
		Example: "  PROXY_CONFIG=/run/balancer/config.json ryeweir agent --log-format json",
		Args:    cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return runAgent(command.Context(), log, operatorFile, peerOptions, command.ErrOrStderr())
		},
	}
	agentCmd.Flags().StringVar(&operatorFile, "operator", "", "the operators' file (see deploy/operator.toml); none: the defaults")
	agentCmd.Flags().StringVar(&peerOptions.bind, "peer-bind", "", "where this agent's peers reach it, in place of peers.bind")
	agentCmd.Flags().StringVar(&peerOptions.advertise, "peer-advertise", "", "in place of peers.advertise")
	agentCmd.Flags().StringArrayVar(&peerOptions.seeds, "peer-seed", nil, "in place of peers.seeds; may be repeated")
	return agentCmd
}

// peerFlags are the settings that differ between agents that share one operators' file.
type peerFlags struct {
	bind, advertise string
	seeds           []string
}

// apply puts the flags over the operators' file, and checks the result.
func (p peerFlags) apply(file *operator.File) error {
	if p.bind != "" {
		file.Peers.Bind = p.bind
	}
	if p.advertise != "" {
		file.Peers.Advertise = p.advertise
	}
	if len(p.seeds) > 0 {
		file.Peers.Seeds = p.seeds
	}
	return file.Check()
}

// load reads the operators' file, the defaults where its name is empty, and puts the flags over it.
func (p peerFlags) load(name string) (operator.File, error) {
	file, err := operator.Load(name)
	if err != nil {
		return file, err
	}
	return file, p.apply(&file)
}

// runAgent runs an agent until SIGTERM or SIGINT has drained it.
func runAgent(ctx context.Context, flags *logging, operatorFile string, peers peerFlags, errs io.Writer) error {
	return runAgentOn(ctx, flags, operatorFile, peers, errs, func(*agent.Environment) {})
}

// runAgentOn is runAgent on sockets that change may wrap before the agent starts; the soak injects faults there.
func runAgentOn(ctx context.Context, flags *logging, operatorFile string, peers peerFlags, errs io.Writer, change func(*agent.Environment)) error {
	hangups := make(chan os.Signal, 1) // one pending signal is enough: the files are read after it
	signal.Notify(hangups, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE) // from a log whose reader has died
	lines := logwriter.New(errs)
	defer lines.Close()
	log, err := flags.logger(lines)
	if err != nil {
		return err
	}
	operators, err := peers.load(operatorFile)
	if err != nil {
		return err
	}
	config, err := platform.Load(os.Getenv)
	if err != nil {
		return err
	}
	limitProcess(config)
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	sockets, err := listen(config)
	if err != nil {
		return err
	}
	change(&sockets)
	return agent.Run(ctx, config, operators, reloads(hangups, operatorFile, peers), sockets, log.With("agent", config.Name))
}

// limitProcess sets the runtime's limits of processors and memory by the platform's.
func limitProcess(config platform.Config) {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(config.Cores))))
	memory := heapFraction * float64(config.MemoryMB<<20)
	if handover.Inherits(os.Getenv) {
		memory /= 2 // during a handover two processes share the limit
	}
	debug.SetMemoryLimit(int64(memory))
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
}

// listen opens the sockets of clients and operators.
func listen(config platform.Config) (sockets agent.Environment, err error) {
	if sockets.Clients, sockets.Inherited, err = handover.Listen(os.Getenv, config.Listen); err != nil {
		return sockets, err
	}
	if config.Control == "" {
		return sockets, nil
	}
	if sockets.Control, err = handover.ListenWithRetry(config.Control); err != nil {
		return sockets, fmt.Errorf("listening for operators: %w", err)
	}
	return sockets, nil
}

// reloads says what SIGHUP reads again: the platform's configuration, and the operators' file where there is one.
func reloads(hangups <-chan os.Signal, operatorFile string, peers peerFlags) agent.ReloadConfig {
	r := agent.ReloadConfig{
		Signals:      hangups,
		LoadPlatform: func() (platform.Config, error) { return platform.Reload(os.Getenv) },
	}
	if operatorFile != "" {
		r.LoadOperator = func() (operator.File, error) { return peers.load(operatorFile) }
	}
	return r
}
