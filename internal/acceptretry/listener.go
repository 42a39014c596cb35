// Package acceptretry keeps a listener accepting after temporary errors.
//
// accept(2) fails for lack of descriptors or memory, for a client that has already disconnected, and with network errors that are
// pending on the new connection. None of these errors makes the listener unusable, but http.Server stops serving on most of them,
// and the agent would serve no clients from then on. A Listener instead retries with backoff until it is closed.
package acceptretry

import (
	"encoding/json"
	"errors"
	"log/slog"
	"net"
	"sync"
	"syscall"
	"time"

	"ryeweir/internal/event"
)

// Limits of the backoff after a failed accept. The backoff doubles with each consecutive failure.
const (
	InitialBackoff = 5 * time.Millisecond
	MaxBackoff     = 250 * time.Millisecond
)

// Listener is a listener whose Accept returns no error except net.ErrClosed.
type Listener struct {
	net.Listener
	log       *slog.Logger
	events    *event.Recorder
	closed    chan struct{}
	closeOnce sync.Once

	mu       sync.Mutex
	failures map[string]int64 // failed accepts, by the name of the error
}

// New returns a listener that accepts from inner. All failures are counted, but of consecutive failures only the first is logged.
// events may be nil.
func New(inner net.Listener, log *slog.Logger, events *event.Recorder) *Listener {
	return &Listener{Listener: inner, log: log, events: events, closed: make(chan struct{}), failures: map[string]int64{}}
}

// Accept returns the next connection. Its only error is net.ErrClosed, after the listener has been closed.
func (l *Listener) Accept() (net.Conn, error) {
	backoff := InitialBackoff
	for {
		c, err := l.Listener.Accept()
		if err == nil {
			return c, nil
		}
		if errors.Is(err, net.ErrClosed) || l.isClosed() {
			return nil, net.ErrClosed
		}
		l.recordFailure(err, backoff == InitialBackoff)
		select {
		case <-time.After(backoff):
		case <-l.closed:
			return nil, net.ErrClosed
		}
		backoff = min(2*backoff, MaxBackoff)
	}
}

// recordFailure counts a failure, and logs it if it is the first of consecutive ones.
func (l *Listener) recordFailure(err error, first bool) {
	name := errorName(err)
	l.mu.Lock()
	l.failures[name]++
	l.mu.Unlock()
	l.events.Record(event.Event{Kind: event.ListenerFailed, Detail: name})
	if first {
		l.log.Warn("accept failed, retrying with backoff; further consecutive failures are not logged", "error", err)
	}
}

// errorName returns the name under which an error is counted: the system's text for a system call error, and "other" for all
// others. There are few such texts, so the number of counters is bounded.
func errorName(err error) string {
	if errno, ok := errors.AsType[syscall.Errno](err); ok {
		return errno.Error()
	}
	return "other"
}

func (l *Listener) isClosed() bool {
	select {
	case <-l.closed:
		return true
	default:
		return false
	}
}

// Close closes the listener and ends a backoff at once. It may be called more than once.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// MarshalJSON encodes the number of failures by error name.
func (l *Listener) MarshalJSON() ([]byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return json.Marshal(l.failures)
}
