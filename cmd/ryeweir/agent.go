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

// gcPercent lets the heap grow to five times what is in use before it is swept: that is a few MB, and sweeping a small heap
// hundreds of times a second took an eighth of the processor under load. The memory limit goes before it.
const gcPercent = 400

// heapPart is how much of the memory limit the runtime may fill; sockets and files count too.
const heapPart = 0.6

func agentCommand(log *logging) *cobra.Command {
	var operators string
	var at peerFlags
	cmd := &cobra.Command{
		Use:   "agent",
		Short: "Run the agent; the platform's environment says the rest",
		Long: "Runs one agent in the foreground. PROXY_CONFIG names its configuration; PROXY_NAME, PROXY_LISTEN,\n" +
			"PROXY_DISCOVERY and PROXY_CONTROL go before what stands there, and PROXY_ACCEPT_FD names an inherited\n" +
			"socket for clients. SIGHUP reads the configuration again; SIGTERM drains and ends.",
		Example: "  PROXY_CONFIG=/run/balancer/config.json ryeweir agent --log-format json",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return runAgent(c.Context(), log, operators, at, c.ErrOrStderr())
		},
	}
	cmd.Flags().StringVar(&operators, "operator", "", "the operators' file (see deploy/operator.toml); none: the defaults")
	cmd.Flags().StringVar(&at.bind, "peer-bind", "", "where this agent's peers reach it, in place of peers.bind")
	cmd.Flags().StringVar(&at.advertise, "peer-advertise", "", "in place of peers.advertise")
	cmd.Flags().StringArrayVar(&at.seeds, "peer-seed", nil, "in place of peers.seeds; may be repeated")
	return cmd
}

// peerFlags are what differs from agent to agent where all have one operators' file.
type peerFlags struct {
	bind, advertise string
	seeds           []string
}

func (p peerFlags) apply(f *operator.File) error {
	if p.bind != "" {
		f.Peers.Bind = p.bind
	}
	if p.advertise != "" {
		f.Peers.Advertise = p.advertise
	}
	if len(p.seeds) > 0 {
		f.Peers.Seeds = p.seeds
	}
	return f.Check()
}

func runAgent(ctx context.Context, flags *logging, operators string, at peerFlags, errs io.Writer) error {
	return runAgentOn(ctx, flags, operators, at, errs, func(*agent.Environment) {})
}

// runAgentOn runs an agent whose machine may be changed before it starts.
func runAgentOn(ctx context.Context, flags *logging, operators string, at peerFlags, errs io.Writer, change func(*agent.Environment)) error {
	hangups := make(chan os.Signal, 1) // one that waits is enough: the file is read after it
	signal.Notify(hangups, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE) // of a log whose reader has died
	lines := logwriter.New(errs)
	defer lines.Close()
	log, err := flags.logger(lines)
	if err != nil {
		return err
	}
	ops, err := operator.Load(operators)
	if err != nil {
		return err
	}
	if err := at.apply(&ops); err != nil {
		return err
	}
	cfg, err := platform.Load(os.Getenv)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(max(1, int(math.Ceil(cfg.Cores))))
	memory := heapPart * float64(cfg.MemoryMB<<20)
	if handover.Inherits(os.Getenv) {
		memory /= 2 // for a while two processes share the limit
	}
	debug.SetMemoryLimit(int64(memory))
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	log = log.With("agent", cfg.Name)
	reloads := agent.ReloadConfig{Signals: hangups, LoadPlatform: func() (platform.Config, error) { return platform.Reload(os.Getenv) }}
	if operators != "" {
		reloads.LoadOperator = func() (operator.File, error) {
			f, err := operator.Load(operators)
			if err != nil {
				return f, err
			}
			return f, at.apply(&f)
		}
	}
	var sockets agent.Environment
	if sockets.Clients, sockets.Inherited, err = handover.Listen(os.Getenv, cfg.Listen); err != nil {
		return err
	}
	if cfg.Control != "" {
		if sockets.Control, err = handover.ListenPatiently(cfg.Control); err != nil {
			return fmt.Errorf("listening for operators: %w", err)
		}
	}
	change(&sockets)
	return agent.Run(ctx, cfg, ops, reloads, sockets, log)
}
