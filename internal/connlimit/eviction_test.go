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

// When all slots are taken, each new connection evicts the least used one: first the silent one, then the idle one, then the one
// whose request is being read. A connection with a request in flight stays open, and the limit holds.
func TestEvictionOrder(t *testing.T) {
	l := New(testkit.Listen(t), 4)
	accept := func() *Conn {
		t.Helper()
		c, _ := acceptPair(t, l)
		return c
	}
	busy, betweenRequests, silent := accept(), accept(), accept()
	silent.lastActivity = silent.lastActivity.Add(-2 * firstRequestGrace)
	busy.setActivity(requestInFlight)
	betweenRequests.setActivity(requestInFlight)
	ConnState(betweenRequests, http.StateIdle)
	reader := accept()
	ConnState(reader, http.StateActive)
	for _, c := range []*Conn{busy, betweenRequests, silent, reader} {
		readUntilError(c)
	}
	for i, want := range []*Conn{silent, betweenRequests, reader} {
		if !l.isOpen(want) {
			t.Errorf("connection %d in eviction order was evicted too early", i)
		}
		accept().setActivity(requestInFlight)
		if l.isOpen(want) {
			t.Errorf("connection %d in eviction order was not evicted", i)
		}
	}
	if !l.isOpen(busy) || l.Len() != 4 {
		t.Errorf("connection with a request in flight open: %v; %d connections open, want 4", l.isOpen(busy), l.Len())
	}
	// When all connections have requests in flight, Accept waits until a slot is free or the listener closes.
	done := make(chan error)
	go func() { _, err := l.Accept(); done <- err }()
	l.Close()
	if err := <-done; err == nil {
		t.Error("Accept returned a connection above the limit")
	}
}

// Many clients send a part of a request and stop; one continues slowly. The stalled connections are evicted, and the slow one
// stays open.
func TestSlowRequestOutlastsStalledOnes(t *testing.T) {
	l := New(testkit.Listen(t), 3)
	slow, slowClient := acceptPair(t, l)
	received := make(chan int)
	sendByte := func(client net.Conn) {
		t.Helper()
		io.WriteString(client, "G")
		if n := <-received; n != 1 {
			t.Fatalf("read %d bytes, want 1", n)
		}
	}
	readAndReport := func(c *Conn) { // like readUntilError, but reports each read
		go func() {
			for {
				n, err := c.Read(make([]byte, 2)) // more than one byte, because a read of one byte counts as net/http's background read
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
		t.Error("the connection whose request was being read was evicted")
	}
}

// Failure: a crowd that comes back as soon as it is evicted closed the connections of those who had just sent their requests, unread. A
// connection whose bytes wait to be read must not be evicted, and one on which a request arrives as its close is requested stays open.
func TestRequestThatIsNotReadYetIsNotEvicted(t *testing.T) {
	l := New(testkit.Listen(t), 1)
	waiting, client := acceptPair(t, l)
	io.WriteString(client, "G")
	testkit.Eventually(t, "the byte has arrived", func() bool { return unread(waiting) })
	l.mu.Lock()
	waiting.activityBegan = waiting.activityBegan.Add(-time.Hour)
	candidate := l.evictionCandidate()
	waiting.evict() // as if the byte had arrived just after the search
	l.mu.Unlock()
	if candidate != nil {
		t.Error("a connection with unread bytes is evicted")
	}
	if n, err := waiting.Read(make([]byte, 2)); n != 1 || err != nil {
		t.Errorf("read %d bytes, %v", n, err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if waiting.closePending {
		t.Error("the close is still pending after a byte was read")
	}
	if l.evictionCandidate() != nil {
		t.Error("a connection that has just begun to send its request is evicted")
	}
}

// A slot is needed just after a request has been read, before the handler calls BeginRequest. The request must continue: neither
// the close that was requested nor the read that it interrupts may be taken for a client disconnect.
func TestEvictionDoesNotCancelARequestThatJustBegan(t *testing.T) {
	l := New(testkit.Listen(t), 1)
	l.HeaderTimeout = time.Minute
	started, resume := make(chan struct{}), make(chan struct{})
	serve(t, l, func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		close(started) // net/http's background read is running by now
		<-resume
		BeginRequest(ctx, "r")
		if OnDisconnect(ctx, cancel) {
			t.Error("OnDisconnect reports a disconnect")
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
	dial(t, l) // needs the only slot
	testkit.Eventually(t, "an eviction has begun", func() bool {
		return l.anyConn(func(c *Conn) bool { return c.evicting })
	})
	time.Sleep(20 * time.Millisecond) // the background read has been interrupted by then
	close(resume)
	wantAnswer(t, bufio.NewReader(c), "answer")
}

// lateListener accepts its first connection before it is closed, and returns it only after the test closes resume.
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

// A connection that was accepted just before the listener closes is served, because its client may already have sent a request.
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
