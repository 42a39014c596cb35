package processrig

import (
	"fmt"
	"net"

	"ryeweir/internal/emulator/link"
)

// Peers are the addresses by which the agents of a scenario gossip through a mesh, which shapes each direction between two of them.
// Each agent has an IP address of its own in 127.0.0.0/8, by which the mesh tells who sends.
type Peers struct {
	bindAddrs []string // where the agents listen
	meshAddrs []string // where the others reach them
}

// seedCount is how many agents all others get as seeds at their start.
const seedCount = 3

// NewPeers gives each host an address in the mesh: the agents in the order of their numbers, and then others that gossip with them.
func NewPeers(mesh *link.Mesh, hosts []string) (*Peers, error) {
	p := &Peers{}
	// Another rig on this machine most likely has another network; where it does not, the search for a free port covers it.
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

// Addresses returns where a host, by its number, listens, where the others reach it, and the seeds that it gets at its start.
func (p *Peers) Addresses(host int) (bind, advertise string, seeds []string) {
	for i, addr := range p.meshAddrs[:min(seedCount, len(p.meshAddrs))] {
		if i != host {
			seeds = append(seeds, addr)
		}
	}
	return p.bindAddrs[host], p.meshAddrs[host], seeds
}

// Args returns the arguments by which an agent, by its number, joins the others.
func (p *Peers) Args(agent int) []string {
	bind, advertise, seeds := p.Addresses(agent)
	args := []string{"--peer-bind", bind, "--peer-advertise", advertise}
	for _, seed := range seeds {
		args = append(args, "--peer-seed", seed)
	}
	return args
}

// freeTCPAndUDPAddr returns an address whose port was free for both streams and datagrams a moment ago.
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
	return "", fmt.Errorf("a port for peers at %s: %w", ip, err)
}
