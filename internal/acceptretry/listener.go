// Package acceptretry keeps a listener accepting through failures. accept(2) fails for lack of descriptors or memory, for a client
// that has gone again, and with errors of the network that are pending on the new connection: none of them says that the
// listener is of no use, while http.Server ends at most of them.
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

// Bounds of the pause after an accept that failed. It doubles with each further one in a row.
const (
	InitialBackoff = 5 * time.Millisecond
	MaxBackoff     = 250 * time.Millisecond
)

// Listener is a listener whose Accept returns no error but that it is closed.
type Listener struct {
	net.Listener
	log    *slog.Logger
	events *event.Recorder
	closed chan struct{}
	close  sync.Once

	mu     sync.Mutex
	failed map[string]int64 // accepts that failed, by their error's name
}

// New returns a listener on l. The first failure of a run is logged; all are counted. events may be nil.
func New(l net.Listener, log *slog.Logger, events *event.Recorder) *Listener {
	return &Listener{Listener: l, log: log, events: events, closed: make(chan struct{}), failed: map[string]int64{}}
}

// Accept waits for the next connection. It fails only once the listener is closed.
func (l *Listener) Accept() (net.Conn, error) {
	pause := InitialBackoff
	for {
		c, err := l.Listener.Accept()
		if err == nil {
			return c, nil
		}
		if errors.Is(err, net.ErrClosed) || l.isClosed() {
			return nil, net.ErrClosed
		}
		l.note(err, pause == InitialBackoff)
		select {
		case <-time.After(pause):
		case <-l.closed:
			return nil, net.ErrClosed
		}
		pause = min(2*pause, MaxBackoff)
	}
}

// note counts a failure, and logs the first of a run.
func (l *Listener) note(err error, first bool) {
	name := errorName(err)
	l.mu.Lock()
	l.failed[name]++
	l.mu.Unlock()
	l.events.Record(event.Event{Kind: event.ListenerFailed, Detail: name})
	if first {
		l.log.Warn("accepting a connection failed, trying again; further failures in a row are not logged", "error", err)
	}
}

// errorName is the system's name of an error, of which there are few; all else has one name.
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
	l.close.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// MarshalJSON gives the counts of failures by their errors.
func (l *Listener) MarshalJSON() ([]byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return json.Marshal(l.failed)
}
