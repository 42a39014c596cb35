package link

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

// pair returns both ends of an in-memory connection from a to b.
func pair(t *testing.T, n *Network) (dialed, accepted net.Conn) {
	t.Helper()
	l, err := n.Listen("b:80")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	dialed, err = n.Dialer("a")(t.Context(), "tcp", "b:80")
	if err != nil {
		t.Fatal(err)
	}
	if accepted, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	return dialed, accepted
}

// read returns the result of one read, and how long it took.
func read(c net.Conn) (string, time.Duration, error) {
	began := time.Now()
	buf := make([]byte, 100)
	n, err := c.Read(buf)
	return string(buf[:n]), time.Since(began), err
}

// Delay, jitter and loss delay the parts of a stream differently. All bytes must still arrive, in order.
func TestStreamStaysInOrderUnderDelayAndLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := NewNetwork(1)
		n.SetBoth("a", "b", Conditions{Delay: 100 * time.Millisecond, Jitter: 50 * time.Millisecond, Loss: 0.3})
		began := time.Now()
		dialed, accepted := pair(t, n)
		if up := time.Since(began); up < 200*time.Millisecond {
			t.Errorf("the connection was established after %v, want at least 200 ms", up)
		}
		want := bytes.Repeat([]byte("0123456789"), 5000)
		go func() { dialed.Write(want); dialed.Close() }()
		got, err := io.ReadAll(accepted)
		if err != nil || !bytes.Equal(got, want) {
			t.Errorf("read %d bytes, %v, want the %d bytes written", len(got), err, len(want))
		}
		accepted.Close()
	})
}

// A writer must block when the reader has stopped reading, and must not exceed the bandwidth.
func TestWritesAreLimitedByWindowAndBandwidth(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := NewNetwork(1)
		n.SetBoth("a", "b", Conditions{Bandwidth: 1 << 20})
		dialed, accepted := pair(t, n)
		dialed.SetWriteDeadline(time.Now().Add(time.Second))
		sent, err := dialed.Write(make([]byte, 2<<20))
		if !errors.Is(err, os.ErrDeadlineExceeded) || sent != maxInFlight {
			t.Errorf("%d bytes were written with nobody reading, %v, want %d and a timeout", sent, err, maxInFlight)
		}
		dialed.SetWriteDeadline(time.Time{})
		began := time.Now()
		go func() { dialed.Write(make([]byte, 1<<20)); dialed.Close() }()
		if _, err := io.Copy(io.Discard, accepted); err != nil {
			t.Error(err)
		}
		if took := time.Since(began); took < 900*time.Millisecond || took > 1500*time.Millisecond {
			t.Errorf("1 MiB at 1 MiB/s took %v, want 0.9 s to 1.5 s", took)
		}
		accepted.Close()
	})
}

// A cut may affect one direction only: one end receives nothing, and the other still does. Neither gets an error, and what was sent
// during the cut arrives when it is over.
func TestCutHoldsBackOneDirectionWithoutError(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := NewNetwork(1)
		dialed, accepted := pair(t, n)
		n.Set("a", "b", Conditions{Cut: true})
		io.WriteString(dialed, "held")
		io.WriteString(accepted, "back")
		if got, _, _ := read(dialed); got != "back" {
			t.Errorf("the direction that is not cut: read %q, want \"back\"", got)
		}
		accepted.SetReadDeadline(time.Now().Add(time.Minute))
		if _, took, err := read(accepted); !errors.Is(err, os.ErrDeadlineExceeded) || took != time.Minute {
			t.Errorf("a read during the cut: %v after %v, want a timeout after a minute", err, took)
		}
		if !accepted.(*Conn).OpenWithoutInput() {
			t.Error("OpenWithoutInput is false during the cut")
		}
		accepted.SetReadDeadline(time.Time{})
		time.AfterFunc(time.Second, func() { n.Set("a", "b", Conditions{}) })
		if got, took, err := read(accepted); got != "held" || took != time.Second || err != nil {
			t.Errorf("after the cut: read %q after %v, %v, want \"held\" after 1 s", got, took, err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		n.Set("b", "a", Conditions{Cut: true})
		l, _ := n.Listen("b:80")
		defer l.Close()
		if _, err := n.Dialer("a")(ctx, "tcp", "b:80"); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("a dial with the reply's direction cut: %v, want a timeout", err)
		}
		dialed.Close()
		accepted.Close()
	})
}

// Agents decide by the way in which a connection ends whether to retry a request. So a close, a close with unread bytes, a killed
// peer and a port without a listener must give the same errors as in TCP.
func TestConnectionsEndAsInTCP(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := NewNetwork(1)
		dialed, accepted := pair(t, n)
		io.WriteString(dialed, "last")
		dialed.Close()
		if got, _, _ := read(accepted); got != "last" {
			t.Errorf("read %q before the close, want \"last\"", got)
		}
		if _, _, err := read(accepted); err != io.EOF {
			t.Errorf("a read after the peer has closed: %v, want %v", err, io.EOF)
		}
		if _, err := accepted.Write([]byte("x")); !errors.Is(err, syscall.EPIPE) {
			t.Errorf("a write after the peer has closed: %v, want %v", err, syscall.EPIPE)
		}
		dialed, accepted = pair(t, n)
		io.WriteString(accepted, "unread")
		dialed.Close()
		if _, _, err := read(accepted); !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("a read after the peer has closed with unread bytes: %v, want %v", err, syscall.ECONNRESET)
		}
		dialed, accepted = pair(t, n)
		n.Kill("b")
		if _, _, err := read(dialed); !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("a read after the peer was killed: %v, want %v", err, syscall.ECONNRESET)
		}
		if _, err := n.Dialer("a")(t.Context(), "tcp", "b:80"); !errors.Is(err, syscall.ECONNREFUSED) {
			t.Errorf("a dial to a port without a listener: %v, want %v", err, syscall.ECONNREFUSED)
		}
		dialed.Close()
		if n.Open("a") != 0 || accepted.Close() != nil {
			t.Errorf("%d connections are open at a after all were closed, or closing the other end failed", n.Open("a"))
		}
	})
}

// Datagrams are lost because of the conditions, and when the receiving socket's queue is full.
func TestDatagramsAreLostByConditionsAndFullSockets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := NewNetwork(1)
		a, _ := n.ListenPacket("a:1")
		b, _ := n.ListenPacket("b:1")
		n.Set("a", "b", Conditions{Delay: 50 * time.Millisecond, Jitter: 20 * time.Millisecond, Loss: 0.2})
		for range 500 {
			a.WriteTo([]byte("x"), b.LocalAddr())
		}
		b.SetReadDeadline(time.Now().Add(time.Second))
		got := 0
		for buf := make([]byte, 10); ; got++ {
			if _, _, err := b.ReadFrom(buf); err != nil {
				break
			}
		}
		if got < 350 || got > 450 {
			t.Errorf("%d of 500 datagrams arrived at a loss of 0.2, want 350 to 450", got)
		}
		for range 3 * maxQueuedDatagrams {
			a.WriteTo([]byte("x"), a.LocalAddr())
		}
		if a.Lost() != 2*maxQueuedDatagrams {
			t.Errorf("%d datagrams found the queue full, want %d", a.Lost(), 2*maxQueuedDatagrams)
		}
		a.Close()
		b.Close()
	})
}

// echo starts an echo server on a loopback socket.
func echo(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { io.Copy(c, c); c.Close() }()
		}
	}()
	return l
}

// startRelay starts a relay to an echo server.
func startRelay(t *testing.T) *Relay {
	t.Helper()
	front, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := NewRelay(front, echo(t).Addr().String(), 1)
	t.Cleanup(func() { r.Close() })
	return r
}

func dialRelay(t *testing.T, r *Relay) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", r.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(20 * time.Second))
	return c
}

// In runs on sockets, relays emulate the network. A relay must delay streams and hold them back during a cut without an error, and
// what was sent during a cut must arrive after it.
func TestRelayDelaysAndCutsStreams(t *testing.T) {
	r := startRelay(t)
	slow := Conditions{Delay: 30 * time.Millisecond}
	r.Set(slow, slow)
	c := dialRelay(t, r)
	began := time.Now()
	io.WriteString(c, "there and back")
	if got, _, err := read(c); got != "there and back" || time.Since(began) < 60*time.Millisecond {
		t.Errorf("read %q after %v, %v, want the text after at least 60 ms", got, time.Since(began), err)
	}
	r.Set(Conditions{Cut: true}, Conditions{})
	io.WriteString(c, "held")
	c.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	if got, _, err := read(c); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("a read during the cut: %q, %v, want a timeout", got, err)
	}
	r.Set(Conditions{}, Conditions{})
	c.SetDeadline(time.Now().Add(20 * time.Second))
	if got, _, err := read(c); got != "held" {
		t.Errorf("a read after the cut: %q, %v, want \"held\"", got, err)
	}
	c.(*net.TCPConn).CloseWrite()
	if _, _, err := read(c); err != io.EOF {
		t.Errorf("a read after CloseWrite: %v, want %v", err, io.EOF)
	}
}

// To emulate a node whose process ends and starts again, a relay resets its streams, refuses connections, and accepts them again at
// the same address.
func TestRelayResetsAndRejectsConnections(t *testing.T) {
	r := startRelay(t)
	broken := dialRelay(t, r)
	io.WriteString(broken, "x")
	read(broken)
	r.Reset()
	if _, _, err := read(broken); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("a read after a reset: %v, want an error other than a timeout", err)
	}
	if err := r.RejectConnections(true); err != nil {
		t.Fatal(err)
	}
	if c, err := net.Dial("tcp", r.Addr().String()); err == nil {
		c.Close()
		t.Error("a connection was accepted while connections are rejected")
	}
	if err := r.RejectConnections(false); err != nil {
		t.Fatal(err)
	}
	again := dialRelay(t, r)
	io.WriteString(again, "again")
	if got, _, _ := read(again); got != "again" {
		t.Errorf("after the relay accepts connections again: read %q, want \"again\"", got)
	}
}

// Replies are returned to the sender. Datagrams of senders beyond the limit are lost and counted.
func TestDatagramRelayReturnsRepliesAndBoundsSenders(t *testing.T) {
	server, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	go func() {
		buf := make([]byte, 100)
		for {
			n, from, err := server.ReadFrom(buf)
			if err != nil {
				return
			}
			server.WriteTo(buf[:n], from)
		}
	}()
	front, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r, err := NewDatagramRelay(front, server.LocalAddr().String(), 1, 1)
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	first, err := net.Dial("udp", r.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer first.Close()
	first.SetDeadline(time.Now().Add(20 * time.Second))
	io.WriteString(first, "ping")
	if got, _, err := read(first); got != "ping" {
		t.Errorf("read %q, %v, want the reply \"ping\"", got, err)
	}
	second, err := net.Dial("udp", r.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer second.Close()
	io.WriteString(second, "beyond the limit")
	for end := time.Now().Add(20 * time.Second); r.Lost() == 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	if r.Lost() != 1 {
		t.Errorf("%d datagrams lost, want 1", r.Lost())
	}
}

func TestConditionsOutOfRangeAreRejected(t *testing.T) {
	for _, c := range []Conditions{{Delay: -1}, {Loss: 1}, {Loss: -0.1}, {Bandwidth: -1}} {
		if c.Check() == nil {
			t.Errorf("%+v passed Check, want an error", c)
		}
	}
}
