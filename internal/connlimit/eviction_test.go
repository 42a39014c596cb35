package connlimit

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"ryeweir/internal/testkit"
)

// With all slots taken, each new connection evicts the one of least use: the silent one, then the idle one, then the one whose
// request is being read. One with a request in flight stays, and the limit holds.
func TestEvictionOrder(t *testing.T) {
	l := New(testkit.Listen(t), 4)
	accept := func() *Conn {
		t.Helper()
		c, _ := acceptPair(t, l)
		return c
	}
	busy, between, silent := accept(), accept(), accept()
	silent.lastActivity = silent.lastActivity.Add(-2 * firstRequestGrace)
	busy.setActivity(requestInFlight)
	between.setActivity(requestInFlight)
	ConnState(between, http.StateIdle)
	reader := accept()
	ConnState(reader, http.StateActive)
	for _, c := range []*Conn{busy, between, silent, reader} {
		readUntilError(c)
	}
	for i, want := range []*Conn{silent, between, reader} {
		if !l.isOpen(want) {
			t.Errorf("connection %d was evicted too early", i)
		}
		accept().setActivity(requestInFlight)
		if l.isOpen(want) {
			t.Errorf("connection %d should have been evicted", i)
		}
	}
	if !l.isOpen(busy) || l.Len() != 4 {
		t.Errorf("the busy one open: %v, %d in all", l.isOpen(busy), l.Len())
	}
	// With requests in flight on all of them the next one waits, until one is free or the listener closes.
	done := make(chan error)
	go func() { _, err := l.Accept(); done <- err }()
	l.Close()
	if err := <-done; err == nil {
		t.Error("accepted beyond the limit")
	}
}

// Many clients send a part of a request and stop; one goes on slowly. The slow one outlasts the others, which are evicted.
func TestSlowRequestOutlastsStalledOnes(t *testing.T) {
	l := New(testkit.Listen(t), 3)
	slow, slowClient := acceptPair(t, l)
	received := make(chan int)
	sendByte := func(client net.Conn) {
		t.Helper()
		io.WriteString(client, "G")
		if n := <-received; n != 1 {
			t.Fatalf("%d bytes received", n)
		}
	}
	readAndReport := func(c *Conn) { // as readUntilError, and reports each read
		go func() {
			for {
				n, err := c.Read(make([]byte, 2)) // as for a head: a read of one byte is net/http's background read
				if err != nil {
					c.Close()
					return
				}
				received <- n
			}
		}()
	}
	readAndReport(slow)
	sendByte(slowClient)
	for range 5 {
		stalled, stalledClient := acceptPair(t, l)
		readAndReport(stalled)
		sendByte(stalledClient)
		sendByte(slowClient)
	}
	if !l.isOpen(slow) {
		t.Error("the request that was being read was evicted")
	}
}

// A slot is needed in the instant in which a request has been read, before a handler reports it. The request goes on: the close
// that was requested, and what it does to the connection's next read, must not pass for a client that disconnects.
func TestEvictionDoesNotCancelARequestThatJustBegan(t *testing.T) {
	l := New(testkit.Listen(t), 1)
	l.HeaderTimeout = time.Minute
	started, resume := make(chan struct{}), make(chan struct{})
	serve(t, l, func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		close(started) // net/http's background read is under way by now
		<-resume
		BeginRequest(ctx, "r")
		if OnDisconnect(ctx, cancel) {
			t.Error("the client counts as disconnected")
		}
		select {
		case <-ctx.Done():
			t.Error("the request was canceled")
			panic(http.ErrAbortHandler)
		case <-time.After(100 * time.Millisecond):
		}
		w.Header().Set("Connection", "close")
		io.WriteString(w, "answer")
	})
	c := dial(t, l)
	io.WriteString(c, get("/a"))
	<-started
	dial(t, l) // needs the slot
	testkit.Eventually(t, "an eviction is under way", func() bool {
		return l.anyConn(func(c *Conn) bool { return c.evicting })
	})
	time.Sleep(20 * time.Millisecond) // the background read has been interrupted by then
	close(resume)
	wantAnswer(t, bufio.NewReader(c), "answer")
}

// lateListener has a connection in hand as it is closed, and returns it after that.
type lateListener struct {
	net.Listener
	accepted, resume chan struct{}
}

func (l *lateListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil && l.accepted != nil {
		close(l.accepted)
		<-l.resume
		l.accepted = nil
	}
	return c, err
}

// A connection is accepted in the instant in which the listener closes. It is served: its client may have sent a request already.
func TestConnectionAcceptedDuringCloseIsServed(t *testing.T) {
	late := &lateListener{Listener: testkit.Listen(t), accepted: make(chan struct{}), resume: make(chan struct{})}
	accepted := late.accepted
	l := New(late, 2)
	l.HeaderTimeout = time.Minute
	serve(t, l, func(w http.ResponseWriter, r *http.Request) {
		BeginRequest(r.Context(), "r")
		w.Header().Set("Connection", "close")
		io.WriteString(w, "answer")
	})
	c := dial(t, l)
	io.WriteString(c, get("/a"))
	<-accepted
	l.Close()
	close(late.resume)
	wantAnswer(t, bufio.NewReader(c), "answer")
}
