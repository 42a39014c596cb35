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
	acceptRetryWait = 10 * time.Millisecond // after a failed accept, for example for lack of file descriptors
)

// relayedStream is a stream between two sockets that passes through one pipe in each direction.
type relayedStream struct {
	client, server   *net.TCPConn
	forward, reverse *pipe // forward from the client to the server, reverse from the server to the client
}

// dialTarget connects to the server of a stream. It resets the client's connection if that fails.
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

// newRelayedStream draws two seeds from rng; the caller serializes access to rng.
func newRelayedStream(client, server *net.TCPConn, rng *rand.Rand, forward, reverse Conditions) *relayedStream {
	return &relayedStream{
		client:  client,
		server:  server,
		forward: newPipe(rand.New(rand.NewPCG(rng.Uint64(), 1)), forward),
		reverse: newPipe(rand.New(rand.NewPCG(rng.Uint64(), 2)), reverse),
	}
}

func resetTCP(c *net.TCPConn) {
	c.SetLinger(0)
	c.Close()
}

// run copies in both directions until both streams have ended, and then closes the sockets.
func (s *relayedStream) run() {
	var copies sync.WaitGroup
	copies.Go(func() { s.copyIn(s.forward, s.client) })
	copies.Go(func() { s.copyIn(s.reverse, s.server) })
	copies.Go(func() { s.copyOut(s.server, s.forward) })
	copies.Go(func() { s.copyOut(s.client, s.reverse) })
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

// copyIn copies what a socket receives into a pipe, up to the end of the stream.
func (s *relayedStream) copyIn(p *pipe, from *net.TCPConn) {
	if _, err := io.Copy(pipeWriter{p}, from); err != nil {
		s.reset()
		return
	}
	p.closeWriter()
}

// copyOut copies what arrives through a pipe to a socket, up to the end of the stream.
func (s *relayedStream) copyOut(to *net.TCPConn, p *pipe) {
	if _, err := io.Copy(to, pipeReader{p}); err != nil {
		s.reset()
		return
	}
	to.CloseWrite()
}

// reset resets both sockets and stops the copying.
func (s *relayedStream) reset() {
	for _, c := range []*net.TCPConn{s.client, s.server} {
		resetTCP(c)
	}
	for _, p := range []*pipe{s.forward, s.reverse} {
		p.closeReader()
		p.failWrites(net.ErrClosed)
	}
}

// acceptAll calls serve for each accepted connection, in a goroutine of the group, until the listener is closed.
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
