// Package peer is a scripted peer for tests: it does exactly what a script says, byte by byte, on each connection that it
// accepts, and keeps what it read.
package peer

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Step is a part of a script. An error ends the connection.
type Step func(*Session) error

// Session is a connection that follows a script.
type Session struct {
	net.Conn
	In     *bufio.Reader
	Number int // of the connection, from 0
	peer   *Peer
}

// Peer accepts connections; the script of each is chosen by its number.
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

// ReceivedRequest is a request that a peer has read whole.
type ReceivedRequest struct {
	Conn   int
	Method string
	Path   string
	Header http.Header
	Body   []byte
	At     time.Time
}

// New returns a peer on a listener. Connection n follows script n, and those past the last follow the last.
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
			if !errors.Is(err, errScriptEnd) {
				p.mu.Lock()
				p.errs = append(p.errs, fmt.Errorf("connection %d, step %d: %w", s.Number, i, err))
				p.mu.Unlock()
			}
			return
		}
	}
}

// Close ends the peer with its connections and waits for them.
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

// Conns is how many connections were accepted.
func (p *Peer) Conns() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.accepted
}

// Err returns what kept scripts from being followed.
func (p *Peer) Err() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return errors.Join(p.errs...)
}

var errScriptEnd = errors.New("the script ends")

// Request reads a whole request. A connection that ends before one begins ends the script.
func Request() Step {
	return func(s *Session) error {
		if _, err := s.In.Peek(1); err != nil {
			return errScriptEnd
		}
		r, err := http.ReadRequest(s.In)
		if err != nil {
			return err
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return err
		}
		s.peer.mu.Lock()
		defer s.peer.mu.Unlock()
		s.peer.requests = append(s.peer.requests, ReceivedRequest{s.Number, r.Method, r.URL.Path, r.Header, body, time.Now()})
		return nil
	}
}

// Bytes reads exactly so many bytes.
func Bytes(want string) Step {
	return func(s *Session) error {
		got := make([]byte, len(want))
		if _, err := io.ReadFull(s.In, got); err != nil {
			return err
		}
		if !bytes.Equal(got, []byte(want)) {
			return fmt.Errorf("read %q, not %q", got, want)
		}
		return nil
	}
}

// Send sends a text.
func Send(text string) Step {
	return func(s *Session) error {
		_, err := io.WriteString(s.Conn, text)
		return err
	}
}

// Drip sends a text byte by byte with a gap between them.
func Drip(text string, gap time.Duration) Step {
	return func(s *Session) error {
		for i := range len(text) {
			if _, err := io.WriteString(s.Conn, text[i:i+1]); err != nil {
				return errScriptEnd
			}
			time.Sleep(gap)
		}
		return nil
	}
}

// Wait lets time pass.
func Wait(d time.Duration) Step {
	return func(*Session) error {
		time.Sleep(d)
		return nil
	}
}

// Silence reads and says nothing until the other side ends.
func Silence() Step {
	return func(s *Session) error {
		io.Copy(io.Discard, s.In)
		return errScriptEnd
	}
}

// Close ends the connection in order.
func Close() Step {
	return func(s *Session) error {
		s.Conn.Close()
		return errScriptEnd
	}
}

// Reset breaks the connection.
func Reset() Step {
	return func(s *Session) error {
		switch c := s.Conn.(type) {
		case interface{ Reset() }:
			c.Reset()
		case *net.TCPConn:
			c.SetLinger(0)
			c.Close()
		default:
			return fmt.Errorf("a %T can't be reset", c)
		}
		return errScriptEnd
	}
}

// Forever repeats steps until one ends the script.
func Forever(steps ...Step) Step {
	return func(s *Session) error {
		for {
			for _, step := range steps {
				if err := step(s); err != nil {
					return err
				}
			}
		}
	}
}

// OK is a 200 with a body.
func OK(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}
