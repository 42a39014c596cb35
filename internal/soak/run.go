package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"
)

const (
	discoveryHost = "127.0.0.3"
	serverHost    = "127.0.0.4"
	pathHost      = "127.0.0.5"

	readyTimeout    = 10 * time.Second // for an agent, from its start
	shutdownTimeout = 10 * time.Second // for an agent, from SIGTERM
	scrapeInterval  = 500 * time.Millisecond
	agentMemory     = 192 // MB
	agentFiles      = 512
)

// Options configure a run.
type Options struct {
	Program       string   // the path of this program
	Dir           string   // for logs and configurations
	PlantedFaults []string // faults planted in the agents: a name and a probability each, as faultshim has them
	Out           io.Writer
}

// soakRun is a run under way.
type soakRun struct {
	plan      *Plan
	opts      Options
	startedAt time.Duration
	registry  *registry
	agents    []*agent
	servers   []*server
	clients   []*clients
	paths     []*path // one for each server, or nil
	lag       atomic.Int64
	work      sync.WaitGroup

	mu                  sync.Mutex
	clockOffset         time.Duration
	seeds               *rand.Rand
	violations          []Violation // found while it ran
	overConnectionLimit map[int][]span
	network             [2]int // of the agents' hosts: plays side by side must not take each other's ports
}

// Result is the outcome of a run.
type Result struct {
	Plan       *Plan
	Requests   int
	Answered   int
	Served     int
	Attempts   int
	Processes  int
	Lag        time.Duration // the latest that the soak itself was
	MaxRSS     int64
	Violations []Violation
}

// Run runs a plan. It ends all processes that it starts; the error is that of a process that could not be started, or of the
// context.
func Run(ctx context.Context, plan *Plan, opts Options) (Result, error) {
	p := &soakRun{plan: plan, opts: opts, registry: newRegistry(), seeds: plan.seeds, overConnectionLimit: map[int][]span{},
		network: [2]int{16 + rand.IntN(64), rand.IntN(256)}}
	defer p.stop()
	if err := p.start(ctx); err != nil {
		return Result{}, err
	}
	running, end := context.WithCancel(ctx)
	defer end()
	p.startedAt = monotonic()
	p.work.Go(func() { p.watchLag(running) })
	p.work.Go(func() { p.monitorAgents(running) })
	var calling sync.WaitGroup
	for _, c := range p.clients {
		calling.Go(func() { c.run(running) })
	}
	p.injectFaults(running)
	sleep(running, p.plan.Length-(monotonic()-p.startedAt))
	end()
	calling.Wait()
	p.work.Wait()
	for _, a := range p.agents {
		a.scrapeMetrics()
	}
	return p.result(), ctx.Err()
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// drawInt returns a random number below n.
func (p *soakRun) drawInt(n int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.seeds.IntN(n)
}

func (p *soakRun) seed() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.seeds.Uint64()
}

func (p *soakRun) reportViolation(rule, format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.violations = append(p.violations, Violation{Rule: rule, At: monotonic() - p.startedAt, Text: fmt.Sprintf(format, args...)})
}

// wallMS is the time of day of all machines, in milliseconds.
func (p *soakRun) wallMS() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Now().Add(p.clockOffset).UnixMilli()
}

// injectFaults lets the troubles of the plan happen at their times, and waits until the last has begun.
func (p *soakRun) injectFaults(ctx context.Context) {
	for _, fault := range p.plan.Faults {
		sleep(ctx, fault.Start-(monotonic()-p.startedAt))
		if ctx.Err() != nil {
			return
		}
		p.work.Go(func() { p.inject(ctx, fault) })
	}
}

// Save writes the plan and the violations to violations.txt in a directory.
func (r Result) Save(dir string) error {
	f, err := os.Create(filepath.Join(dir, "violations.txt"))
	if err != nil {
		return err
	}
	defer f.Close()
	fmt.Fprint(f, r.Plan.Describe())
	for _, v := range r.Violations {
		fmt.Fprintln(f, v)
	}
	return nil
}
