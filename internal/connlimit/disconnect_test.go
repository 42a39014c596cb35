package connlimit

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"ryeweir/internal/bodybuffer"
	"ryeweir/internal/event"
	"ryeweir/internal/framing"
	"ryeweir/internal/testkit"
)

// blockingServer is a server whose handler blocks each request until its client disconnects or the test releases it.
type blockingServer struct {
	l            *Listener
	started      chan context.Context
	release      chan struct{}
	disconnected chan bool // whether the client had disconnected before the detection began
}

func newBlockingServer(t *testing.T) *blockingServer {
	t.Helper()
	s := &blockingServer{l: New(testkit.Listen(t), 9), started: make(chan context.Context), release: make(chan struct{}), disconnected: make(chan bool, 1)}
	s.serve(t)
	return s
}

// serve runs the server until the test ends.
func (s *blockingServer) serve(t *testing.T) {
	t.Helper()
	s.l.HeaderTimeout, s.l.Events = time.Minute, event.NewRecorder(slog.New(slog.DiscardHandler))
	serve(t, s.l, func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		BeginRequest(ctx, "r")
		if OnDisconnect(ctx, cancel) {
			s.disconnected <- true
			return
		}
		s.started <- ctx
		select {
		case <-ctx.Done():
			s.disconnected <- false
		case <-s.release:
			io.WriteString(w, r.URL.Path)
		}
	})
}

// Failure: attempts began for clients that had left with more than a buffer unread behind their requests. A client disconnects while its request
// waits. The handler is notified however the client disconnects, and whatever and however much it sent after the request.
func TestDisconnectIsDetectedAfterAnyBytes(t *testing.T) {
	for how, disconnect := range map[string]func(*net.TCPConn){
		"closes":      func(c *net.TCPConn) { c.Close() },
		"half-closes": func(c *net.TCPConn) { c.CloseWrite() },
		"resets":      func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
	} {
		for after, text := range map[string]string{"nothing": "", "an empty line": "\r\n", "a next request": get("/b"), "more than a buffer": strings.Repeat(get("/b"), 200),
			"64 KiB of requests": strings.Repeat(get("/b"), 64<<10/len(get("/b"))), "a megabyte of noise": strings.Repeat("a: b\r\n", 1<<20/6)} {
			t.Run(how+" after "+after, func(t *testing.T) {
				t.Parallel()
				s := newBlockingServer(t)
				c := dial(t, s.l)
				io.WriteString(c, get("/a"))
				ctx := <-s.started
				c.SetWriteBuffer(len(text)) // so that all of it is with the kernel when the client leaves
				io.WriteString(c, text)
				if ctx.Err() != nil {
					t.Error("the handler was notified before the client disconnected")
				}
				disconnect(c)
				if receive(t, "the handler is notified", s.disconnected) {
					t.Error("OnDisconnect reported a disconnect before there was one")
				}
			})
		}
	}
}

// A client disconnects before OnDisconnect is called for its request. watchDisconnect detects this through all wrappers of the
// connection and reports it, so that no attempt is made for that client.
func TestEarlierDisconnectIsReportedAtOnce(t *testing.T) {
	l := New(framing.Listener{Listener: testkit.Listen(t)}, 1)
	c, client := acceptPair(t, l)
	client.Close()
	testkit.Eventually(t, "the client's close is visible", func() bool { return closedByPeer(c) })
	if !c.watchDisconnect(func() {}) {
		t.Error("watchDisconnect did not report that the client had disconnected")
	}
}

// A client sends two requests in one write and disconnects while the second waits. The handler of the second request is notified,
// not that of the first, which has been answered.
func TestDisconnectNotifiesTheRequestInFlight(t *testing.T) {
	s := newBlockingServer(t)
	c := dial(t, s.l)
	io.WriteString(c, get("/a")+get("/b")) // both are in one read buffer of the server
	<-s.started
	io.WriteString(c, get("/c"))
	s.release <- struct{}{}
	ctx := <-s.started
	c.Close()
	receive(t, "the second handler is notified", ctx.Done())
	<-s.disconnected
}

// Failure: an attempt began 0.25 s after its client had left, while a long body waited for a connection to an endpoint and nobody read it. The
// end of the connection must be noticed with the body unread, however the client ends it.
func TestHangupIsNoticedBehindAnUnreadBody(t *testing.T) {
	for how, disconnect := range map[string]func(*net.TCPConn){
		"closes": func(c *net.TCPConn) { c.Close() },
		"resets": func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
	} {
		t.Run(how, func(t *testing.T) {
			c, client := acceptPair(t, New(testkit.Listen(t), 1))
			hungUp := make(chan struct{})
			stop, disconnected := OnHangup(ConnContext(t.Context(), c), func() { close(hungUp) })
			defer stop()
			if disconnected {
				t.Fatal("the client has not disconnected")
			}
			io.WriteString(client, strings.Repeat("b", 30<<10))
			select {
			case <-hungUp:
				t.Fatal("notified of bytes")
			case <-time.After(50 * time.Millisecond):
			}
			disconnect(client.(*net.TCPConn))
			receive(t, "the client's end is noticed", hungUp)
			if _, disconnected := OnHangup(ConnContext(t.Context(), c), func() {}); !disconnected {
				t.Error("an earlier end is not reported at once")
			}
		})
	}
}

// The detection of a client's end must give the connection back to its reader with nothing lost.
func TestBodyIsReadAfterTheDetectionOfAHangupEnds(t *testing.T) {
	c, client := acceptPair(t, New(testkit.Listen(t), 1))
	stop, _ := OnHangup(ConnContext(t.Context(), c), func() { t.Error("notified though the client is there") })
	io.WriteString(client, "body")
	stop()
	stop()
	got := make([]byte, 4)
	if _, err := io.ReadFull(c, got); err != nil || string(got) != "body" {
		t.Errorf("read %q, %v", got, err)
	}
}

// Failure: a request that had waited for the agent was forwarded 0.35 s after its client had left, as the end was still behind a megabyte of unread
// bytes. It must be noticed before anything is done for the request.
func TestEarlierEndBehindUnreadBytesIsNoticedAtOnce(t *testing.T) {
	result := make(chan bool, 1)
	l := New(testkit.Listen(t), 1)
	l.HeaderTimeout = time.Minute
	resume := make(chan struct{})
	serve(t, l, func(_ http.ResponseWriter, r *http.Request) {
		<-resume
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		BeginRequest(ctx, "r")
		result <- OnDisconnect(ctx, cancel) || SettleInput(ctx, testTimeout)
	})
	c := dial(t, l)
	c.SetWriteBuffer(1 << 20)
	io.WriteString(c, get("/a")+strings.Repeat("z", 1<<20))
	c.Close()
	close(resume)
	if !receive(t, "the handler knows", result) {
		t.Error("the client's end was not noticed")
	}
}

// Failure: a request was ended without an answer because what its client sent behind it was refused as a head that costs too much. The request in
// flight must be answered, and its client's end still be noticed.
func TestRefusedHeadBehindARequestDoesNotEndIt(t *testing.T) {
	for _, leaves := range []bool{false, true} {
		t.Run(fmt.Sprint("the client leaves: ", leaves), func(t *testing.T) {
			s := &blockingServer{started: make(chan context.Context), release: make(chan struct{}), disconnected: make(chan bool, 1)}
			s.l = New(framing.Listener{Listener: testkit.Listen(t), Budget: bodybuffer.NewBudget(0)}, 9)
			s.serve(t)
			c := dial(t, s.l)
			io.WriteString(c, get("/a")+strings.Repeat("z", 3<<10))
			ctx := <-s.started
			if leaves {
				c.Close()
				receive(t, "the client's end is noticed", ctx.Done())
				<-s.disconnected
				return
			}
			select {
			case <-ctx.Done():
				t.Fatal("the request was ended")
			case <-time.After(50 * time.Millisecond):
			}
			s.release <- struct{}{}
			wantAnswer(t, bufio.NewReader(c), "/a")
		})
	}
}
