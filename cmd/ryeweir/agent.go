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
	"ryeweir/internal/memory"
)

// gcPercent is the garbage collector's GOGC value if the environment sets none: the heap may grow to five times the live data before a
// collection. The heap is a few MB, and with Go's default of 100 there would be hundreds of collections a second under load. The memory
// limit takes precedence.
const gcPercent = 400

func agentCommand(log *logFlags) *cobra.Command {
	var operatorFile string
	var peerOptions peerFlags
	agentCmd := &cobra.Command{
		Use:   "agent",
		Short: "Run the agent, as configured by the platform's environment variables",
		Long: "Runs one agent in the foreground. PROXY_CONFIG names its configuration file; PROXY_NAME, PROXY_LISTEN,\n" +
			"PROXY_DISCOVERY and PROXY_CONTROL override the values in that file, and PROXY_ACCEPT_FD names an inherited\n" +
			"socket for clients. SIGHUP reloads the configuration; SIGTERM drains the agent and ends it.",
		Example: "  PROXY_CONFIG=/run/balancer/config.json ryeweir agent --log-format json",
		Args:    cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return runAgent(command.Context(), log, operatorFile, peerOptions, command.ErrOrStderr())
		},
	}
	agentCmd.Flags().StringVar(&operatorFile, "operator", "", "path of the operators' file (see deploy/operator.toml); without it the defaults apply")
	agentCmd.Flags().StringVar(&peerOptions.bind, "peer-bind", "", "address to listen on for peers; overrides peers.bind of the operators' file")
	agentCmd.Flags().StringVar(&peerOptions.advertise, "peer-advertise", "", "address at which peers reach this agent; overrides peers.advertise of the operators' file")
	agentCmd.Flags().StringArrayVar(&peerOptions.seeds, "peer-seed", nil, "address of a peer to join at the start; overrides peers.seeds of the operators' file; may be repeated")
	return agentCmd
}

// peerFlags holds the flags that override the peer settings of the operators' file. They differ between agents that share one file.
type peerFlags struct {
	bind, advertise string
	seeds           []string
}

// apply overrides the settings of the operators' file by the flags that are given, and checks the result.
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

// load reads the operators' file and applies the flags to it. An empty name stands for the defaults.
func (p peerFlags) load(name string) (operator.File, error) {
	file, err := operator.Load(name)
	if err != nil {
		return file, err
	}
	return file, p.apply(&file)
}

// runAgent runs an agent until it has drained after SIGTERM or SIGINT.
func runAgent(ctx context.Context, flags *logFlags, operatorFile string, peers peerFlags, stderr io.Writer) error {
	return runAgentWith(ctx, flags, operatorFile, peers, stderr, func(*agent.Environment) {})
}

// runAgentWith is runAgent with a function that may change the agent's environment before the agent starts. The soak uses it to inject
// faults.
func runAgentWith(ctx context.Context, flags *logFlags, operatorFile string, peers peerFlags, stderr io.Writer, change func(*agent.Environment)) error {
	hangups := make(chan os.Signal, 1) // one pending signal is enough: the files are read only after it is received
	signal.Notify(hangups, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE) // a write to the log raises it when the log's reader has exited
	lines := logwriter.New(stderr)
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
	env, err := listen(config)
	if err != nil {
		return err
	}
	env.OnPlan = limitRuntime
	change(&env)
	return agent.Run(ctx, config, operators, reloadConfig(hangups, operatorFile, peers), env, log.With("agent", config.Name))
}

// limitProcess limits the Go runtime to the processors that the platform grants.
func limitProcess(config platform.Config) {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(config.Cores))))
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
}

// limitRuntime limits the Go runtime to the memory that a plan leaves to it.
func limitRuntime(plan memory.Plan) { debug.SetMemoryLimit(plan.Runtime) }

// listen opens the listeners for clients and operators, and returns them as the agent's environment.
func listen(config platform.Config) (env agent.Environment, err error) {
	if env.Clients, env.Inherited, err = handover.Listen(os.Getenv, config.Listen); err != nil {
		return env, err
	}
	if config.Control == "" {
		return env, nil
	}
	if env.Control, err = handover.ListenWithRetry(config.Control); err != nil {
		return env, fmt.Errorf("listening on the operators' address (control): %w", err)
	}
	return env, nil
}

// reloadConfig returns what the agent reloads on SIGHUP: the platform's configuration, and the operators' file if there is one.
func reloadConfig(hangups <-chan os.Signal, operatorFile string, peers peerFlags) agent.ReloadConfig {
	r := agent.ReloadConfig{
		Signals:      hangups,
		LoadPlatform: func() (platform.Config, error) { return platform.Reload(os.Getenv) },
	}
	if operatorFile != "" {
		r.LoadOperator = func() (operator.File, error) { return peers.load(operatorFile) }
	}
	return r
}
