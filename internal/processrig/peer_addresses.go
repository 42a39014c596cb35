package processrig

import (
	"fmt"
	"math/rand/v2"
	"net"

	"ryeweir/internal/emulator/link"
)

// Peers lets agents of a day talk with each other through a mesh, which shapes the way of each pair. Each agent has an IP address
// of its own in 127.0.0.0/8, by which the mesh tells who sends.
type Peers struct {
	mesh      *link.Mesh
	bindAddrs []string
	meshAddrs []string
}

// seedCount are how many agents all others are told of at their start.
const seedCount = 3

// NewPeers gives each host of a fleet a front in the mesh: the agents, and after them others that talk with them.
func NewPeers(mesh *link.Mesh, hosts []string) (*Peers, error) {
	p := &Peers{mesh: mesh}
	// Another rig on the same machine has other addresses, but for a chance that the look for a free port covers.
	net24 := fmt.Sprintf("127.%d.%d.", 64+rand.IntN(64), 1+rand.IntN(250))
	for i, name := range hosts {
		ip := fmt.Sprint(net24, 1+i)
		bind, err := freeTCPAndUDPAddr(ip)
		if err != nil {
			return nil, err
		}
		front, err := mesh.Add(name, ip, bind)
		if err != nil {
			return nil, err
		}
		p.meshAddrs, p.bindAddrs = append(p.meshAddrs, front), append(p.bindAddrs, bind)
	}
	return p, nil
}

// Addresses is where one of them, by its number, listens, where the others reach it, and of whom it is told at its start.
func (p *Peers) Addresses(i int) (bind, advertise string, told []string) {
	for j, front := range p.meshAddrs[:min(seedCount, len(p.meshAddrs))] {
		if j != i {
			told = append(told, front)
		}
	}
	return p.bindAddrs[i], p.meshAddrs[i], told
}

// Args are an agent's further arguments.
func (p *Peers) Args(agent int) []string {
	bind, advertise, told := p.Addresses(agent)
	args := []string{"--peer-bind", bind, "--peer-advertise", advertise}
	for _, front := range told {
		args = append(args, "--peer-seed", front)
	}
	return args
}

// freeTCPAndUDPAddr is an address at which a port was free for packets and streams a moment ago.
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
