package connlimit

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

// pair opens a connection to the listener and returns both ends.
func pair(t *testing.T, l *Listener) (*Conn, net.Conn) {
	t.Helper()
	far, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { far.Close() })
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c.(*Conn), far
}

// Room is made by those without a request: one that is being served stays, and so does the number of places.
func TestWhoMakesRoom(t *testing.T) {
	table := New(listen(t), 4)
	accept := func() *Conn {
		c, _ := pair(t, table)
		return c
	}
	busy, kept, silent := accept(), accept(), accept()
	silent.since = silent.since.Add(-2 * startTime)
	busy.now(inUse)
	kept.now(inUse)
	State(kept, http.StateIdle)
	reader := accept()
	State(reader, http.StateActive)
	for i, want := range []*Conn{silent, kept, reader} {
		if _, open := table.open[want]; !open {
			t.Errorf("connection %d was closed too early", i)
		}
		accept().now(inUse)
		if _, open := table.open[want]; open {
			t.Errorf("connection %d should have made room", i)
		}
	}
	if _, open := table.open[busy]; !open || len(table.open) != 4 {
		t.Errorf("busy open: %v, %d in all", open, len(table.open))
	}
	// With all in use the next one waits, until one is free or the listener closes.
	done := make(chan error)
	go func() { _, err := table.Accept(); done <- err }()
	table.Close()
	if err := <-done; err == nil {
		t.Error("accepted beyond the limit")
	}
}

// In a crowd of half-sent requests, the one that still comes in goes on, and one that has stopped makes room.
func TestSlowRequestOutlastsSilentOnes(t *testing.T) {
	table := New(listen(t), 3)
	slow, far := pair(t, table)
	read := func(c *Conn, far net.Conn) {
		t.Helper()
		io.WriteString(far, "G")
		if _, err := c.Read(make([]byte, 1)); err != nil {
			t.Fatal(err)
		}
	}
	read(slow, far)
	for range 5 {
		stuck, stuckFar := pair(t, table)
		read(stuck, stuckFar)
		read(slow, far)
	}
	if _, open := table.open[slow]; !open {
		t.Error("the one that was being read was closed")
	}
}

// A drain closes what carries nothing, and leaves a request that is coming in or being served.
func TestCloseIdle(t *testing.T) {
	table := New(listen(t), 9)
	idle, _ := pair(t, table)
	coming, far := pair(t, table)
	busy, _ := pair(t, table)
	busy.now(inUse)
	io.WriteString(far, "G")
	coming.Read(make([]byte, 1))
	table.CloseIdle(time.Hour)
	if table.Len() != 3 {
		t.Error("closed before its time")
	}
	table.CloseIdle(0)
	for c, want := range map[*Conn]bool{idle: false, coming: true, busy: true} {
		if _, open := table.open[c]; open != want {
			t.Errorf("use %d: open %v", c.use, open)
		}
	}
}

// late is a connection whose Close first lets something happen.
type late struct {
	net.Conn
	before func()
}

func (l late) Close() error {
	l.before()
	return l.Conn.Close()
}

// What comes on a connection that is just making room is not read, so that its client may send it again.
func TestRequestThatCrossesACloseForRoom(t *testing.T) {
	table := New(listen(t), 1)
	c, far := pair(t, table)
	n := -1
	c.Conn = late{c.Conn, func() {
		io.WriteString(far, "G")
		n, _ = c.Read(make([]byte, 1))
	}}
	pair(t, table)
	if n != 0 || table.Len() != 1 {
		t.Errorf("%d bytes were read, %d connections are left", n, table.Len())
	}
}

// A drain closes connections one after the other. A request that begins on one meanwhile goes on; on one that is about to close
// none is read, so that its client may send it again.
func TestRequestThatCrossesACloseOfMany(t *testing.T) {
	table := New(listen(t), 9)
	first, firstFar := pair(t, table)
	second, secondFar := pair(t, table)
	both := map[*Conn]net.Conn{first: firstFar, second: secondFar}
	closing := 0
	for c := range both {
		c.Conn = late{c.Conn, func() {
			if closing++; closing > 1 {
				return
			}
			for c, far := range both { // now one is about to close, and the other is not yet
				io.WriteString(far, "G")
				n, err := c.Read(make([]byte, 1))
				if retired := c.retired; retired == (n > 0) || retired == (err == nil) {
					t.Errorf("about to close %v: %d bytes were read, %v", retired, n, err)
				}
			}
		}}
	}
	table.CloseIdle(0)
	if table.Len() != 1 {
		t.Errorf("%d connections are left", table.Len())
	}
	for c := range both {
		c.Conn = c.Conn.(late).Conn
	}
}
