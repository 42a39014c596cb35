// Package acceptretry keeps a listener accepting through errors that pass.
//
// accept(2) fails for lack of descriptors or memory, for a client that has disconnected already, and with network errors that are
// pending on the new connection. None of them says that the listener is of no use, but http.Server ends at most of them, and the
// agent would serve nobody from then on. A Listener retries with backoff instead, until it is closed.
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

// Bounds of the backoff after an accept that failed. It doubles with each consecutive failure.
const (
	InitialBackoff = 5 * time.Millisecond
	MaxBackoff     = 250 * time.Millisecond
)

// Listener is a listener whose Accept returns no error but net.ErrClosed.
type Listener struct {
	net.Listener
	log       *slog.Logger
	events    *event.Recorder
	closed    chan struct{}
	closeOnce sync.Once

	mu       sync.Mutex
	failures map[string]int64 // accepts that failed, by the name of the error
}

// New returns a listener on inner. The first of consecutive failures is logged; all are counted. events may be nil.
func New(inner net.Listener, log *slog.Logger, events *event.Recorder) *Listener {
	return &Listener{Listener: inner, log: log, events: events, closed: make(chan struct{}), failures: map[string]int64{}}
}

// Accept waits for the next connection. It fails only once the listener is closed, with net.ErrClosed.
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

// recordFailure counts a failure, and logs the first of consecutive ones.
func (l *Listener) recordFailure(err error, first bool) {
	name := errorName(err)
	l.mu.Lock()
	l.failures[name]++
	l.mu.Unlock()
	l.events.Record(event.Event{Kind: event.ListenerFailed, Detail: name})
	if first {
		l.log.Warn("accepting a connection failed, retrying; consecutive failures are not logged", "error", err)
	}
}

// errorName returns the system's text for an error, of which there are few, so that the counts stay bounded; "other" for all else.
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

// Close closes the listener. It may be called more than once.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// MarshalJSON returns the counts of failures by the name of their error.
func (l *Listener) MarshalJSON() ([]byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return json.Marshal(l.failures)
}
