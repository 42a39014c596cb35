package link

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

const (
	dialTimeout     = 5 * time.Second
	acceptRetryWait = 10 * time.Millisecond // after an accept that failed, as without file descriptors
)

// relayedStream is one stream between two sockets that passes through a pipe each way.
type relayedStream struct {
	client, server *net.TCPConn
	forth, back    *pipe // from the client to the server, and back
}

// dialTarget connects to the server of a stream. Where that fails, the client's connection is reset.
func dialTarget(client *net.TCPConn, target string) (*net.TCPConn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	server, err := new(net.Dialer).DialContext(ctx, "tcp", target)
	if err != nil {
		resetTCP(client)
		return nil, err
	}
	return server.(*net.TCPConn), nil
}

// newRelayedStream takes two seeds from rng, whose owner guards it.
func newRelayedStream(client, server *net.TCPConn, rng *rand.Rand, forth, back Conditions) *relayedStream {
	return &relayedStream{
		client: client,
		server: server,
		forth:  newPipe(rand.New(rand.NewPCG(rng.Uint64(), 1)), forth),
		back:   newPipe(rand.New(rand.NewPCG(rng.Uint64(), 2)), back),
	}
}

func resetTCP(c *net.TCPConn) {
	c.SetLinger(0)
	c.Close()
}

// run copies both ways until both have ended, and closes the sockets.
func (s *relayedStream) run() {
	var copies sync.WaitGroup
	copies.Go(func() { s.copyIn(s.forth, s.client) })
	copies.Go(func() { s.copyIn(s.back, s.server) })
	copies.Go(func() { s.copyOut(s.server, s.forth) })
	copies.Go(func() { s.copyOut(s.client, s.back) })
	copies.Wait()
	s.client.Close()
	s.server.Close()
}

// pipeWriter and pipeReader are the ends of a pipe for io.Copy.
type (
	pipeWriter struct{ *pipe }
	pipeReader struct{ *pipe }
)

func (p pipeWriter) Write(b []byte) (int, error) { return p.write(b) }
func (p pipeReader) Read(b []byte) (int, error)  { return p.read(b) }

// copyIn copies what a socket receives into a pipe, up to the stream's end.
func (s *relayedStream) copyIn(p *pipe, from *net.TCPConn) {
	if _, err := io.Copy(pipeWriter{p}, from); err != nil {
		s.reset()
		return
	}
	p.closeWriter()
}

// copyOut copies what arrives through a pipe to a socket, up to the stream's end.
func (s *relayedStream) copyOut(to *net.TCPConn, p *pipe) {
	if _, err := io.Copy(to, pipeReader{p}); err != nil {
		s.reset()
		return
	}
	to.CloseWrite()
}

// reset breaks the stream at both sockets and ends its copies.
func (s *relayedStream) reset() {
	for _, c := range []*net.TCPConn{s.client, s.server} {
		resetTCP(c)
	}
	for _, p := range []*pipe{s.forth, s.back} {
		p.closeReader()
		p.failWrites(net.ErrClosed)
	}
}

// acceptAll serves each connection in a goroutine of the group, until the listener is closed.
func acceptAll(l net.Listener, group *sync.WaitGroup, serve func(*net.TCPConn)) {
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptRetryWait)
			continue
		}
		group.Go(func() { serve(c.(*net.TCPConn)) })
	}
}
