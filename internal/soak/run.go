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

	readyTimeout   = 10 * time.Second // from the start of an agent until it is ready
	scrapeInterval = 500 * time.Millisecond
)

// Options configure a run.
type Options struct {
	Program       string   // the path of the binary with the commands soak-agent and soak-backend
	MemoryChecked bool     // the program's memory is that of a deployed one: no race detector
	Dir           string   // for the logs and configuration files of the agents
	PlantedFaults []string // planted in the agents by faultshim: a name and a probability each
	Out           io.Writer
}

// soakRun is a run in progress.
type soakRun struct {
	plan       *Plan
	opts       Options
	startedAt  time.Duration // when all processes were ready
	registry   *registry
	agents     []*agent
	servers    []*server
	clients    []*clients
	relayPaths []*relayPath   // by server; nil: agents reach it directly
	lag        atomic.Int64   // as Result.Lag, in ns
	tasks      sync.WaitGroup // monitors and faults

	mu                  sync.Mutex
	clockOffset         time.Duration // of the agents' time of day and the listed start times of servers, against the real time
	seeds               *rand.Rand
	violations          []Violation    // found during the run, before the checks
	overConnectionLimit map[int][]span // when an agent may have been at its limit of connections
	agentNetwork        [2]int         // bytes 2 and 3 of the agents' addresses, random so that concurrent runs do not conflict over ports
}

// Result is the outcome of a run.
type Result struct {
	Plan       *Plan
	Requests   int           // sent by clients
	Answered   int           // requests with a complete response
	Served     int           // requests with a complete response of status 200
	Attempts   int           // received by backends
	Processes  int           // of agents and backends
	Lag        time.Duration // the most by which a sleep of this process ended late
	MaxRSS     int64         // highest resident memory of an agent, in bytes
	Violations []Violation
}

// Run runs a plan and checks the result. Before it returns, it ends all processes that it started. The error is that of a process that did
// not start or become ready at the beginning, or that of the context; violations are not errors.
func Run(ctx context.Context, plan *Plan, opts Options) (Result, error) {
	r := &soakRun{plan: plan, opts: opts, registry: newRegistry(), seeds: plan.seeds, overConnectionLimit: map[int][]span{},
		agentNetwork: [2]int{16 + rand.IntN(64), rand.IntN(256)}}
	defer r.stop()
	if err := r.start(ctx); err != nil {
		return Result{}, err
	}
	running, end := context.WithCancel(ctx)
	defer end()
	r.startedAt = monotonic()
	r.tasks.Go(func() { r.watchLag(running) })
	r.tasks.Go(func() { r.monitorAgents(running) })
	var clientsRunning sync.WaitGroup
	for _, c := range r.clients {
		clientsRunning.Go(func() { c.run(running) })
	}
	r.injectFaults(running)
	sleep(running, r.plan.Length-(monotonic()-r.startedAt))
	end()
	clientsRunning.Wait()
	r.tasks.Wait()
	for _, a := range r.agents {
		a.scrapeMetrics()
	}
	return r.result(), ctx.Err()
}

// sleep waits for d or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// drawInt returns a random number below n.
func (r *soakRun) drawInt(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.seeds.IntN(n)
}

// drawSeed returns a random seed for a process or an agent.
func (r *soakRun) drawSeed() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.seeds.Uint64()
}

// reportViolation records a violation that happens now.
func (r *soakRun) reportViolation(rule, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, Violation{Rule: rule, At: monotonic() - r.startedAt, Text: fmt.Sprintf(format, args...)})
}

// timeOfDayMS returns the stepped time of day, as the agents read it, in Unix milliseconds. A server that restarts is listed with it.
func (r *soakRun) timeOfDayMS() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Now().Add(r.clockOffset).UnixMilli()
}

// injectFaults injects the faults of the plan at their times. It returns when the last one has begun or the context ends.
func (r *soakRun) injectFaults(ctx context.Context) {
	for _, fault := range r.plan.Faults {
		sleep(ctx, fault.Start-(monotonic()-r.startedAt))
		if ctx.Err() != nil {
			return
		}
		r.tasks.Go(func() { r.inject(ctx, fault) })
	}
}

// Save writes the plan and the violations to the file violations.txt in dir.
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
