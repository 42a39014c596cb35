package pool

import (
	"context"
	"errors"
	"net"
	"slices"
	"syscall"

	"ryeweir/internal/event"
	"ryeweir/internal/socket"
)

// DialFunc opens a connection, like net.Dialer's DialContext. A connection that has no operating system socket must have a method
// OpenWithoutInput() bool, which reports whether it is open and has nothing to read.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// errPoolClosed means that a handshake completed after the pool was closed.
var errPoolClosed = errors.New("connection pool closed")

// connect opens the connection of a slot and reports the result to the table.
func (p *Pool) connect(slot *Slot) {
	conn, err := p.dial(slot.Endpoint.Addr)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err == nil && p.closed {
		conn.Close()
		err = errPoolClosed
	}
	if err != nil {
		p.recordConnectFailure(slot, err)
		p.execute(p.table.HandshakeFailed(p.cfg.Clock.Now(), slot, isLocalError(err)))
		return
	}
	p.recordOpened(slot, conn)
	slot.Conn = &Conn{Conn: conn, State: p.cfg.NewState(conn), slot: slot}
	p.open[slot.Conn] = struct{}{}
	p.execute(p.table.HandshakeSucceeded(p.cfg.Clock.Now(), slot))
}

// dial opens a connection within the connect timeout and sets its socket buffer sizes.
func (p *Pool) dial(addr string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(p.dialCtx, p.cfg.ConnectTimeout)
	defer cancel()
	conn, err := p.cfg.Dial(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	if err := socket.SetBufferSizes(conn, p.cfg.SocketBufferBytes); err != nil {
		conn.Close()
		return nil, err
	}
	return conn, nil
}

// recordConnectFailure records that the handshake of a slot failed, with its error as detail.
func (p *Pool) recordConnectFailure(slot *Slot, err error) {
	p.cfg.Events.Record(event.Event{
		Kind:     event.UpstreamClosed,
		Reason:   event.ConnectFailed,
		Endpoint: slot.Endpoint.ID,
		Detail:   err.Error(),
	})
}

// recordOpened records that the connection of a slot was opened, with its local address if events are logged.
func (p *Pool) recordOpened(slot *Slot, conn net.Conn) {
	opened := event.Event{Kind: event.UpstreamOpened, Endpoint: slot.Endpoint.ID}
	if p.cfg.Events.Verbose() {
		opened.Detail = conn.LocalAddr().String()
	}
	p.cfg.Events.Record(opened)
}

// localErrors are the errors of socket(2) and connect(2) whose cause is on this machine.
//
// Failure: the agent runs out of file descriptors, ports or memory. If these errors counted against the endpoint, the balancer
// would eject healthy endpoints. They can be told apart because they occur before any packet is sent.
var localErrors = [...]error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.EAGAIN, syscall.EPERM}

// isLocalError reports whether a connect failed because this machine lacked a resource or permission.
func isLocalError(err error) bool {
	return slices.ContainsFunc(localErrors[:], func(cause error) bool { return errors.Is(err, cause) })
}
