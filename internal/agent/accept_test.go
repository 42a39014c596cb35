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

// failingListener is a listener whose Accept returns the pending errors first, while connections wait to be accepted.
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

// failNext makes the next calls of Accept return these errors, one each.
func (f *failingListener) failNext(errnos ...syscall.Errno) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pendingErrors = errnos
}

// accept(2) fails three times with one of the errors that its manual page lists, among them the network errors that are to be treated
// like EAGAIN. The agent must not stop: the request in flight is answered, and the next connection is accepted.
func TestAgentContinuesAfterFailedAccepts(t *testing.T) {
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
				t.Errorf("request in flight: status %d", got)
			}
			if got := requestStatus(a.newRequest(t, http.MethodGet, "/form-check", "")); got != http.StatusOK {
				t.Errorf("request after the errors: status %d", got)
			}
		})
	}
}

// requestStatus sends a request and returns the status of the answer, or 0 if there is none within 5 s.
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

// startAgentOn runs an agent that accepts its clients on l. It accepts no new connections during a drain.
func startAgentOn(t *testing.T, d *testkit.Discovery, l net.Listener) *testAgent {
	t.Helper()
	cfg, err := platform.Parse(testkit.ConfigText(d.Addr().String(), "null"), testkit.NoEnv)
	if err != nil {
		t.Fatal(err)
	}
	cfg.AcceptWindow = 0
	return launchAgent(t, cfg, Environment{Clients: l}, slog.DiscardHandler)
}

// stalledListener is a listener whose Accept blocks while it is stalled, as in a paused process. Connections then wait in the kernel's
// accept queue.
type stalledListener struct {
	net.Listener
	resume atomic.Pointer[chan struct{}] // Accept waits until it is closed; nil while not stalled
}

func (s *stalledListener) Accept() (net.Conn, error) {
	if resumed := s.resume.Load(); resumed != nil {
		<-*resumed
	}
	return s.Listener.Accept()
}

// A connection is in the kernel's accept queue when the drain would close the listener. Closing the listener would reset the connection
// and lose a request that was already sent. The connection must be accepted first and its request answered.
func TestConnectionInAcceptQueueIsServedDuringDrain(t *testing.T) {
	b := testkit.NewBackend(t, testkit.RespondWith(testkit.OKResponse))
	d := testkit.NewDiscovery(t, 1, testkit.EndpointJSON("b", b.Addr().String(), "Ready", 0))
	l := &stalledListener{Listener: testkit.Listen(t)}
	a := startAgentOn(t, d, l)
	resumed := make(chan struct{})
	l.resume.Store(&resumed)
	a.status(t, "/ready") // returned by the call of Accept that was already in progress
	answer := make(chan int, 1)
	go func() { answer <- requestStatus(a.newRequest(t, http.MethodGet, "/form-check", "")) }()
	time.Sleep(50 * time.Millisecond) // the connection is in the accept queue
	a.stop()                          // AcceptWindow is 0
	time.AfterFunc(acceptDelay, func() { close(resumed) })
	if got := <-answer; got != http.StatusOK {
		t.Errorf("status %d", got)
	}
}

// acceptDelay is the time from the start of the drain until the listener resumes. It is well within the time for which a drain accepts
// queued connections.
const acceptDelay = 8 * time.Millisecond
