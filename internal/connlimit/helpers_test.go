package connlimit

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"
)

// testTimeout is how long a test waits for an expected event.
const testTimeout = 20 * time.Second

// dial connects to the listener. The connection is closed when the test ends.
func dial(t *testing.T, l *Listener) *net.TCPConn {
	t.Helper()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(testTimeout))
	return c.(*net.TCPConn)
}

// acceptPair connects to the listener and returns both ends of the connection.
func acceptPair(t *testing.T, l *Listener) (*Conn, net.Conn) {
	t.Helper()
	client, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close() })
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c.(*Conn), client
}

// serve runs an http.Server with the given handler on the listener until the test ends.
func serve(t *testing.T, l *Listener, handler http.HandlerFunc) {
	t.Helper()
	runServer(t, l, &http.Server{Handler: handler})
}

// runServer runs srv on the listener until the test ends.
func runServer(t *testing.T, l *Listener, srv *http.Server) {
	t.Helper()
	srv.ConnState, srv.ConnContext = ConnState, ConnContext
	done := make(chan error, 1)
	go func() { done <- srv.Serve(l) }()
	t.Cleanup(func() { l.Abort(); srv.Close(); <-done })
}

// readUntilError reads a connection as the server does: until a read fails. Then it closes the connection.
func readUntilError(c *Conn) {
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

// get returns a GET request for the path.
func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: o\r\n\r\n" }

// wantAnswer reads a response and checks its body.
func wantAnswer(t *testing.T, in *bufio.Reader, want string) {
	t.Helper()
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatal(err)
	}
	if body, err := io.ReadAll(resp.Body); string(body) != want || err != nil {
		t.Errorf("body %q, error %v; want %q", body, err, want)
	}
}

// isOpen reports whether a connection holds a slot.
func (l *Listener) isOpen(c *Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, open := l.conns[c]
	return open
}

// anyConn reports whether a condition holds for any open connection. It calls condition with the lock held.
func (l *Listener) anyConn(condition func(*Conn) bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if condition(c) {
			return true
		}
	}
	return false
}

// hasUnread reports whether the connection has received bytes that have not been read.
func hasUnread(t *testing.T, c *Conn) bool {
	t.Helper()
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

// receive waits for a value from a channel. It fails the test after testTimeout.
func receive[T any](t *testing.T, what string, from <-chan T) T {
	t.Helper()
	var value T
	select {
	case value = <-from:
	case <-time.After(testTimeout):
		t.Fatal("timed out waiting until " + what)
	}
	return value
}

// zeros is an endless stream of zero bytes.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }
