package link

import (
	"context"
	"errors"
	"net"
	"strconv"
	"syscall"
	"time"
)

// Dialer returns a function like net.Dialer's DialContext for a host. On a cut path it waits until its context ends. Its errors
// are *net.OpError.
func (n *Network) Dialer(from string) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, _, addr string) (net.Conn, error) {
		c, err := n.dial(ctx, from, addr)
		if err != nil {
			return nil, &net.OpError{Op: "dial", Net: "memory", Addr: Addr(addr), Err: err}
		}
		return c, nil
	}
}

var errBacklog = errors.New("too many connections wait to be accepted")

// dial is a handshake: the request travels to addr, is queued or refused there, and the reply travels back.
func (n *Network) dial(ctx context.Context, from, addr string) (*Conn, error) {
	if err := n.awaitTransit(ctx, from, host(addr)); err != nil {
		return nil, err
	}
	conn, err := n.connect(from, addr)
	if back := n.awaitTransit(ctx, host(addr), from); back != nil && err == nil {
		err = back
	}
	if err != nil && conn != nil {
		conn.Reset()
		return nil, err
	}
	return conn, err
}

// connect makes a connection and queues its other end at the listener. It may return both a connection and an error; the
// connection is then to be reset.
func (n *Network) connect(from, addr string) (*Conn, error) {
	n.mu.Lock()
	l := n.listeners[addr]
	if l == nil {
		n.mu.Unlock()
		return nil, syscall.ECONNREFUSED
	}
	here, there := n.newConns(from, addr)
	n.mu.Unlock()
	select {
	case l.queue <- there:
		return here, nil
	default:
		return here, errBacklog
	}
}

// awaitTransit waits for as long as a packet takes from one host to another; on a cut path until that is over. It returns the
// context's error.
func (n *Network) awaitTransit(ctx context.Context, from, to string) error {
	for {
		n.mu.Lock()
		c, changed := n.paths[path{from, to}], n.changed
		n.mu.Unlock()
		if !c.Cut {
			return sleep(ctx, c.Delay)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	if d == 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// newConns makes both ends of a connection. n.mu is held.
func (n *Network) newConns(from, addr string) (here, there *Conn) {
	n.connsMade++
	n.lastPort++
	local, to := net.JoinHostPort(from, strconv.Itoa(n.lastPort)), host(addr)
	forth := newPipe(n.newRand(n.connsMade, 1), n.paths[path{from, to}])
	back := newPipe(n.newRand(n.connsMade, 2), n.paths[path{to, from}])
	here = &Conn{network: n, local: local, remote: addr, in: back, out: forth}
	there = &Conn{network: n, local: addr, remote: local, in: forth, out: back}
	n.conns[here], n.conns[there] = struct{}{}, struct{}{}
	return here, there
}
