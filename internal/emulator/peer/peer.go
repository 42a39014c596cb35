// Package peer is a scripted HTTP peer for tests: on each connection that it accepts it does exactly what a script says, byte by
// byte, and records the requests that it read.
//
// A script is a list of steps, such as
//
//	p := peer.New(listener, []peer.Step{peer.Request(), peer.Send(peer.OK("hello")), peer.Close()})
//	defer p.Close()
//
// Connection n follows script n. Err returns the steps that failed.
package peer

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Step is a part of a script. An error ends the connection and is reported by Err.
type Step func(*Session) error

// Session is a connection that follows a script.
type Session struct {
	net.Conn
	In     *bufio.Reader
	Number int // of the connection, from 0
	peer   *Peer
}

// Peer accepts connections, and follows a script on each. It is safe for concurrent use.
type Peer struct {
	listener   net.Listener
	scripts    [][]Step
	goroutines sync.WaitGroup

	mu       sync.Mutex
	requests []ReceivedRequest
	errs     []error
	conns    map[net.Conn]struct{}
	accepted int
	closed   bool
}

// ReceivedRequest is a request that a peer has read to its end.
type ReceivedRequest struct {
	Conn   int // the connection's number, from 0
	Method string
	Path   string
	Header http.Header
	Body   []byte
	At     time.Time // when it had been read
}

// New returns a peer on a listener, which it owns. Connection n follows script n, and those past the last follow the last.
func New(l net.Listener, scripts ...[]Step) *Peer {
	p := &Peer{listener: l, scripts: scripts, conns: map[net.Conn]struct{}{}}
	p.goroutines.Go(p.accept)
	return p
}

func (p *Peer) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		n := p.accepted
		p.accepted++
		p.conns[c] = struct{}{}
		if p.closed {
			c.Close()
		}
		p.mu.Unlock()
		script := p.scripts[min(n, len(p.scripts)-1)]
		p.goroutines.Go(func() { p.runScript(&Session{Conn: c, In: bufio.NewReader(c), Number: n, peer: p}, script) })
	}
}

func (p *Peer) runScript(s *Session, script []Step) {
	defer func() {
		s.Close()
		p.mu.Lock()
		delete(p.conns, s.Conn)
		p.mu.Unlock()
	}()
	for i, step := range script {
		if err := step(s); err != nil {
			p.stepFailed(s.Number, i, err)
			return
		}
	}
}

func (p *Peer) stepFailed(conn, step int, err error) {
	if errors.Is(err, errScriptEnd) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.errs = append(p.errs, &StepError{Conn: conn, Step: step, Err: err})
}

// StepError says which step of a script failed.
type StepError struct {
	Conn, Step int // numbers, from 0
	Err        error
}

// Error implements error.
func (e *StepError) Error() string {
	return fmt.Sprintf("connection %d, step %d: %v", e.Conn, e.Step, e.Err)
}

// Unwrap returns the cause.
func (e *StepError) Unwrap() error { return e.Err }

// Close ends the peer and its connections, and waits for its goroutines.
func (p *Peer) Close() {
	p.listener.Close()
	p.mu.Lock()
	p.closed = true
	for c := range p.conns {
		c.Close()
	}
	p.mu.Unlock()
	p.goroutines.Wait()
}

// Requests returns the requests that were read, in order.
func (p *Peer) Requests() []ReceivedRequest {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]ReceivedRequest(nil), p.requests...)
}

// Conns returns how many connections were accepted.
func (p *Peer) Conns() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.accepted
}

// Err returns the errors of all steps that failed, joined; each is a *StepError.
func (p *Peer) Err() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return errors.Join(p.errs...)
}
