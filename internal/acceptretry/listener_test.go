package acceptretry

import (
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

// scriptedListener returns the errors and connections in next one after another. Then it blocks until it is closed.
type scriptedListener struct {
	net.Listener
	next   []error // nil stands for a connection
	closed chan struct{}
	times  []time.Time // of the calls to Accept
}

func (s *scriptedListener) Accept() (net.Conn, error) {
	s.times = append(s.times, time.Now())
	if len(s.next) == 0 {
		<-s.closed
		return nil, net.ErrClosed
	}
	err := s.next[0]
	s.next = s.next[1:]
	if err != nil {
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", err)}
	}
	c, _ := net.Pipe()
	return c, nil
}

func (s *scriptedListener) Close() error {
	close(s.closed)
	return nil
}

// Accepts fail for a while, for lack of descriptors or memory. They are retried with a bounded backoff that is reset after a
// success, and are counted by error. Of consecutive failures only the first is logged.
func TestFailedAcceptsAreRetriedWithBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scriptedListener{closed: make(chan struct{}), next: []error{nil, syscall.ENOBUFS, syscall.ENOBUFS, nil, syscall.EPERM, nil}}
		for range 12 {
			s.next = append(s.next, syscall.EMFILE)
		}
		s.next = append(s.next, nil)
		var log strings.Builder
		l := New(s, slog.New(slog.NewTextHandler(&log, nil)), nil)
		for range 4 {
			if _, err := l.Accept(); err != nil {
				t.Fatal(err)
			}
		}
		for i, want := range []time.Duration{0, InitialBackoff, 2 * InitialBackoff, 0, InitialBackoff, 0, InitialBackoff} {
			if i+1 < len(s.times) && i != 2 && s.times[i+1].Sub(s.times[i]) != want {
				t.Errorf("backoff %d is %v, want %v", i, s.times[i+1].Sub(s.times[i]), want)
			}
		}
		last := len(s.times) - 1
		if backoff := s.times[last].Sub(s.times[last-1]); backoff != MaxBackoff {
			t.Errorf("the last backoff is %v, want MaxBackoff", backoff)
		}
		if n := strings.Count(log.String(), "retrying"); n != 3 {
			t.Errorf("%d failures were logged, want 3", n)
		}
		counts, err := json.Marshal(l)
		if want := `{"no buffer space available":2,"operation not permitted":1,"too many open files":12}`; string(counts) != want || err != nil {
			t.Errorf("counts %s, error %v", counts, err)
		}
	})
}

// Close ends the backoff after a failure at once.
func TestCloseEndsTheBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scriptedListener{closed: make(chan struct{})}
		for range 100 {
			s.next = append(s.next, io.ErrUnexpectedEOF)
		}
		l := New(s, slog.New(slog.DiscardHandler), nil)
		ended := make(chan error, 1)
		go func() { _, err := l.Accept(); ended <- err }()
		time.Sleep(2*time.Second + time.Millisecond)
		started := time.Now()
		l.Close()
		if err := <-ended; !errors.Is(err, net.ErrClosed) || time.Since(started) > 0 {
			t.Errorf("Accept returned %v, %v after Close", err, time.Since(started))
		}
	})
}
