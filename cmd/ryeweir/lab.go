package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"ryeweir/internal/config"
	"ryeweir/internal/config/operator"
	"ryeweir/internal/emulator"
	"ryeweir/internal/experiment"
	"ryeweir/internal/processrig"
)

// readTOML reads and checks one of our files. What is wrong with it has been said when it returns errSaid.
func readTOML(c *cobra.Command, file string, into config.Checker) error {
	data, err := config.Read(file)
	if err == nil {
		err = config.TOML(file, data, into)
	}
	if err != nil {
		fmt.Fprintln(c.ErrOrStderr(), err)
		return errSaid
	}
	return nil
}

func experimentCommand() *cobra.Command {
	var dir, against string
	var hunt time.Duration
	var seed uint64
	var simulated bool
	var repeats int
	c := &cobra.Command{
		Use:   "experiment FILE",
		Short: "Play days with one or more arms, repeated and paired, and report how they differ",
		Long: "Plays each day of FILE with each arm, repeated with other seeds; equal repeats of all arms get the same arrivals and\n" +
			"troubles. The folder gets report.html, figures.json and plots. An interrupted run leaves what was finished. The\n" +
			"exit code is 1 if a rule broke or a run could not be played. With --hunt, no FILE is read: random days of whole fleets are\n" +
			"played side by side, and each that breaks a rule or serves too little is left in the folder as a file to play again.",
		Example: "  ryeweir experiment deploy/experiments/arms.toml -o /tmp/arms\n" +
			"  ryeweir experiment deploy/experiments/many-days.toml -o /tmp/after --against /tmp/before\n" +
			"  ryeweir experiment deploy/experiments/overload.toml --simulated --repeats 10 -o /tmp/overload\n" +
			"  ryeweir experiment --hunt 5m --seed 1000 -o /tmp/hunt",
		Args: cobra.MaximumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if dir == "" {
				return usage(errors.New("-o DIR says where the report goes"))
			}
			if hunt > 0 == (len(args) == 1) {
				return usage(errors.New("it takes FILE or --hunt"))
			}
			if hunt > 0 {
				ctx, stop := interruptible(c.Context())
				defer stop()
				ctx, end := context.WithTimeout(ctx, hunt)
				defer end()
				found, err := experiment.Hunt(ctx, seed, 0, dir, c.OutOrStdout())
				if err == nil && len(found.Found) > 0 {
					return errSaid
				}
				return err
			}
			var spec experiment.Spec
			if err := readTOML(c, args[0], &spec); err != nil {
				return err
			}
			spec.Simulated = spec.Simulated || simulated
			if repeats != 0 {
				spec.Repeats = repeats
			}
			if err := spec.Check(); err != nil { // again, as it is played now
				return usage(fmt.Errorf("%s, as it is to be played: %w", args[0], err))
			}
			self, err := os.Executable()
			if err != nil {
				return err
			}
			ctx, stop := interruptible(c.Context())
			defer stop()
			f, err := experiment.Run(ctx, &spec, self, dir, against, c.OutOrStdout())
			if err != nil {
				return err
			}
			out := c.OutOrStdout()
			for _, r := range f.Rows {
				fmt.Fprintf(out, "%-12s %-12s service %.3f (%.3f to %.3f)  worst 10 s %.3f  p50 %.1f ms  p99 %.0f ms", r.Day, r.Arm, r.Service.Mean,
					r.Service.Low, r.Service.High, r.Worst, r.P50, r.P99)
				if f.Simulated {
					fmt.Fprintf(out, "  refused %.3f, with room %.4f, of its own %.4f  into a jam %.4f  probes %.3f  nodes used %.2f  cold peak %.2f",
						r.Refused, r.Falsely, r.Near, r.IntoJam, r.Probes, r.Used, r.ColdPeak)
				}
				if r.Goodput.Mean > 0 {
					fmt.Fprintf(out, "  surge: goodput %.3f (%.3f to %.3f), back after %.0f s, chokes %.1f, done %.0f, attempts %.2f, probe work %.4f, worthiest served %.3f, passed over %.3f, cold peak %.2f",
						r.Goodput.Mean, r.Goodput.Low, r.Goodput.High, r.Back, r.Chokes, r.Done, r.Attempts, r.Probing, r.Worthy, r.Passed, r.ColdPeak)
				}
				if r.Unheard > 0 {
					fmt.Fprintf(out, "  sent to ending nodes by agents that were not told: %.0f", r.Unheard)
				}
				fmt.Fprintln(out)
			}
			for _, o := range f.Outcomes {
				printViews(out, o)
			}
			for _, d := range f.Differences {
				if d.Figure == "service" {
					fmt.Fprintf(out, "%-12s %s against %s: service %+.3f (%+.3f to %+.3f): %s\n", d.Day, d.Arm, d.Than, d.Mean, d.Low, d.High, d.Verdict)
				}
			}
			for _, g := range f.Gate {
				if !g.Passed {
					fmt.Fprintf(out, "gate: %s with %s, seed %d: served %.3f, wanted %.3f: %s\n", g.Day, g.Arm, g.Seed, g.Served, g.Wanted, g.Why)
				}
			}
			if len(f.Gate) > 0 && f.Passed() {
				fmt.Fprintln(out, "GATE passed")
			} else if len(f.Gate) > 0 {
				fmt.Fprintln(out, "GATE failed")
			}
			fmt.Fprintln(out, "report:", filepath.Join(dir, "report.html"))
			if f.Unfinished || len(f.Failures) > 0 || !f.Held() || !f.Passed() {
				fmt.Fprintln(out, "not all of it went well: a run was interrupted or failed, a rule broke, or the gate failed")
				return errSaid
			}
			return nil
		},
	}
	c.Flags().StringVarP(&dir, "output", "o", "", "the folder for the report")
	c.Flags().DurationVar(&hunt, "hunt", 0, "play random days of whole fleets for so long, and keep each that does not pass as a file")
	c.Flags().Uint64Var(&seed, "seed", 1, "with --hunt: the first day's")
	c.Flags().BoolVar(&simulated, "simulated", false, "play FILE's days in simulated time, in seconds instead of minutes")
	c.Flags().IntVar(&repeats, "repeats", 0, "in place of FILE's")
	c.Flags().StringVar(&against, "against", "", "the folder of another play of FILE, as by an earlier program, to compare with")
	return c
}

// printViews prints what agents that talk with each other saw of their peers.
func printViews(out io.Writer, o experiment.Outcome) {
	v := o.Views
	if v == nil {
		return
	}
	fmt.Fprintf(out, "%-12s %-12s seed %d: an agent sent %.0f bytes a second (%.0f at most); %d notices came by peers in %.0f ms (%.0f at most), held back %d times; facts: %d at most, %d refused, %d evicted\n",
		o.Day, o.Arm, o.Seed, v.BytesEach, v.BytesMost, v.Notices, v.NoticeMean, v.NoticeWorst, v.HeldBack, v.Facts, v.Refused, v.Evicted)
	for _, h := range v.Healed {
		fmt.Fprintf(out, "  after %s (%.1f s; an agent saw as few as %d): all others seen after %.2f s, the last agent after %.2f s, never by %d\n", h.Fault, h.At,
			h.Least, h.Median, h.Worst, h.Never)
	}
}

func worldCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "world FILE",
		Short: "Run stand-in nodes and discovery on loopback ports until stopped",
		Long: "Runs the order nodes and discovery of FILE's day and writes a configuration for each agent, so that an agent can be\n" +
			"started by hand beside it. The day's troubles come at their times; Ctrl-C ends it.",
		Example: "  ryeweir world deploy/experiments/world.toml",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			var spec experiment.WorldSpec
			if err := readTOML(c, args[0], &spec); err != nil {
				return err
			}
			ctx, stop := interruptible(c.Context())
			defer stop()
			return runWorld(ctx, c, &spec)
		},
	}
}

func runWorld(ctx context.Context, c *cobra.Command, spec *experiment.WorldSpec) error {
	day, err := spec.Day.Draw(spec.Seed)
	if err != nil {
		return err
	}
	dir := spec.Dir
	if dir == "" {
		if dir, err = os.MkdirTemp("", "ryeweir-world-"); err != nil {
			return err
		}
		defer os.RemoveAll(dir)
	} else if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	w, err := emulator.Start(context.WithoutCancel(ctx), day, &emulator.Loopback{}, false)
	if err != nil {
		return err
	}
	defer w.Close()
	out := c.OutOrStdout()
	for i, name := range day.Agents {
		listen, control, err := processrig.TwoPorts("127.0.0.1", i)
		if err != nil {
			return err
		}
		known := w.Known(i)
		text, err := day.AgentConfig(i, listen, control, w.Discovery(i), emulator.DefaultLimits(), &known)
		if err != nil {
			return err
		}
		file := filepath.Join(dir, name+".json")
		if err := os.WriteFile(file, text, 0o600); err != nil {
			return fmt.Errorf("the agent's configuration: %w", err)
		}
		fmt.Fprintf(out, "PROXY_CONFIG=%s ryeweir agent    # clients at %s, operators at %s\n", file, listen, control)
	}
	fmt.Fprintf(out, "%d nodes stand; the day's troubles begin now. Ctrl-C ends it.\n", len(day.Nodes))
	w.Play()
	tick := time.NewTicker(5 * time.Second)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			a := w.Referee.Account()
			fmt.Fprintf(out, "%d attempts came to the nodes, %d were begun\n", a.Attempts, a.Effects)
			return w.Err()
		case <-tick.C:
			line := fmt.Sprintf("%4.0fs", w.Now().Seconds())
			for _, s := range w.States() {
				line += fmt.Sprintf("  %s %d/%d", s.ID, s.InFlight, s.Figures.Served)
			}
			fmt.Fprintln(out, line)
		}
	}
}

func loadCommand() *cobra.Command {
	var file string
	var compare bool
	var seconds int
	c := &cobra.Command{
		Use:   "load FILE",
		Short: "Send open-loop load to agents that run already, or compare the agent's cost with a plain proxy's",
		Long: "Sends what FILE's day plans to the agents at its targets, and prints how it went, by what the callers saw. With\n" +
			"--compare, no FILE is read: the agent and a plain reverse proxy of Go's library stand in turn before instant\n" +
			"stand-ins, on one core each, at 300 requests a second and at full speed over 32 connections.",
		Example: "  ryeweir load deploy/experiments/load.toml\n  ryeweir load --compare",
		Args:    cobra.MaximumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			ctx, stop := interruptible(c.Context())
			defer stop()
			if compare == (len(args) == 1) {
				return usage(errors.New("it takes FILE or --compare"))
			}
			if compare {
				return compareCost(ctx, c, time.Duration(seconds)*time.Second, file)
			}
			var spec experiment.LoadSpec
			if err := readTOML(c, args[0], &spec); err != nil {
				return err
			}
			if len(spec.Targets) == 0 {
				return &config.Error{File: args[0], Key: "targets", Err: errors.New("names no agent's address")}
			}
			o, err := experiment.Load(ctx, &spec)
			if err != nil {
				return err
			}
			if file != "" {
				if err := writeJSON(file, o); err != nil {
					return err
				}
			}
			printFigures(c.OutOrStdout(), o)
			return nil
		},
	}
	c.Flags().StringVar(&file, "json", "", "write the figures to this file")
	c.Flags().BoolVar(&compare, "compare", false, "compare the agent's cost with a plain proxy's")
	c.Flags().IntVar(&seconds, "seconds", 5, "with --compare: how long each measurement takes")
	return c
}

// proxyCommand is the plain reverse proxy that load --compare sets the agent beside.
func proxyCommand() *cobra.Command {
	var listen string
	var targets []string
	c := &cobra.Command{
		Use:     "proxy",
		Short:   "A plain reverse proxy of Go's library, for load --compare",
		Example: "  ryeweir proxy --listen 127.0.0.1:9001 --target 127.0.0.1:9002",
		Hidden:  true,
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			ctx, stop := interruptible(c.Context())
			defer stop()
			l, err := net.Listen("tcp", listen)
			if err != nil {
				return err
			}
			return experiment.PlainProxy(ctx, l, targets)
		},
	}
	c.Flags().StringVar(&listen, "listen", "127.0.0.1:0", "where clients connect")
	c.Flags().StringSliceVar(&targets, "target", nil, "a backend's address; may be repeated")
	return c
}

func compareCost(ctx context.Context, c *cobra.Command, each time.Duration, file string) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	costs, ratios, err := experiment.Compare(ctx, self, each)
	if err != nil {
		return err
	}
	out := c.OutOrStdout()
	fmt.Fprintf(out, "%-8s %-12s %10s %24s %10s %9s %9s %9s\n", "through", "rate", "answers/s", "CPU us each", "memory MB", "p50 ms", "p99 ms", "p99.9 ms")
	for i, x := range costs {
		fmt.Fprintf(out, "%-8s %-12s %10.0f %8.1f (%5.1f to %5.1f) %10.1f %9.2f %9.2f %9.2f\n", x.Through, x.Rate, x.PerSecond, x.CPU, x.Low, x.High, x.MemoryMB,
			x.P50, x.P99, x.P999)
		if r := ratios[i/2]; i%2 == 1 {
			fmt.Fprintf(out, "the agent had %d connections open, %.2f handshakes per 1,000 answers\n", costs[i-1].Open, costs[i-1].Opened)
			fmt.Fprintf(out, "the agent takes %.3f (%.3f to %.3f) of the proxy's processor time, slice by slice\n", r.Mean, r.Low, r.High)
		}
	}
	if file != "" {
		return writeJSON(file, costs)
	}
	return nil
}

// describeTOML says what a TOML file of ours means, or what is wrong with it.
func describeTOML(file string, data []byte) (string, error) {
	kind, err := experiment.KindOf(file, data)
	if err != nil {
		return "", err
	}
	switch kind {
	case "experiment":
		var s experiment.Spec
		if err := config.TOML(file, data, &s); err != nil {
			return "", err
		}
		return fmt.Sprintf("experiment %s: %d days with %d arms, %d repeats", s.Name, len(s.Days), len(s.Arms), s.Repeats), nil
	case "drill":
		var s experiment.DrillSpec
		if err := config.TOML(file, data, &s); err != nil {
			return "", err
		}
		return describeDay("drill "+s.Name, &s.Day, s.Seed)
	case "fleet":
		s := experiment.DefaultFleet()
		if err := config.TOML(file, data, &s); err != nil {
			return "", err
		}
		return fmt.Sprintf("model %s: %d agents and %d servers with %d arms, %d repeats", s.Name, s.Agents, s.Servers, len(s.Arms), s.Repeats), nil
	case "operator":
		f, err := operator.Parse(file, data)
		if err != nil {
			return "", err
		}
		var text strings.Builder
		f.Describe(&text)
		return strings.TrimSuffix(text.String(), "\n"), nil
	case "load":
		var s experiment.LoadSpec
		if err := config.TOML(file, data, &s); err != nil {
			return "", err
		}
		return describeDay("load on "+fmt.Sprint(s.Targets), &s.Day, s.Seed)
	case "world":
		var s experiment.WorldSpec
		if err := config.TOML(file, data, &s); err != nil {
			return "", err
		}
		return describeDay("world", &s.Day, s.Seed)
	}
	return "", &config.Error{File: file, Err: errors.New("is neither an experiment, a model of a fleet, an operators' file, a world, load nor a deployment")}
}

func describeDay(what string, d *emulator.DaySpec, seed uint64) (string, error) {
	day, err := d.Draw(seed)
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("%s: day %s of %v, %d nodes, %d agents, %.0f requests a second, clients retry %d times, %d troubles", what, d.Name,
		day.Length, len(day.Nodes), len(day.Agents), day.Rate, day.Habits.Retries, len(day.Troubles)), nil
}
