package connlimit

import (
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"ryeweir/internal/event"
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

// reads has a connection read as the server does: until a read fails, and then it closes it.
func reads(c *Conn) {
	go func() {
		buf := make([]byte, 16)
		for {
			if _, err := c.Read(buf); err != nil {
				c.Close()
				return
			}
		}
	}()
}

// isOpen reports whether a connection has its place.
func (t *Listener) isOpen(c *Conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, open := t.open[c]
	return open
}

// eventually waits until ok holds.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatal("it never came to pass that " + what)
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
	ConnState(kept, http.StateIdle)
	reader := accept()
	ConnState(reader, http.StateActive)
	for _, c := range []*Conn{busy, kept, silent, reader} {
		reads(c)
	}
	for i, want := range []*Conn{silent, kept, reader} {
		if !table.isOpen(want) {
			t.Errorf("connection %d was closed too early", i)
		}
		accept().now(inUse)
		if table.isOpen(want) {
			t.Errorf("connection %d should have made room", i)
		}
	}
	if !table.isOpen(busy) || table.Len() != 4 {
		t.Errorf("busy open: %v, %d in all", table.isOpen(busy), table.Len())
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
	came := make(chan int)
	read := func(c *Conn, far net.Conn) {
		t.Helper()
		io.WriteString(far, "G")
		if n := <-came; n != 1 {
			t.Fatalf("%d bytes came", n)
		}
	}
	counts := func(c *Conn) { // as reads does, and tells
		go func() {
			for {
				n, err := c.Read(make([]byte, 2)) // as for a head: a read of one byte is net/http's look for a client that leaves
				if err != nil {
					c.Close()
					return
				}
				came <- n
			}
		}()
	}
	counts(slow)
	read(slow, far)
	for range 5 {
		stuck, stuckFar := pair(t, table)
		counts(stuck)
		read(stuck, stuckFar)
		read(slow, far)
	}
	if !table.isOpen(slow) {
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
	for _, c := range []*Conn{idle, coming, busy} {
		reads(c)
	}
	table.CloseIdle(time.Hour)
	if table.Len() != 3 {
		t.Error("closed before its time")
	}
	table.CloseIdle(0)
	eventually(t, "the idle one closes", func() bool { return !table.isOpen(idle) })
	if !table.isOpen(coming) || !table.isOpen(busy) {
		t.Errorf("open: %v with a request coming in, %v with one in use", table.isOpen(coming), table.isOpen(busy))
	}
}

// holding is a connection whose next read has what came, but gives it only when it is let go on.
type holding struct {
	net.Conn
	got, goOn chan struct{}
}

func (h *holding) Read(p []byte) (int, error) {
	n, err := h.Conn.Read(p)
	if n > 0 && h.got != nil {
		close(h.got)
		<-h.goOn
		h.got = nil
	}
	return n, err
}

// A request that has been read from a connection in the instant in which that is to close goes on, and the connection with it:
// bytes that were taken get their answer. Another one makes the room.
func TestRequestThatCrossesAClose(t *testing.T) {
	for name, closes := range map[string]func(*Listener){
		"in a drain": func(l *Listener) { l.CloseIdle(0) },
		"for room": func(l *Listener) {
			l.mu.Lock()
			defer l.mu.Unlock()
			c := l.leastUseful()
			c.hurry = true
			c.retire(event.CapacityNeeded)
		},
	} {
		t.Run(name, func(t *testing.T) {
			table := New(listen(t), 9)
			table.HeaderTimeout = time.Minute
			c, far := pair(t, table)
			c.now(inUse)
			c.now(unused) // as after an answer
			c.SetReadDeadline(time.Now().Add(time.Minute))
			h := &holding{Conn: c.Conn, got: make(chan struct{}), goOn: make(chan struct{})}
			c.Conn = h
			n, more := 0, make([]byte, 3)
			done := make(chan error, 1)
			go func() {
				var err error
				if n, err = c.Read(make([]byte, 3)); err == nil { // and what comes after it can be read, too
					_, err = io.ReadFull(c, more)
				}
				done <- err
			}()
			io.WriteString(far, "GET")
			<-h.got
			closes(table)
			close(h.goOn)
			io.WriteString(far, " /x")
			if err := <-done; err != nil || n != 3 || string(more) != " /x" {
				t.Errorf("%d bytes were read, then %q: %v", n, more, err)
			}
			if c.retired || c.hurry || !table.isOpen(c) {
				t.Error("it closes under a request that was read")
			}
		})
	}
}

// A request that comes after a close has begun is not read by the server, whose client sees the whole last answer and then the end,
// not a reset: it may send the request again.
func TestRequestBehindAClose(t *testing.T) {
	table := New(listen(t), 9)
	c, far := pair(t, table)
	c.now(inUse)
	io.WriteString(c, "the answer")
	c.now(unused)
	io.WriteString(far, "GET") // is there before the close, and unread
	eventually(t, "it has come", func() bool { return waits(t, c) })
	c.Close()
	io.WriteString(far, " /x") // and this comes after it
	far.SetReadDeadline(time.Now().Add(20 * time.Second))
	if got, err := io.ReadAll(far); string(got) != "the answer" || err != nil {
		t.Errorf("%q, %v", got, err)
	}
	if !table.isOpen(c) {
		t.Error("it gave its place back while it lingers")
	}
	far.Close()
	eventually(t, "it ends with its client", func() bool { return table.Len() == 0 })
}

// waits reports whether something waits to be read.
func waits(t *testing.T, c *Conn) bool {
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var n int
	raw.Control(func(fd uintptr) {
		n, _, _ = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return n > 0
}

// A close lingers within bounds of time and bytes, makes room when its place is needed, and not at all where nothing was answered
// or the answer broke off.
func TestLingerIsBounded(t *testing.T) {
	table := New(listen(t), 1)
	flood, far := pair(t, table)
	flood.now(inUse)
	flood.Close()
	if _, err := io.CopyN(far, zeroes{}, 64*lingerBytes); err == nil {
		t.Error("a flood was taken in whole")
	}
	eventually(t, "the flooded one ends", func() bool { return table.Len() == 0 })
	nothing := func(*Conn) {}
	for what, at := range map[string]struct{ before, after func(*Conn) }{
		"nothing was answered": {nothing, nothing},
		"the answer broke off": {func(c *Conn) { c.now(inUse); c.broken = true }, nothing},
		"its place is needed":  {func(c *Conn) { c.now(inUse) }, func(*Conn) { pair(t, table) }},
		"its time has run out": {func(c *Conn) { c.now(inUse) }, nothing},
	} {
		table = New(listen(t), 1)
		c, _ := pair(t, table)
		at.before(c)
		c.Close()
		at.after(c)
		eventually(t, "it ends when "+what, func() bool { return !table.isOpen(c) })
	}
}

type zeroes struct{}

func (zeroes) Read(p []byte) (int, error) { return len(p), nil }
