package processrig

import (
	"fmt"
	"net"

	"ryeweir/internal/emulator/link"
)

// Peers holds the addresses with which the agents of a scenario gossip through a link.Mesh. The mesh shapes the traffic between any two
// agents separately for each direction. Each agent has an IP address of its own in 127.0.0.0/8, by which the mesh identifies the sender.
type Peers struct {
	bindAddrs []string // where each agent listens, by its number
	meshAddrs []string // addresses of the mesh, at which the others reach each agent
}

// seedCount is the number of agents whose addresses every agent gets as seeds at its start: those with the lowest numbers.
const seedCount = 3

// NewPeers adds each host to the mesh and gives it its addresses. hosts names the agents in the order of their numbers, and after them
// any other hosts that gossip with them.
func NewPeers(mesh *link.Mesh, hosts []string) (*Peers, error) {
	p := &Peers{}
	// Two rigs on one machine rarely draw the same network. If they do, freeTCPAndUDPAddr skips the ports that the other one holds.
	a, b, c := loopbackNet()
	for i, name := range hosts {
		ip := net.IPv4(a, b, c, byte(1+i)).String()
		bind, err := freeTCPAndUDPAddr(ip)
		if err != nil {
			return nil, err
		}
		meshAddr, err := mesh.Add(name, ip, bind)
		if err != nil {
			return nil, err
		}
		p.meshAddrs, p.bindAddrs = append(p.meshAddrs, meshAddr), append(p.bindAddrs, bind)
	}
	return p, nil
}

// Addresses returns the address on which a host listens, given its number, the one at which the others reach it, and its seeds. A host is
// never its own seed.
func (p *Peers) Addresses(host int) (bind, advertise string, seeds []string) {
	for i, addr := range p.meshAddrs[:min(seedCount, len(p.meshAddrs))] {
		if i != host {
			seeds = append(seeds, addr)
		}
	}
	return p.bindAddrs[host], p.meshAddrs[host], seeds
}

// Args returns the command line arguments with which an agent, given its number, joins the gossip.
func (p *Peers) Args(agent int) []string {
	bind, advertise, seeds := p.Addresses(agent)
	args := []string{"--peer-bind", bind, "--peer-advertise", advertise}
	for _, seed := range seeds {
		args = append(args, "--peer-seed", seed)
	}
	return args
}

// freeTCPAndUDPAddr returns an address of ip whose port was free for both TCP and UDP a moment ago. It returns the last error if none of
// portAttempts ports was.
func freeTCPAndUDPAddr(ip string) (addr string, err error) {
	for range portAttempts {
		var l net.Listener
		if l, err = net.Listen("tcp", net.JoinHostPort(ip, "0")); err != nil {
			continue
		}
		addr = l.Addr().String()
		var u net.PacketConn
		if u, err = net.ListenPacket("udp", addr); err == nil {
			u.Close()
			l.Close()
			return addr, nil
		}
		l.Close()
	}
	return "", fmt.Errorf("finding a port of %s that is free for TCP and UDP: %w", ip, err)
}
