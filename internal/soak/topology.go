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

// relayPath is the path to a server through a relay, into which faults can be injected. Agents with even numbers take it.
type relayPath struct {
	mu         sync.Mutex
	relay      *link.Relay
	addr       string // of the relay
	conditions link.Conditions
	disturbed  []span // when faults affected the path
}

// start starts all servers and agents, and waits until the agents are ready. Each server with an odd number gets a relay.
func (r *soakRun) start(ctx context.Context) error {
	for i := range r.plan.Servers {
		s := &server{ids: []string{fmt.Sprintf("s%02d", i)}}
		r.servers = append(r.servers, s)
		var path *relayPath
		if i%2 == 1 {
			path = &relayPath{}
		}
		r.relayPaths = append(r.relayPaths, path)
		if err := s.start(r.opts.Program, r.drawSeed(), serverHost+":0"); err != nil {
			return err
		}
		s.slowStarts = append(s.slowStarts, 0)
		if err := r.announce(i, 0); err != nil {
			return err
		}
	}
	for i := range r.plan.Agents {
		a, err := r.newAgent(i)
		if err != nil {
			return err
		}
		r.agents = append(r.agents, a)
		if err := a.start(r.opts.Program, r.drawSeed(), r.agentArgs()...); err != nil {
			return err
		}
		r.clients = append(r.clients, &clients{agent: a, plan: r.plan, rate: r.plan.Rate, classes: r.plan.Classes, rng: rand.New(rand.NewPCG(r.plan.Seed, uint64(100+i)))})
	}
	for _, a := range r.agents {
		if err := a.awaitReady(ctx, readyTimeout); err != nil {
			return err
		}
	}
	return nil
}

// agentArgs returns the additional arguments of an agent's process: the offset of the time of day, and the planted faults.
func (r *soakRun) agentArgs() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	args := []string{"--clock", r.clockOffset.String()}
	for _, plant := range r.opts.PlantedFaults {
		args = append(args, "--plant", plant)
	}
	return args
}

// newAgent prepares an agent with a discovery service of its own. It does not start the agent's process.
func (r *soakRun) newAgent(number int) (*agent, error) {
	host := fmt.Sprintf("127.%d.%d.%d", r.agentNetwork[0], r.agentNetwork[1], 1+number)
	listen, err := freePort(host, r.drawInt)
	if err != nil {
		return nil, err
	}
	control, err := freePort(host, r.drawInt)
	if err != nil {
		return nil, err
	}
	a := &agent{number: number, name: fmt.Sprintf("n%d", number), listen: listen, control: control, dir: r.opts.Dir}
	if a.discovery, err = r.newDiscovery(number); err != nil {
		return nil, err
	}
	a.discoveries = append(a.discoveries, a.discovery)
	a.renderConfig = func(discovery string) []byte {
		_, _, entries, _ := r.registry.list(-1, r.addrOf(number), false)
		if entries == nil {
			entries = []entry{}
		}
		text, _ := json.Marshal(map[string]any{"name": a.name, "listen": listen, "discovery": discovery, "control": control,
			"seed": fmt.Sprintf("%016x", r.drawSeed()), "limits": map[string]any{"cores": 1.0, "memory_mb": r.plan.MemoryMB, "sockets": r.plan.Descriptors},
			"known": map[string]any{"version": 0, "full": true, "servers": entries}, "settings": r.plan.settings(number)})
		return text
	}
	return a, nil
}

// newDiscovery starts a discovery service for an agent.
func (r *soakRun) newDiscovery(number int) (*discovery, error) {
	return newDiscovery(number, r.registry, discoveryHost, r.addrOf(number))
}

// addrOf returns a function that gives the address at which an agent reaches a server: that of the server's relay, or its own.
func (r *soakRun) addrOf(agent int) func(entry) string {
	return func(e entry) string {
		for i, s := range r.servers {
			if s.currentID() == e.ID && r.relayPaths[i] != nil && agent%2 == 0 {
				r.relayPaths[i].mu.Lock()
				defer r.relayPaths[i].mu.Unlock()
				return r.relayPaths[i].addr
			}
		}
		return e.Addr
	}
}

// announce lists a server as ready, at the address of its current process. If the server has a relay, a new relay replaces it.
func (r *soakRun) announce(number int, startedMS int64) error {
	s := r.servers[number]
	s.mu.Lock()
	addr := s.addr
	s.mu.Unlock()
	if path := r.relayPaths[number]; path != nil {
		l, err := net.Listen("tcp", net.JoinHostPort(pathHost, "0"))
		if err != nil {
			return err
		}
		path.mu.Lock()
		if path.relay != nil {
			go path.relay.Close()
		}
		path.relay, path.addr = link.NewRelay(l, addr, r.drawSeed()), l.Addr().String()
		path.relay.Set(path.conditions, path.conditions)
		path.mu.Unlock()
	}
	r.registry.set(entry{ID: s.currentID(), Addr: addr, Zone: "z", State: ready, Weight: 1, StartedMS: startedMS})
	return nil
}

// stop ends all processes, discovery services and relays.
func (r *soakRun) stop() {
	for _, a := range r.agents {
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
	for i, s := range r.servers {
		if s.child != nil {
			s.child.signal(syscall.SIGCONT)
			s.child.kill()
		}
		if path := r.relayPaths[i]; path != nil && path.relay != nil {
			path.relay.Close()
		}
	}
}
