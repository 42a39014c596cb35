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

// A drain closes connections without a request, and leaves those on which one is being read or is in flight.
func TestCloseIdleLeavesOpenRequests(t *testing.T) {
	l := New(testkit.Listen(t), 9)
	silent, _ := acceptPair(t, l)
	partial, client := acceptPair(t, l)
	busy, _ := acceptPair(t, l)
	busy.setActivity(requestInFlight)
	io.WriteString(client, "G")
	partial.Read(make([]byte, 1))
	for _, c := range []*Conn{silent, partial, busy} {
		readUntilError(c)
	}
	l.CloseIdle(time.Hour)
	if l.Len() != 3 {
		t.Error("closed before its time")
	}
	l.CloseIdle(0)
	testkit.Eventually(t, "the idle connection closes", func() bool { return !l.isOpen(silent) })
	if !l.isOpen(partial) || !l.isOpen(busy) {
		t.Errorf("open: %v with a partial request, %v with one in flight", l.isOpen(partial), l.isOpen(busy))
	}
}

// pausingConn has read something, but returns it only when the test lets it go on. It does so once.
type pausingConn struct {
	net.Conn
	got, resume chan struct{}
}

func (p *pausingConn) Read(b []byte) (int, error) {
	n, err := p.Conn.Read(b)
	if n > 0 && p.got != nil {
		close(p.got)
		<-p.resume
		p.got = nil
	}
	return n, err
}

// A close is requested in the instant in which bytes of a request have been read. The connection stays open and the request goes
// on: bytes that were read get their answer. An eviction takes another connection.
func TestRequestCrossingACloseKeepsTheConnection(t *testing.T) {
	for name, requestClose := range map[string]func(*Listener){
		"drain": func(l *Listener) { l.CloseIdle(0) },
		"eviction": func(l *Listener) {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.evictionCandidate().evict()
		},
	} {
		t.Run(name, func(t *testing.T) {
			l := New(testkit.Listen(t), 9)
			l.HeaderTimeout = time.Minute
			c, client := acceptPair(t, l)
			c.setActivity(requestInFlight)
			c.setActivity(idle) // as after an answer
			c.SetReadDeadline(time.Now().Add(time.Minute))
			pausing := &pausingConn{Conn: c.Conn, got: make(chan struct{}), resume: make(chan struct{})}
			c.Conn = pausing
			n, more := 0, make([]byte, 3)
			done := make(chan error, 1)
			go func() {
				var err error
				if n, err = c.Read(make([]byte, 3)); err == nil { // and what comes after it can be read, too
					_, err = io.ReadFull(c, more)
				}
				done <- err
			}()
			io.WriteString(client, "GET")
			<-pausing.got
			requestClose(l)
			close(pausing.resume)
			io.WriteString(client, " /x")
			if err := <-done; err != nil || n != 3 || string(more) != " /x" {
				t.Errorf("%d bytes were read, then %q: %v", n, more, err)
			}
			if c.closePending || c.evicting || !l.isOpen(c) {
				t.Error("the connection closes under a request that was read")
			}
		})
	}
}

// A request arrives after a close has begun, and is never read. Its client sees the complete last answer and then the end, not a
// reset: so it knows that it may send the request again.
func TestRequestBehindACloseSeesTheEndNotAReset(t *testing.T) {
	l := New(testkit.Listen(t), 9)
	c, client := acceptPair(t, l)
	c.setActivity(requestInFlight)
	io.WriteString(c, "the answer")
	c.setActivity(idle)
	io.WriteString(client, "GET") // is there before the close, and unread
	testkit.Eventually(t, "the request arrives", func() bool { return hasUnread(t, c) })
	c.Close()
	io.WriteString(client, " /x") // and this comes after it
	client.SetReadDeadline(time.Now().Add(testTimeout))
	if got, err := io.ReadAll(client); string(got) != "the answer" || err != nil {
		t.Errorf("%q, %v", got, err)
	}
	if !l.isOpen(c) {
		t.Error("its slot was free during the lingering close")
	}
	client.Close()
	testkit.Eventually(t, "it ends with its client", func() bool { return l.Len() == 0 })
}

// A lingering close is bounded in time and bytes and ends early when its slot is needed. There is none where nothing was answered
// or the answer broke off.
func TestLingeringCloseIsBounded(t *testing.T) {
	l := New(testkit.Listen(t), 1)
	flooded, client := acceptPair(t, l)
	flooded.setActivity(requestInFlight)
	flooded.Close()
	if _, err := io.CopyN(client, zeros{}, 64*lingeringCloseMaxBytes); err == nil {
		t.Error("a flood was read to its end")
	}
	testkit.Eventually(t, "the flooded connection ends", func() bool { return l.Len() == 0 })
	nothing := func(*Conn) {}
	for what, steps := range map[string]struct{ before, after func(*Conn) }{
		"nothing was answered": {nothing, nothing},
		"the answer broke off": {func(c *Conn) { c.setActivity(requestInFlight); c.answerAborted = true }, nothing},
		"its slot is needed":   {func(c *Conn) { c.setActivity(requestInFlight) }, func(*Conn) { acceptPair(t, l) }},
		"its time has run out": {func(c *Conn) { c.setActivity(requestInFlight) }, nothing},
	} {
		l = New(testkit.Listen(t), 1)
		c, _ := acceptPair(t, l)
		steps.before(c)
		c.Close()
		steps.after(c)
		testkit.Eventually(t, "it ends when "+what, func() bool { return !l.isOpen(c) })
	}
}

// The limit for a body passes in the instant in which its last byte has been read, before the limit is taken back. The request is
// complete and is answered: the timeout belongs to a read that is over.
func TestBodyLimitPassingAtTheBodysEndDoesNotCancel(t *testing.T) {
	l := New(testkit.Listen(t), 1)
	l.HeaderTimeout = time.Minute
	serve(t, l, func(w http.ResponseWriter, r *http.Request) {
		control := http.NewResponseController(w)
		control.SetReadDeadline(time.Now().Add(30 * time.Millisecond))
		io.ReadAll(r.Body)                // net/http's background read begins here
		time.Sleep(60 * time.Millisecond) // as a process does that is short of processor time
		control.SetReadDeadline(time.Time{})
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		BeginRequest(ctx, "r")
		if OnDisconnect(ctx, cancel) || ctx.Err() != nil {
			t.Error("the client counts as disconnected")
		}
		io.WriteString(w, "answer")
	})
	c := dial(t, l)
	io.WriteString(c, "POST /a HTTP/1.1\r\nHost: o\r\nContent-Length: 4\r\n\r\nbody")
	wantAnswer(t, bufio.NewReader(c), "answer")
}
