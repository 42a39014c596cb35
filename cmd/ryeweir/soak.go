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

// soakFlags are what the soak's command is told.
type soakFlags struct {
	seed   uint64
	runs   int
	length time.Duration
	until  time.Duration
	dir    string
	kinds  []string
	plant  []string
	plan   bool
}

func soakCommand() *cobra.Command {
	var f soakFlags
	cmd := &cobra.Command{
		Use:   "soak",
		Short: "Random overlapping faults on real processes, checked against the rules",
		Long: "Plays agents, backends, discoveries and callers as real processes on loopback, lets two or three troubles overlap\n" +
			"at a time, and checks what each client and backend saw against the rules. Prints the seed of each play, which draws\n" +
			"the same plan again. Exits with 1 where a rule was broken; logs and the account stay in the folder then.",
		Example: "  ryeweir soak --seed 7 --plays 20\n  ryeweir soak --seed 7 --kinds agent-term,server-drain",
		Args:    cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return runSoak(command.Context(), f, command.OutOrStdout())
		},
	}
	cmd.Flags().Uint64Var(&f.seed, "seed", 1, "of the first play; the next ones count up")
	cmd.Flags().IntVar(&f.runs, "plays", 1, "how many plays")
	cmd.Flags().DurationVar(&f.length, "length", 30*time.Second, "of a play")
	cmd.Flags().DurationVar(&f.until, "for", 0, "begin no play after so long; 0: all plays")
	cmd.Flags().StringVarP(&f.dir, "output", "o", "", "a folder for logs; none: a temporary one, kept where a rule was broken")
	cmd.Flags().StringSliceVar(&f.kinds, "kinds", nil, "draw only these troubles")
	cmd.Flags().StringArrayVar(&f.plant, "plant", nil, "a fault planted in the agents, such as 'duplicate 0.01': the soak must notice it")
	cmd.Flags().BoolVar(&f.plan, "plan", false, "print the plan and play nothing")
	return cmd
}

func runSoak(ctx context.Context, flags soakFlags, out io.Writer) error {
	program, err := os.Executable()
	if err != nil {
		return err
	}
	var only soak.FaultKinds
	for _, kind := range flags.kinds {
		only = append(only, soak.FaultKind(kind))
	}
	began, broken := time.Now(), 0
	for n := range flags.runs {
		if flags.until > 0 && time.Since(began) > flags.until {
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
		fmt.Fprintf(out, "rules broken in %d plays\n", broken)
		return errReported
	}
	return nil
}

// mostShown violations of one rule are printed; the account has all.
const mostShown = 4

// soakOnce plays one plan, and reports whether the rules held.
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
	result, err := soak.Run(ctx, plan, soak.Options{Program: program, Dir: dir, PlantedFaults: flags.plant, Out: out})
	if err != nil {
		return false, err
	}
	fmt.Fprintf(out, "seed %d: %d processes, %d requests, %d answered, %d served, %d attempts, %d troubles, latest by %v, %d MB at most, %d violations\n", plan.Seed,
		result.Processes, result.Requests, result.Answered, result.Served, result.Attempts, len(plan.Faults), result.Lag.Round(time.Millisecond), result.MaxRSS>>20, len(result.Violations))
	if len(result.Violations) == 0 {
		if flags.dir == "" {
			err = os.RemoveAll(dir)
		}
		return true, err
	}
	shown := map[string]int{}
	for _, v := range result.Violations {
		if shown[v.Rule]++; shown[v.Rule] <= mostShown {
			fmt.Fprintln(out, "  ", v)
		}
	}
	for rule, n := range shown {
		if n > mostShown {
			fmt.Fprintf(out, "   %s: %d in all\n", rule, n)
		}
	}
	fmt.Fprintln(out, "   logs in", dir)
	return false, result.Save(dir)
}

// soakAgentCommand is an agent on a machine that fails on command.
func soakAgentCommand(log *logging) *cobra.Command {
	var seed uint64
	var host string
	var plant []string
	var clock time.Duration
	cmd := &cobra.Command{Use: "soak-agent", Hidden: true, Args: cobra.NoArgs, Short: "An agent of a soak",
		RunE: func(command *cobra.Command, _ []string) error {
			machine := faultshim.New(seed)
			if err := machine.Execute("clock " + clock.String()); err != nil {
				return usage(err)
			}
			for _, fault := range plant {
				if err := machine.Execute("plant " + fault); err != nil {
					return usage(err)
				}
			}
			go machine.Run(command.InOrStdin(), func(line string, err error) { fmt.Fprintln(command.ErrOrStderr(), "soak:", line, err) })
			return runAgentOn(command.Context(), log, "", peerFlags{}, command.ErrOrStderr(), func(s *agent.Environment) {
				s.Clients = machine.Listen(s.Clients)
				s.Dial = machine.Dial(host)
				s.TimeOfDay = machine.Now
				s.Disk = machine
			})
		}}
	cmd.Flags().Uint64Var(&seed, "seed", 1, "of planted faults")
	cmd.Flags().StringVar(&host, "discovery-host", "", "the host of discovery")
	cmd.Flags().DurationVar(&clock, "clock", 0, "how far the time of day is off as it starts")
	cmd.Flags().StringArrayVar(&plant, "plant", nil, "a planted fault and its probability")
	return cmd
}

// soakBackendCommand is a backend of a soak.
func soakBackendCommand() *cobra.Command {
	var id string
	var instance int
	var seed uint64
	cmd := &cobra.Command{Use: "soak-backend", Hidden: true, Args: cobra.NoArgs, Short: "A backend of a soak",
		RunE: func(command *cobra.Command, _ []string) error {
			l, err := net.Listen("tcp", "127.0.0.4:0")
			if err != nil {
				return err
			}
			fmt.Fprintln(command.OutOrStdout(), l.Addr())
			return soak.RunBackend(command.Context(), l, id, instance, seed, command.InOrStdin(), command.OutOrStdout())
		}}
	cmd.Flags().StringVar(&id, "id", "", "its name in the list")
	cmd.Flags().IntVar(&instance, "instance", 1, "which process of the backend this is")
	cmd.Flags().Uint64Var(&seed, "seed", 1, "of what it does")
	return cmd
}
