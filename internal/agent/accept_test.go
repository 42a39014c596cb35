package agent

import (
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"ryeweir/internal/config/platform"
	"ryeweir/internal/testkit"
)

// failingListener is a listener whose Accept fails as configured, while connections wait to be accepted.
type failingListener struct {
	net.Listener
	mu            sync.Mutex
	pendingErrors []syscall.Errno
}

func (f *failingListener) Accept() (net.Conn, error) {
	f.mu.Lock()
	if len(f.pendingErrors) > 0 {
		errno := f.pendingErrors[0]
		f.pendingErrors = f.pendingErrors[1:]
		f.mu.Unlock()
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", errno)}
	}
	f.mu.Unlock()
	return f.Listener.Accept()
}

// failNext makes the next calls of Accept fail with these errors.
func (f *failingListener) failNext(errnos ...syscall.Errno) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pendingErrors = errnos
}

// accept(2) fails for a moment, with any of the errors that the manual lists, among them those of the network that are to be
// treated like EAGAIN. A request in flight gets its answer, and the next connection is accepted.
func TestFailedAcceptEndsNothing(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO, syscall.ENETDOWN, syscall.EHOSTUNREACH, syscall.ENETUNREACH,
		syscall.EPERM, syscall.EMFILE, syscall.ENFILE, syscall.EINTR, syscall.ETIMEDOUT, syscall.ECONNABORTED, syscall.EOPNOTSUPP, syscall.ENONET} {
		t.Run(errno.Error(), func(t *testing.T) {
			t.Parallel()
			b := testkit.NewBackend(t, func(c net.Conn, r *http.Request, n int) bool {
				time.Sleep(300 * time.Millisecond)
				return testkit.RespondWith(testkit.OKResponse)(c, r, n)
			})
			d := testkit.NewDiscovery(t, 1, testkit.EndpointJSON("b", b.Addr().String(), "Ready", 0))
			l := &failingListener{Listener: testkit.Listen(t)}
			a := startAgentOn(t, d, l)
			answers := make(chan int, 1)
			go func() { answers <- requestStatus(a.newRequest(t, http.MethodGet, "/form-check", "")) }()
			testkit.Eventually(t, "the request is in flight", func() bool { return b.Requests() > 0 })
			l.failNext(errno, errno, errno)
			a.status(t, "/ready") // the pending accept returns this connection; the next ones fail
			if got := <-answers; got != http.StatusOK {
				t.Errorf("in flight: %d", got)
			}
			if got := requestStatus(a.newRequest(t, http.MethodGet, "/form-check", "")); got != http.StatusOK {
				t.Errorf("after it: %d", got)
			}
		})
	}
}

// requestStatus sends a request and returns the status of its answer; 0 without one.
func requestStatus(r *http.Request) int {
	client := http.Client{Transport: &http.Transport{}, Timeout: 5 * time.Second}
	defer client.CloseIdleConnections()
	resp, err := client.Do(r)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// startAgentOn runs an agent on a listener for its clients.
func startAgentOn(t *testing.T, d *testkit.Discovery, l net.Listener) *testAgent {
	t.Helper()
	cfg, err := platform.Parse(testkit.ConfigText(d.Addr().String(), "null"), testkit.NoEnv)
	if err != nil {
		t.Fatal(err)
	}
	cfg.AcceptWindow = 0
	return launchAgent(t, cfg, Environment{Clients: l}, slog.DiscardHandler)
}

// stalledListener is a listener that accepts nothing while it is stalled, as in a process that is paused: connections wait in the
// system's queue.
type stalledListener struct {
	net.Listener
	resume atomic.Pointer[chan struct{}]
}

func (s *stalledListener) Accept() (net.Conn, error) {
	if goOn := s.resume.Load(); goOn != nil {
		<-*goOn
	}
	return s.Listener.Accept()
}

// A connection waits in the accept queue when the time for new ones ends. It is accepted and its request answered: closing the
// listener would reset it, and the client would have lost a request that was sent.
func TestConnectionInAcceptQueueIsServedDuringDrain(t *testing.T) {
	b := testkit.NewBackend(t, testkit.RespondWith(testkit.OKResponse))
	d := testkit.NewDiscovery(t, 1, testkit.EndpointJSON("b", b.Addr().String(), "Ready", 0))
	l := &stalledListener{Listener: testkit.Listen(t)}
	a := startAgentOn(t, d, l)
	goOn := make(chan struct{})
	l.resume.Store(&goOn)
	a.status(t, "/ready") // the accept that was under way
	answer := make(chan int, 1)
	go func() { answer <- requestStatus(a.newRequest(t, http.MethodGet, "/form-check", "")) }()
	time.Sleep(50 * time.Millisecond) // it waits in the queue
	a.stop()                          // with no time for new connections
	time.AfterFunc(acceptDelay, func() { close(goOn) })
	if got := <-answer; got != http.StatusOK {
		t.Errorf("status %d", got)
	}
}

// acceptDelay is how late the listener resumes: after the signal, and well within what a drain allows.
const acceptDelay = 8 * time.Millisecond
