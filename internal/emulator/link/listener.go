package link

import (
	"net"
	"sync"
)

// backlog is the maximum number of connections that wait to be accepted.
const backlog = 512

// Listener accepts connections of a Network. It is safe for concurrent use.
type Listener struct {
	network *Network
	addr    string
	queue   chan *Conn
	once    sync.Once
	done    chan struct{}
}

// Accept waits for the next connection. It returns net.ErrClosed after Close.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case <-l.done:
		return nil, net.ErrClosed
	default:
	}
	select {
	case c := <-l.queue:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close stops listening and resets the connections that were not accepted. Further calls do nothing.
func (l *Listener) Close() error {
	l.once.Do(func() {
		l.network.mu.Lock()
		if l.network.listeners[l.addr] == l {
			delete(l.network.listeners, l.addr)
		}
		l.network.mu.Unlock()
		close(l.done)
		for {
			select {
			case c := <-l.queue:
				c.Reset()
			default:
				return
			}
		}
	})
	return nil
}

// Addr returns the listener's address.
func (l *Listener) Addr() net.Addr { return Addr(l.addr) }
