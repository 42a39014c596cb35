package faultshim

import (
	"context"
	"io"
	"net"
	"strings"
	"time"
)

const (
	ignoreDiscoveryFor = time.Minute     // delay of each read by IgnoresDiscovery; longer than a soak's run
	duplicateOpenFor   = 2 * time.Second // time in which the server may answer a duplicate
)

// Listen wraps a TCP listener so that its accepts, and the reads of its connections, fail on command.
func (m *Machine) Listen(l net.Listener) net.Listener { return listener{l, m} }

// listener is a listener of the agent for clients.
type listener struct {
	net.Listener
	machine *Machine
}

func (l listener) Accept() (net.Conn, error) {
	if err := l.machine.nextFailure(Accept, "accept4"); err != nil {
		return nil, err
	}
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &clientConn{conn{c.(*net.TCPConn), l.machine}, false}, nil
}

// Dial returns a function like DialContext of net.Dialer, whose connects fail on command, as do the reads and writes of its connections.
// Connections to discoveryHost are not affected, except by IgnoresDiscovery.
func (m *Machine) Dial(discoveryHost string) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		toDiscovery := strings.HasPrefix(addr, discoveryHost+":")
		if !toDiscovery {
			if err := m.nextFailure(Connect, "connect"); err != nil {
				return nil, err
			}
		}
		c, err := (&net.Dialer{KeepAlive: -1}).DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		if toDiscovery {
			return discoveryConn{conn{c.(*net.TCPConn), m}}, nil
		}
		return &serverConn{conn{c.(*net.TCPConn), m}, addr}, nil
	}
}

// conn is a TCP connection together with the machine that injects its faults.
type conn struct {
	*net.TCPConn
	machine *Machine
}

// NetConn returns the wrapped TCP connection, from which the agent gets the socket.
func (c conn) NetConn() net.Conn { return c.TCPConn }

// clientConn is a connection that the agent accepted from a client.
type clientConn struct {
	conn
	ignored bool // by IgnoresClient: what comes is discarded
}

func (c *clientConn) Read(p []byte) (int, error) {
	if err := c.machine.nextFailure(ClientRead, "read"); err != nil {
		c.Close()
		return 0, err
	}
	n, err := c.TCPConn.Read(c.machine.shortBuffer(p))
	if n > 0 && c.machine.plantedFaultOccurs(DropsRequests) {
		c.Close()
		return 0, io.ErrUnexpectedEOF
	}
	if n > 0 && (c.ignored || c.machine.plantedFaultOccurs(IgnoresClient)) {
		c.ignored = true
		return c.TCPConn.Read(make([]byte, len(p))) // the bytes that were read are discarded
	}
	return n, err
}

// discoveryConn is a connection of the agent to discovery.
type discoveryConn struct{ conn }

func (c discoveryConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if c.machine.plantedFaultOccurs(IgnoresDiscovery) {
		time.Sleep(ignoreDiscoveryFor)
	}
	return n, err
}

// serverConn is a connection of the agent to a server.
type serverConn struct {
	conn
	addr string
}

func (c *serverConn) Read(p []byte) (int, error) {
	if err := c.machine.nextFailure(ServerRead, "read"); err != nil {
		c.Close()
		return 0, err
	}
	n, err := c.TCPConn.Read(c.machine.shortBuffer(p))
	if n > 0 && c.machine.plantedFaultOccurs(WrongAnswers) {
		p[n-1] ^= 1
	}
	return n, err
}

func (c *serverConn) Write(p []byte) (int, error) {
	if err := c.machine.nextFailure(ServerWrite, "write"); err != nil {
		c.Close()
		return 0, err
	}
	if delay := c.machine.nextWriteDelay(); delay > 0 {
		time.Sleep(delay)
	}
	if c.machine.plantedFaultOccurs(Duplicates) {
		c.sendDuplicate(p)
	}
	if c.machine.plantedFaultOccurs(OverstatesTime) {
		return c.writeOverstated(p)
	}
	return c.TCPConn.Write(p)
}

// writeOverstated writes a request with ten times its X-Timeout. That is the request's last header and has the unit u, so that a 0 before
// the u does it.
func (c *serverConn) writeOverstated(p []byte) (int, error) {
	text := strings.Replace(string(p), "u\r\n\r\n", "0u\r\n\r\n", 1)
	if _, err := c.TCPConn.Write([]byte(text)); err != nil {
		return 0, err
	}
	return len(p), nil
}

// sendDuplicate sends the same bytes to the server on another connection. Errors are ignored: the duplicate is then not sent.
func (c *serverConn) sendDuplicate(p []byte) {
	other, err := net.Dial("tcp", c.addr)
	if err != nil {
		return
	}
	other.Write(p)
	time.AfterFunc(duplicateOpenFor, func() { other.Close() })
}
