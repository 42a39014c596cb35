package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"ryeweir/internal/emulator/link"
)

const (
	discoveryHost = "127.0.0.3"
	serverHost    = "127.0.0.4"
	pathHost      = "127.0.0.5"

	readyWithin = 10 * time.Second // for an agent, from its start
	endWithin   = 10 * time.Second // for an agent, from SIGTERM
	lookEvery   = 500 * time.Millisecond
	agentMemory = 192 // MB
	agentFiles  = 512
)

// Options say how a play is played.
type Options struct {
	Program       string   // the path of this program
	Dir           string   // for logs and configurations
	PlantedFaults []string // faults planted in the agents: a name and a probability each, as faultshim has them
	Out           io.Writer
}

// play is a play under way.
type play struct {
	plan     *Plan
	opts     Options
	began    time.Duration
	registry *registry
	agents   []*agent
	servers  []*server
	callers  []*callers
	paths    []*path // one for each server, or nil
	lag      atomic.Int64
	work     sync.WaitGroup

	mu       sync.Mutex
	wallStep time.Duration
	seeds    *rand.Rand
	problems []Violation // that came up while it was played
	crowded  map[int][]span
	network  [2]int // of the agents' hosts: plays side by side must not take each other's ports
}

// path is the way to a server that some agents take through a relay.
type path struct {
	mu     sync.Mutex
	relay  *link.Relay
	at     string
	now    link.Conditions
	shaped []span
}

// Result is what came of a play.
type Result struct {
	Plan       *Plan
	Requests   int
	Answered   int
	Served     int
	Attempts   int
	Processes  int
	Lag        time.Duration // the latest that the soak itself was
	MostRSS    int64
	Violations []Violation
}

// Run plays a plan.
func Run(ctx context.Context, plan *Plan, opts Options) (Result, error) {
	p := &play{plan: plan, opts: opts, registry: newRegistry(), seeds: plan.seeds, crowded: map[int][]span{},
		network: [2]int{16 + rand.IntN(64), rand.IntN(256)}}
	defer p.stop()
	if err := p.start(ctx); err != nil {
		return Result{}, err
	}
	running, end := context.WithCancel(ctx)
	defer end()
	p.began = monotonic()
	p.work.Go(func() { p.watchLag(running) })
	p.work.Go(func() { p.lookAfter(running) })
	var calling sync.WaitGroup
	for _, c := range p.callers {
		calling.Go(func() { c.run(running) })
	}
	p.befall(running)
	sleep(running, p.plan.Length-(monotonic()-p.began))
	end()
	calling.Wait()
	p.work.Wait()
	for _, a := range p.agents {
		a.look()
	}
	return p.result(), ctx.Err()
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// draw is a random number for a play's own needs.
func (p *play) draw(n int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.seeds.IntN(n)
}

func (p *play) seed() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.seeds.Uint64()
}

func (p *play) problem(rule, format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.problems = append(p.problems, Violation{Rule: rule, At: monotonic() - p.began, Text: fmt.Sprintf(format, args...)})
}

// wallMS is the time of day of all machines, in milliseconds.
func (p *play) wallMS() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Now().Add(p.wallStep).UnixMilli()
}

// start starts all processes.
func (p *play) start(ctx context.Context) error {
	for i := range p.plan.Servers {
		s := &server{id: fmt.Sprintf("s%02d", i)}
		p.servers = append(p.servers, s)
		var way *path
		if i%2 == 1 {
			way = &path{}
		}
		p.paths = append(p.paths, way)
		if err := s.start(p.opts.Program, p.seed()); err != nil {
			return err
		}
		s.started = append(s.started, 0)
		if err := p.announce(i, 0); err != nil {
			return err
		}
	}
	for i := range p.plan.Agents {
		a, err := p.newAgent(i)
		if err != nil {
			return err
		}
		p.agents = append(p.agents, a)
		if err := a.start(p.opts.Program, p.seed(), p.agentArgs()...); err != nil {
			return err
		}
		p.callers = append(p.callers, &callers{agent: a, plan: p.plan, rate: p.plan.Rate, classes: p.plan.Classes, rng: rand.New(rand.NewPCG(p.plan.Seed, uint64(100+i)))})
	}
	for _, a := range p.agents {
		if err := a.awaitReady(ctx, readyWithin); err != nil {
			return err
		}
	}
	return nil
}

// agentArgs are what a process of an agent is told beside its configuration: the time of day that all machines have, and the
// faults that are planted.
func (p *play) agentArgs() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	args := []string{"--clock", p.wallStep.String()}
	for _, plant := range p.opts.PlantedFaults {
		args = append(args, "--plant", plant)
	}
	return args
}

func (p *play) newAgent(number int) (*agent, error) {
	host := fmt.Sprintf("127.%d.%d.%d", p.network[0], p.network[1], 1+number)
	listen, err := freePort(host, p.draw)
	if err != nil {
		return nil, err
	}
	control, err := freePort(host, p.draw)
	if err != nil {
		return nil, err
	}
	a := &agent{number: number, name: fmt.Sprintf("n%d", number), listen: listen, control: control, dir: p.opts.Dir}
	if a.disco, err = p.newDiscovery(number); err != nil {
		return nil, err
	}
	a.discos = append(a.discos, a.disco)
	a.config = func(discovery string) []byte {
		_, _, entries, _ := p.registry.list(-1, p.addrOf(number), false)
		if entries == nil {
			entries = []entry{}
		}
		text, _ := json.Marshal(map[string]any{"name": a.name, "listen": listen, "discovery": discovery, "control": control,
			"seed": fmt.Sprintf("%016x", p.seed()), "limits": map[string]any{"cores": 1.0, "memory_mb": agentMemory, "sockets": agentFiles},
			"known": map[string]any{"version": 0, "full": true, "servers": entries}, "settings": p.plan.settings(number)})
		return text
	}
	return a, nil
}

func (p *play) newDiscovery(number int) (*discovery, error) {
	return newDiscovery(number, p.registry, discoveryHost, p.addrOf(number))
}

// addrOf is where an agent reaches a server: through its path, or directly.
func (p *play) addrOf(agent int) func(entry) string {
	return func(e entry) string {
		for i, s := range p.servers {
			if s.id == e.ID && p.paths[i] != nil && agent%2 == 0 {
				p.paths[i].mu.Lock()
				defer p.paths[i].mu.Unlock()
				return p.paths[i].at
			}
		}
		return e.Addr
	}
}

// announce lists a server that is ready, by the process that it has now.
func (p *play) announce(number int, startedMS int64) error {
	s := p.servers[number]
	s.mu.Lock()
	addr := s.addr
	s.mu.Unlock()
	if way := p.paths[number]; way != nil {
		l, err := net.Listen("tcp", net.JoinHostPort(pathHost, "0"))
		if err != nil {
			return err
		}
		way.mu.Lock()
		if way.relay != nil {
			go way.relay.Close()
		}
		way.relay, way.at = link.NewRelay(l, addr, p.seed()), l.Addr().String()
		way.relay.Set(way.now, way.now)
		way.mu.Unlock()
	}
	p.registry.set(entry{ID: s.id, Addr: addr, Zone: "z", State: ready, Weight: 1, StartedMS: startedMS})
	return nil
}

// stop ends all processes.
func (p *play) stop() {
	for _, a := range p.agents {
		a.mu.Lock()
		c := a.child
		a.mu.Unlock()
		if c != nil {
			c.signal(syscall.SIGCONT)
			c.kill()
		}
		for _, d := range a.discos {
			d.close()
		}
	}
	for i, s := range p.servers {
		if s.child != nil {
			s.child.signal(syscall.SIGCONT)
			s.child.kill()
		}
		if way := p.paths[i]; way != nil && way.relay != nil {
			way.relay.Close()
		}
	}
}

// watchLag notes how late this process itself is: no time in the account is more exact than that.
func (p *play) watchLag(ctx context.Context) {
	const step = 5 * time.Millisecond
	for ctx.Err() == nil {
		before := monotonic()
		time.Sleep(step)
		if late := monotonic() - before - step; int64(late) > p.lag.Load() {
			p.lag.Store(int64(late))
		}
	}
}

// lookAfter looks at the agents' own counts, and at processes that take all of their processor time.
func (p *play) lookAfter(ctx context.Context) {
	before := map[int]time.Duration{}
	spins := map[int]int{}
	for ctx.Err() == nil {
		began := monotonic()
		sleep(ctx, lookEvery)
		for i, a := range p.agents {
			a.mu.Lock()
			pid := a.child.cmd.Process.Pid
			a.mu.Unlock()
			now := processorTime(pid)
			if was, known := before[pid]; known && float64(now-was) > 0.9*float64(monotonic()-began) {
				if spins[i]++; spins[i] == 5 {
					p.problem("spin", "agent %d has taken a whole core for %v", i, 5*lookEvery)
				}
			} else {
				spins[i] = 0
			}
			before[pid] = now
			go a.look()
		}
	}
}

// befall lets the troubles of the plan happen at their times, and waits until the last has begun.
func (p *play) befall(ctx context.Context) {
	for _, t := range p.plan.Faults {
		sleep(ctx, t.Start-(monotonic()-p.began))
		if ctx.Err() != nil {
			return
		}
		p.work.Go(func() { p.happen(ctx, t) })
	}
}

// Save writes an account of a play that broke a rule to its folder.
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
