package connlimit

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"ryeweir/internal/framing"
	"ryeweir/internal/socket"
)

// watched is a server whose handler holds each request until its client has left or the test lets it go.
type watched struct {
	l     *Listener
	began chan context.Context
	goOn  chan struct{}
	left  chan bool // whether the client was gone from the beginning
}

func newWatched(t *testing.T) *watched {
	w := &watched{l: New(listen(t), 9), began: make(chan context.Context), goOn: make(chan struct{}), left: make(chan bool, 1)}
	w.l.HeaderTimeout = time.Minute
	srv := &http.Server{ConnState: ConnState, ConnContext: ConnContext, Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		ctx, gone := context.WithCancel(r.Context())
		defer gone()
		BeginRequest(ctx, "r")
		if OnDisconnect(ctx, gone) {
			w.left <- true
			return
		}
		w.began <- ctx
		select {
		case <-ctx.Done():
			w.left <- false
		case <-w.goOn:
			io.WriteString(rw, r.URL.Path)
		}
	})}
	done := make(chan error)
	go func() { done <- srv.Serve(w.l) }()
	t.Cleanup(func() { w.l.Abort(); srv.Close(); <-done })
	return w
}

func (w *watched) dial(t *testing.T) *net.TCPConn {
	t.Helper()
	return dial(t, w.l)
}

func dial(t *testing.T, l *Listener) *net.TCPConn {
	t.Helper()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(20 * time.Second))
	return c.(*net.TCPConn)
}

func ask(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: o\r\n\r\n" }

// A client that leaves while its request waits is noticed however it leaves, also behind what it sent on.
func TestClientThatLeaves(t *testing.T) {
	for how, leave := range map[string]func(*net.TCPConn){
		"closes":      func(c *net.TCPConn) { c.Close() },
		"half-closes": func(c *net.TCPConn) { c.CloseWrite() },
		"resets":      func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
	} {
		for behind, text := range map[string]string{"nothing": "", "an empty line": "\r\n", "a next request": ask("/b"), "more than a buffer": strings.Repeat(ask("/b"), 200)} {
			t.Run(how+" behind "+behind, func(t *testing.T) {
				t.Parallel()
				w := newWatched(t)
				c := w.dial(t)
				io.WriteString(c, ask("/a"))
				ctx := <-w.began
				io.WriteString(c, text)
				if ctx.Err() != nil {
					t.Error("it passes for one that has left before it has")
				}
				leave(c)
				select {
				case early := <-w.left:
					if early {
						t.Error("it had left from the beginning")
					}
				case <-time.After(20 * time.Second):
					t.Fatal("nobody noticed that it left")
				}
			})
		}
	}
}

// One that has left before its request is looked at is noticed then, below all that wraps its connection: nothing begins for it.
func TestClientThatHasLeft(t *testing.T) {
	l := New(framing.Listener{Listener: socket.Listener{Listener: listen(t)}}, 1)
	c, far := pair(t, l)
	far.Close()
	eventually(t, "its close has come", func() bool { return closed(c) })
	if !c.watch(func() {}) {
		t.Error("it was not noticed")
	}
}

// Who leaves behind a request that had come whole with the one before is noticed in that one, not in the one that is over.
func TestClientThatLeavesLater(t *testing.T) {
	w := newWatched(t)
	c := w.dial(t)
	io.WriteString(c, ask("/a")+ask("/b")) // in one buffer of the server's
	<-w.began
	io.WriteString(c, ask("/c"))
	w.goOn <- struct{}{}
	ctx := <-w.began
	c.Close()
	select {
	case <-ctx.Done():
		<-w.left
	case <-time.After(20 * time.Second):
		t.Fatal("nobody noticed that it left")
	}
}

// What came behind a request is read as the next one, whole and in order, and its client may leave behind that, too.
func TestRequestsBehindOneAnother(t *testing.T) {
	w := newWatched(t)
	c := w.dial(t)
	in := bufio.NewReader(c)
	io.WriteString(c, ask("/a"))
	<-w.began
	for _, piece := range []string{ask("/b")[:1], ask("/b")[1:5], ask("/b")[5:] + ask("/c")} {
		io.WriteString(c, piece)
	}
	for _, want := range []string{"/a", "/b", "/c"} {
		select {
		case w.goOn <- struct{}{}:
		case <-time.After(20 * time.Second):
			t.Fatal("the request does not begin")
		}
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatal(err)
		}
		if body, err := io.ReadAll(resp.Body); string(body) != want || err != nil {
			t.Errorf("%q in place of %q, %v", body, want, err)
		}
		if want == "/c" {
			break
		}
		select {
		case <-w.began:
		case <-time.After(20 * time.Second):
			t.Fatalf("nothing comes after %s", want)
		}
	}
}

// What is kept of a flood behind a request is bounded, and the request is answered all the same.
func TestFloodBehindARequest(t *testing.T) {
	w := newWatched(t)
	c := w.dial(t)
	io.WriteString(c, ask("/a"))
	<-w.began
	flooding := make(chan struct{})
	go func() { defer close(flooding); io.CopyN(c, zeroes{}, 64*mostAhead) }()
	eventually(t, "as much is kept as may be", func() bool {
		w.l.mu.Lock()
		defer w.l.mu.Unlock()
		for open := range w.l.open {
			select {
			case <-open.ahead.running:
				return len(open.ahead.held) == mostAhead
			default:
			}
		}
		return false
	})
	w.goOn <- struct{}{}
	if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || resp.StatusCode != http.StatusOK {
		t.Error(resp, err)
	}
	c.Close()
	<-flooding
}
