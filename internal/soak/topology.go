package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"

	"ryeweir/internal/emulator/link"
)

// path is the way to a server that some agents take through a relay.
type path struct {
	mu         sync.Mutex
	relay      *link.Relay
	addr       string
	conditions link.Conditions
	disturbed  []span
}

// start starts all processes.
func (p *soakRun) start(ctx context.Context) error {
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
		s.slowStarts = append(s.slowStarts, 0)
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
		p.clients = append(p.clients, &clients{agent: a, plan: p.plan, rate: p.plan.Rate, classes: p.plan.Classes, rng: rand.New(rand.NewPCG(p.plan.Seed, uint64(100+i)))})
	}
	for _, a := range p.agents {
		if err := a.awaitReady(ctx, readyTimeout); err != nil {
			return err
		}
	}
	return nil
}

// agentArgs are the arguments of an agent's process: the time of day that all machines have, and the
// faults that are planted.
func (p *soakRun) agentArgs() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	args := []string{"--clock", p.clockOffset.String()}
	for _, plant := range p.opts.PlantedFaults {
		args = append(args, "--plant", plant)
	}
	return args
}

func (p *soakRun) newAgent(number int) (*agent, error) {
	host := fmt.Sprintf("127.%d.%d.%d", p.network[0], p.network[1], 1+number)
	listen, err := freePort(host, p.drawInt)
	if err != nil {
		return nil, err
	}
	control, err := freePort(host, p.drawInt)
	if err != nil {
		return nil, err
	}
	created := &agent{number: number, name: fmt.Sprintf("n%d", number), listen: listen, control: control, dir: p.opts.Dir}
	if created.discovery, err = p.newDiscovery(number); err != nil {
		return nil, err
	}
	created.discoveries = append(created.discoveries, created.discovery)
	created.renderConfig = func(discovery string) []byte {
		_, _, entries, _ := p.registry.list(-1, p.addrOf(number), false)
		if entries == nil {
			entries = []entry{}
		}
		text, _ := json.Marshal(map[string]any{"name": created.name, "listen": listen, "discovery": discovery, "control": control,
			"seed": fmt.Sprintf("%016x", p.seed()), "limits": map[string]any{"cores": 1.0, "memory_mb": agentMemory, "sockets": agentFiles},
			"known": map[string]any{"version": 0, "full": true, "servers": entries}, "settings": p.plan.settings(number)})
		return text
	}
	return created, nil
}

func (p *soakRun) newDiscovery(number int) (*discovery, error) {
	return newDiscovery(number, p.registry, discoveryHost, p.addrOf(number))
}

// addrOf is where an agent reaches a server: through its path, or directly.
func (p *soakRun) addrOf(agent int) func(entry) string {
	return func(e entry) string {
		for i, s := range p.servers {
			if s.id == e.ID && p.paths[i] != nil && agent%2 == 0 {
				p.paths[i].mu.Lock()
				defer p.paths[i].mu.Unlock()
				return p.paths[i].addr
			}
		}
		return e.Addr
	}
}

// announce lists a server that is ready, by the process that it has now.
func (p *soakRun) announce(number int, startedMS int64) error {
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
		way.relay, way.addr = link.NewRelay(l, addr, p.seed()), l.Addr().String()
		way.relay.Set(way.conditions, way.conditions)
		way.mu.Unlock()
	}
	p.registry.set(entry{ID: s.id, Addr: addr, Zone: "z", State: ready, Weight: 1, StartedMS: startedMS})
	return nil
}

// stop ends all processes.
func (p *soakRun) stop() {
	for _, a := range p.agents {
		a.mu.Lock()
		c := a.child
		a.mu.Unlock()
		if c != nil {
			c.signal(syscall.SIGCONT)
			c.kill()
		}
		for _, d := range a.discoveries {
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
