package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"ryeweir/internal/agent"
	"ryeweir/internal/faultshim"
	"ryeweir/internal/soak"
)

// soakFlags holds the flags of `ryeweir soak`.
type soakFlags struct {
	seed    uint64        // seed of the first run
	runs    int           // number of runs
	length  time.Duration // duration of a run
	maxTime time.Duration // no run starts later than this; 0: no limit
	dir     string        // folder for logs; empty for a temporary one
	kinds   []string      // draw only faults of these kinds; nil for all
	plant   []string      // bugs that are planted in the agents, as arguments of faultshim's plant command
	plan    bool          // print the plans and run nothing
}

func soakCommand() *cobra.Command {
	var f soakFlags
	cmd := &cobra.Command{
		Use:   "soak",
		Short: "Inject random overlapping faults into real processes, and check the rules",
		Long: "Runs agents and backends as real processes on loopback, with discovery and callers, injects faults of which two or three\n" +
			"overlap at a time, and checks what each client and backend saw against the rules. Prints the seed of each run, which\n" +
			"draws the same plan again. The exit code is 1 if a rule was broken; then the logs are kept, and beside them the file\n" +
			"violations.txt with the plan and all violations.",
		Example: "  ryeweir soak --seed 7 --plays 20\n  ryeweir soak --seed 7 --kinds agent-term,server-drain",
		Args:    cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return runSoak(command.Context(), f, command.OutOrStdout())
		},
	}
	cmd.Flags().Uint64Var(&f.seed, "seed", 1, "seed of the first run; each further run adds 1")
	cmd.Flags().IntVar(&f.runs, "plays", 1, "number of runs")
	cmd.Flags().DurationVar(&f.length, "length", 30*time.Second, "duration of a run")
	cmd.Flags().DurationVar(&f.maxTime, "for", 0, "start no further run after this time; 0: no limit")
	cmd.Flags().StringVarP(&f.dir, "output", "o", "", "folder for logs; without it a temporary one, which is kept if a rule was broken")
	cmd.Flags().StringSliceVar(&f.kinds, "kinds", nil, "draw only faults of these kinds")
	cmd.Flags().StringArrayVar(&f.plant, "plant", nil, "bug to plant in the agents, with its probability, such as 'duplicate 0.01'; the soak must notice it")
	cmd.Flags().BoolVar(&f.plan, "plan", false, "print the plans and run nothing")
	return cmd
}

// runSoak runs the plans of consecutive seeds. It returns errReported if a run broke a rule.
func runSoak(ctx context.Context, flags soakFlags, out io.Writer) error {
	program, err := os.Executable()
	if err != nil {
		return err
	}
	var only soak.FaultKinds
	for _, kind := range flags.kinds {
		only = append(only, soak.FaultKind(kind))
	}
	start, broken := time.Now(), 0
	for n := range flags.runs {
		if flags.maxTime > 0 && time.Since(start) > flags.maxTime {
			break
		}
		plan := soak.Draw(flags.seed+uint64(n), flags.length, only)
		if flags.plan {
			fmt.Fprint(out, plan.Describe())
			continue
		}
		held, err := soakOnce(ctx, plan, program, flags, out)
		if err != nil {
			return err
		}
		if !held {
			broken++
		}
	}
	if broken > 0 {
		fmt.Fprintf(out, "%d runs broke a rule\n", broken)
		return errReported
	}
	return nil
}

// maxShownPerRule is how many violations of one rule are printed. The file violations.txt has all (see soak.Result.Save).
const maxShownPerRule = 4

// soakOnce runs one plan, prints its figures and violations, and reports whether the rules held. It removes a temporary folder
// of logs if they did.
func soakOnce(ctx context.Context, plan *soak.Plan, program string, flags soakFlags, out io.Writer) (bool, error) {
	dir := flags.dir
	var err error
	if dir == "" {
		if dir, err = os.MkdirTemp("", "ryeweir-soak-"); err != nil {
			return false, err
		}
	} else if dir = filepath.Join(flags.dir, fmt.Sprint(plan.Seed)); true {
		if err = os.MkdirAll(dir, 0o700); err != nil {
			return false, err
		}
	}
	result, err := soak.Run(ctx, plan, soak.Options{Program: program, MemoryChecked: true, Dir: dir, PlantedFaults: flags.plant, Out: out})
	if err != nil {
		return false, err
	}
	fmt.Fprintf(out, "seed %d: %d processes, %d requests, %d answered, %d served, %d attempts, %d faults, soak process delayed by up to %v, largest agent %d MB, %d violations\n", plan.Seed,
		result.Processes, result.Requests, result.Answered, result.Served, result.Attempts, len(plan.Faults), result.Lag.Round(time.Millisecond), result.MaxRSS>>20, len(result.Violations))
	if len(result.Violations) == 0 {
		if flags.dir == "" {
			err = os.RemoveAll(dir)
		}
		return true, err
	}
	shown := map[string]int{}
	for _, v := range result.Violations {
		if shown[v.Rule]++; shown[v.Rule] <= maxShownPerRule {
			fmt.Fprintln(out, "  ", v)
		}
	}
	for rule, n := range shown {
		if n > maxShownPerRule {
			fmt.Fprintf(out, "   %s: %d in all\n", rule, n)
		}
	}
	fmt.Fprintln(out, "   logs in", dir)
	return false, result.Save(dir)
}

// soakAgentCommand returns the hidden command that runs an agent of a soak: its system calls, clock and storage fail as the commands on
// standard input say (see faultshim).
func soakAgentCommand(log *logFlags) *cobra.Command {
	var seed uint64
	var host string
	var plant []string
	var clock time.Duration
	cmd := &cobra.Command{Use: "soak-agent", Hidden: true, Args: cobra.NoArgs, Short: "Run an agent of a soak, with faults injected by commands on standard input",
		RunE: func(command *cobra.Command, _ []string) error {
			machine := faultshim.New(seed)
			if err := machine.Execute("clock " + clock.String()); err != nil {
				return usageError(err)
			}
			for _, fault := range plant {
				if err := machine.Execute("plant " + fault); err != nil {
					return usageError(err)
				}
			}
			go machine.Run(command.InOrStdin(), func(line string, err error) { fmt.Fprintln(command.ErrOrStderr(), "soak:", line, err) })
			return runAgentWith(command.Context(), log, "", peerFlags{}, command.ErrOrStderr(), func(env *agent.Environment) {
				env.Clients = machine.Listen(env.Clients)
				env.Dial = machine.Dial(host)
				env.TimeOfDay = machine.Now
				env.Disk = machine
			})
		}}
	cmd.Flags().Uint64Var(&seed, "seed", 1, "seed of the planted faults")
	cmd.Flags().StringVar(&host, "discovery-host", "", "host of discovery; its connections get no faults but the planted fault 'deaf'")
	cmd.Flags().DurationVar(&clock, "clock", 0, "initial offset of the wall clock")
	cmd.Flags().StringArrayVar(&plant, "plant", nil, "bug to plant, with its probability; may be repeated")
	return cmd
}

// soakBackendCommand returns the hidden command that runs a backend of a soak. It prints the address on which the backend listens.
func soakBackendCommand() *cobra.Command {
	var id, listen string
	var instance int
	var seed uint64
	cmd := &cobra.Command{Use: "soak-backend", Hidden: true, Args: cobra.NoArgs, Short: "Run a backend of a soak",
		RunE: func(command *cobra.Command, _ []string) error {
			l, err := net.Listen("tcp", listen)
			if err != nil {
				return err
			}
			fmt.Fprintln(command.OutOrStdout(), l.Addr())
			return soak.RunBackend(command.Context(), l, id, instance, seed, command.InOrStdin(), command.OutOrStdout())
		}}
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.4:0", "address to listen on")
	cmd.Flags().StringVar(&id, "id", "", "ID of the backend in the endpoint list")
	cmd.Flags().IntVar(&instance, "instance", 1, "number of this process among those of the same backend")
	cmd.Flags().Uint64Var(&seed, "seed", 1, "seed of the backend's random behavior")
	return cmd
}
