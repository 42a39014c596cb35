// Package peer is a scripted HTTP server for tests. On each accepted connection it executes a script, which controls every byte that
// it sends, and it records the requests that it reads.
//
// A script is a list of steps, such as
//
//	p := peer.New(listener, []peer.Step{peer.Request(), peer.Send(peer.OK("hello")), peer.Close()})
//	defer p.Close()
//
// The n-th connection executes the n-th script. Err returns the errors of the steps that failed.
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

// Step is a step of a script. If it returns an error, the connection is closed and Err reports the error.
type Step func(*Session) error

// Session is a connection on which a script is executed.
type Session struct {
	net.Conn
	In     *bufio.Reader
	Number int // of the connection, counted from 0
	peer   *Peer
}

// Peer accepts connections and executes a script on each. It is safe for concurrent use.
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

// ReceivedRequest is a request that a peer has read completely.
type ReceivedRequest struct {
	Conn   int // number of the connection, counted from 0
	Method string
	Path   string
	Header http.Header
	Body   []byte
	At     time.Time // when it was read completely
}

// New returns a peer on a listener, which it owns. The n-th connection executes the n-th script; further connections execute the
// last script. It runs until Close.
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

// StepError is the error of a step that failed.
type StepError struct {
	Conn, Step int // numbers of the connection and of the step in its script, counted from 0
	Err        error
}

// Error implements error.
func (e *StepError) Error() string {
	return fmt.Sprintf("connection %d, step %d: %v", e.Conn, e.Step, e.Err)
}

// Unwrap returns the error that the step returned.
func (e *StepError) Unwrap() error { return e.Err }

// Close closes the listener and all connections, and waits for the peer's goroutines.
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

// Requests returns the requests read so far, in the order in which they were read.
func (p *Peer) Requests() []ReceivedRequest {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]ReceivedRequest(nil), p.requests...)
}

// Conns returns the number of connections accepted so far.
func (p *Peer) Conns() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.accepted
}

// Err returns the joined errors of all steps that failed so far, each a *StepError, or nil.
func (p *Peer) Err() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return errors.Join(p.errs...)
}
