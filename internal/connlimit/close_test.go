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

// A drain closes idle connections. Connections on which a request is being read or is in flight stay open.
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
		t.Error("a connection was closed before it had been idle for minIdle")
	}
	l.CloseIdle(0)
	testkit.Eventually(t, "the idle connection is closed", func() bool { return !l.isOpen(silent) })
	if !l.isOpen(partial) || !l.isOpen(busy) {
		t.Errorf("connection open: %v with a partial request, %v with a request in flight", l.isOpen(partial), l.isOpen(busy))
	}
}

// pausingConn pauses its first Read that returns bytes, after the bytes have been read, until the test closes resume.
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

// A close is requested just after bytes of a request have been read. The connection stays open and the request continues, because
// a request that was read must be answered. An eviction takes another connection instead.
func TestRequestReadDuringACloseKeepsTheConnection(t *testing.T) {
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
				if n, err = c.Read(make([]byte, 3)); err == nil { // the bytes that follow can be read, too
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
				t.Errorf("read %d bytes, then %q, error %v", n, more, err)
			}
			if c.closePending || c.evicting || !l.isOpen(c) {
				t.Error("the connection is being closed although a request was read")
			}
		})
	}
}

// A request arrives after a close has begun, and is never read. Its client gets the previous answer completely and then the end
// of the stream instead of a reset, so it knows that it can safely send the request again.
func TestRequestAfterACloseGetsEOFInsteadOfReset(t *testing.T) {
	l := New(testkit.Listen(t), 9)
	c, client := acceptPair(t, l)
	c.setActivity(requestInFlight)
	io.WriteString(c, "the answer")
	c.setActivity(idle)
	io.WriteString(client, "GET") // arrives before the close, and stays unread
	testkit.Eventually(t, "the request arrives", func() bool { return hasUnread(t, c) })
	c.Close()
	io.WriteString(client, " /x") // arrives after the close
	client.SetReadDeadline(time.Now().Add(testTimeout))
	if got, err := io.ReadAll(client); string(got) != "the answer" || err != nil {
		t.Errorf("read %q, error %v", got, err)
	}
	if !l.isOpen(c) {
		t.Error("the slot was freed during the lingering close")
	}
	client.Close()
	testkit.Eventually(t, "the lingering close ends when the client closes", func() bool { return l.Len() == 0 })
}

// A lingering close is bounded in time and bytes, and ends early if its slot is needed. It is skipped if no request was answered
// or the answer was cut short.
func TestLingeringCloseIsBounded(t *testing.T) {
	l := New(testkit.Listen(t), 1)
	flooded, client := acceptPair(t, l)
	flooded.setActivity(requestInFlight)
	flooded.Close()
	if _, err := io.CopyN(client, zeros{}, 64*lingeringCloseMaxBytes); err == nil {
		t.Error("the lingering close read more than its limit in bytes")
	}
	testkit.Eventually(t, "the flooded connection is closed", func() bool { return l.Len() == 0 })
	nothing := func(*Conn) {}
	for what, steps := range map[string]struct{ before, after func(*Conn) }{
		"no request was answered":   {nothing, nothing},
		"the answer was cut short":  {func(c *Conn) { c.setActivity(requestInFlight); c.answerAborted = true }, nothing},
		"its slot is needed":        {func(c *Conn) { c.setActivity(requestInFlight) }, func(*Conn) { acceptPair(t, l) }},
		"its time limit has passed": {func(c *Conn) { c.setActivity(requestInFlight) }, nothing},
	} {
		l = New(testkit.Listen(t), 1)
		c, _ := acceptPair(t, l)
		steps.before(c)
		c.Close()
		steps.after(c)
		testkit.Eventually(t, "the connection is closed when "+what, func() bool { return !l.isOpen(c) })
	}
}

// The read deadline for a body passes just after its last byte has been read, before the handler clears the deadline. The request
// is complete and must be answered, because the timeout belongs to a read that has ended.
func TestBodyDeadlineAtEndOfBodyDoesNotCancel(t *testing.T) {
	l := New(testkit.Listen(t), 1)
	l.HeaderTimeout = time.Minute
	serve(t, l, func(w http.ResponseWriter, r *http.Request) {
		control := http.NewResponseController(w)
		control.SetReadDeadline(time.Now().Add(30 * time.Millisecond))
		io.ReadAll(r.Body)                // net/http's background read begins here
		time.Sleep(60 * time.Millisecond) // as in a process that is short of CPU time
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
