package link

import (
	"context"
	"errors"
	"net"
	"strconv"
	"syscall"
	"time"
)

// Dialer returns a function like net.Dialer's DialContext for a host. On a cut path it blocks until the cut is over or its context
// ends. Its errors are of type *net.OpError.
func (n *Network) Dialer(from string) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, _, addr string) (net.Conn, error) {
		c, err := n.dial(ctx, from, addr)
		if err != nil {
			return nil, &net.OpError{Op: "dial", Net: "memory", Addr: Addr(addr), Err: err}
		}
		return c, nil
	}
}

var errBacklog = errors.New("the listener's accept queue is full")

// dial emulates a handshake: the request takes the delay of the path to addr, is queued or refused there, and the reply takes the
// delay of the path back.
func (n *Network) dial(ctx context.Context, from, addr string) (*Conn, error) {
	if err := n.awaitTransit(ctx, from, host(addr)); err != nil {
		return nil, err
	}
	conn, err := n.connect(from, addr)
	if transitErr := n.awaitTransit(ctx, host(addr), from); transitErr != nil && err == nil {
		err = transitErr
	}
	if err != nil && conn != nil {
		conn.Reset()
		return nil, err
	}
	return conn, err
}

// connect creates a connection and queues its other end at the listener. If it returns both a connection and an error, the caller
// must reset the connection.
func (n *Network) connect(from, addr string) (*Conn, error) {
	n.mu.Lock()
	l := n.listeners[addr]
	if l == nil {
		n.mu.Unlock()
		return nil, syscall.ECONNREFUSED
	}
	dialed, accepted := n.newConns(from, addr)
	n.mu.Unlock()
	select {
	case l.queue <- accepted:
		return dialed, nil
	default:
		return dialed, errBacklog
	}
}

// awaitTransit waits for the delay of the path from one host to another. On a cut path it first waits until the cut is over. It
// returns the context's error if the context ends first.
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

// newConns creates both ends of a connection. n.mu is held.
func (n *Network) newConns(from, addr string) (dialed, accepted *Conn) {
	n.connsMade++
	n.lastPort++
	local, to := net.JoinHostPort(from, strconv.Itoa(n.lastPort)), host(addr)
	forward := newPipe(n.newRand(n.connsMade, 1), n.paths[path{from, to}])
	reverse := newPipe(n.newRand(n.connsMade, 2), n.paths[path{to, from}])
	dialed = &Conn{network: n, local: local, remote: addr, in: reverse, out: forward}
	accepted = &Conn{network: n, local: addr, remote: local, in: forward, out: reverse}
	n.conns[dialed], n.conns[accepted] = struct{}{}, struct{}{}
	return dialed, accepted
}
