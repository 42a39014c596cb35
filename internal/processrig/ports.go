package processrig

import (
	"math/rand/v2"
	"net"
	"strconv"

	"ryeweir/internal/emulator"
)

// Ports for agents lie below the kernel's range for outgoing connections. A port inside that range that was free a moment ago may have
// been given to a connection of another agent by the time the agent listens on it. Each agent of a scenario has a range of its own, of
// portsPerAgent ports.
const (
	lowestPort    = 12000
	portsPerAgent = 300
	portAttempts  = 100 // ports that are tried before the search fails
)

// FreePort returns an address of a loopback host, with a random port from the range of an agent, given its number. The port was free a
// moment ago. FreePort returns the last error if none of portAttempts ports was free.
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

// FreePortPair returns two distinct addresses as FreePort does: one for an agent's clients and one for its operators.
func FreePortPair(host string, agent int) (clients, operators string, err error) {
	if clients, err = FreePort(host, agent); err != nil {
		return "", "", err
	}
	for operators = clients; operators == clients && err == nil; {
		operators, err = FreePort(host, agent)
	}
	return clients, operators, err
}

// loopbackHost returns a random loopback address in 127.128.0.0/10. Each agent has its own, so that no other rig on this machine takes
// its ports during a restart.
func loopbackHost() string {
	ip := net.IPv4(127, byte(128+rand.IntN(64)), byte(rand.IntN(256)), byte(1+rand.IntN(254)))
	return ip.String()
}

// loopbackNet returns the first three bytes of a random /24 network in 127.64.0.0/10, which holds no address of loopbackHost.
func loopbackNet() (first, second, third byte) {
	return 127, byte(64 + rand.IntN(64)), byte(1 + rand.IntN(250))
}
