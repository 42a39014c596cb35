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

// failing is a listener whose accepts fail when told to, with connections waiting behind that.
type failing struct {
	net.Listener
	mu    sync.Mutex
	fails []syscall.Errno
}

func (f *failing) Accept() (net.Conn, error) {
	f.mu.Lock()
	if len(f.fails) > 0 {
		errno := f.fails[0]
		f.fails = f.fails[1:]
		f.mu.Unlock()
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", errno)}
	}
	f.mu.Unlock()
	return f.Listener.Accept()
}

func (f *failing) next(errnos ...syscall.Errno) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fails = errnos
}

// An accept that fails ends nothing: the request that is in flight gets its answer, and the next connection is taken. accept(2)
// lists these errors, among them those of the network that are to be treated like EAGAIN.
func TestAcceptThatFails(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO, syscall.ENETDOWN, syscall.EHOSTUNREACH, syscall.ENETUNREACH,
		syscall.EPERM, syscall.EMFILE, syscall.ENFILE, syscall.EINTR, syscall.ETIMEDOUT, syscall.ECONNABORTED, syscall.EOPNOTSUPP, syscall.ENONET} {
		t.Run(errno.Error(), func(t *testing.T) {
			t.Parallel()
			b := testkit.NewBackend(t, func(c net.Conn, r *http.Request, n int) bool {
				time.Sleep(300 * time.Millisecond)
				return testkit.Says(testkit.ServedText)(c, r, n)
			})
			d := testkit.NewDiscovery(t, 1, testkit.EntryText("b", b.Addr().String(), "Ready", 0))
			l := &failing{Listener: testkit.Listen(t)}
			a := runOn(t, d, l)
			answers := make(chan int, 1)
			go func() { answers <- status(a.newRequest(t, http.MethodGet, "/form-check", "")) }()
			testkit.Eventually(t, "the request is in flight", func() bool { return b.Requests() > 0 })
			l.next(errno, errno, errno)
			a.status(t, "/ready") // the accept that waits goes on with this connection, the ones behind it fail
			if got := <-answers; got != http.StatusOK {
				t.Errorf("in flight: %d", got)
			}
			if got := status(a.newRequest(t, http.MethodGet, "/form-check", "")); got != http.StatusOK {
				t.Errorf("after it: %d", got)
			}
		})
	}
}

// status is that of a request's answer; 0 without one.
func status(r *http.Request) int {
	client := http.Client{Transport: &http.Transport{}, Timeout: 5 * time.Second}
	defer client.CloseIdleConnections()
	resp, err := client.Do(r)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// runOn runs an agent on a listener for its clients.
func runOn(t *testing.T, d *testkit.Discovery, l net.Listener) *running {
	t.Helper()
	cfg, err := platform.Parse(testkit.ConfigText(d.Addr().String(), "null"), testkit.NoEnv)
	if err != nil {
		t.Fatal(err)
	}
	cfg.AcceptFor = 0
	return launch(t, cfg, Environment{Clients: l}, slog.DiscardHandler)
}

// stalled is a listener that accepts nothing while it stalls, as in a process that was paused: what comes waits in the system's queue.
type stalled struct {
	net.Listener
	goOn atomic.Pointer[chan struct{}]
}

func (s *stalled) Accept() (net.Conn, error) {
	if goOn := s.goOn.Load(); goOn != nil {
		<-*goOn
	}
	return s.Listener.Accept()
}

// A connection that waits to be accepted as the time for new ones is over is accepted still, and its request answered: the close of
// the listener would reset it.
func TestWhatWaitsToBeAcceptedIsServed(t *testing.T) {
	b := testkit.NewBackend(t, testkit.Says(testkit.ServedText))
	d := testkit.NewDiscovery(t, 1, testkit.EntryText("b", b.Addr().String(), "Ready", 0))
	l := &stalled{Listener: testkit.Listen(t)}
	a := runOn(t, d, l)
	goOn := make(chan struct{})
	l.goOn.Store(&goOn)
	a.status(t, "/ready") // the accept that was under way
	answer := make(chan int, 1)
	go func() { answer <- status(a.newRequest(t, http.MethodGet, "/form-check", "")) }()
	time.Sleep(50 * time.Millisecond) // it waits in the queue
	a.stop()                          // with no time for new connections
	time.AfterFunc(acceptLate, func() { close(goOn) })
	if got := <-answer; got != http.StatusOK {
		t.Errorf("status %d", got)
	}
}

// acceptLate is how late the listener goes on: later than the signal, and well within what a drain leaves it.
const acceptLate = 8 * time.Millisecond
