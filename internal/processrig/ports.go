package processrig

import (
	"math/rand/v2"
	"net"
	"strconv"

	"ryeweir/internal/emulator"
)

// Ports for agents come from below those that the kernel gives to outgoing connections: a port of those that was free a moment ago
// may be another agent's connection by the time that its agent listens. Each agent of a scenario has a range of its own.
const (
	lowestPort    = 12000
	portsPerAgent = 300
	portAttempts  = 100
)

// FreePort returns an address of a loopback host whose port was free a moment ago, in the range of an agent by its number. It
// returns the last error where none was free.
func FreePort(host string, agent int) (addr string, err error) {
	first := lowestPort + agent%emulator.MaxProcesses*portsPerAgent
	for range portAttempts {
		var l net.Listener
		addr = net.JoinHostPort(host, strconv.Itoa(first+rand.IntN(portsPerAgent)))
		if l, err = net.Listen("tcp", addr); err == nil {
			return addr, l.Close()
		}
	}
	return "", err
}

// FreePortPair returns two distinct addresses, for an agent's clients and its operators.
func FreePortPair(host string, agent int) (clients, operators string, err error) {
	if clients, err = FreePort(host, agent); err != nil {
		return "", "", err
	}
	for operators = clients; operators == clients && err == nil; {
		operators, err = FreePort(host, agent)
	}
	return clients, operators, err
}

// loopbackHost returns a random loopback address. Each agent has its own, so that no other rig on this machine takes its ports
// while it is being started again.
func loopbackHost() string {
	ip := net.IPv4(127, byte(128+rand.IntN(64)), byte(rand.IntN(256)), byte(1+rand.IntN(254)))
	return ip.String()
}

// loopbackNet returns the first three bytes of a random loopback network, apart from the addresses of loopbackHost.
func loopbackNet() (first, second, third byte) {
	return 127, byte(64 + rand.IntN(64)), byte(1 + rand.IntN(250))
}
