package event

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync/atomic"
)

// Recorder counts events and logs them. It may be used from any goroutine. A nil Recorder records nothing.
type Recorder struct {
	log         *slog.Logger
	counts      [numKinds][numReasons]atomic.Int64
	connections atomic.Uint64
}

// NewRecorder returns a recorder that logs events at level debug.
func NewRecorder(log *slog.Logger) *Recorder { return &Recorder{log: log} }

// NextConnectionID returns a number for a client's connection. It is positive and unique in this process. A nil Recorder returns 0.
func (r *Recorder) NextConnectionID() uint64 {
	if r == nil {
		return 0
	}
	return r.connections.Add(1)
}

// Verbose reports whether events are logged. If not, callers need not compute Event.Detail, which appears only in the log.
func (r *Recorder) Verbose() bool {
	return r != nil && r.log.Enabled(context.Background(), slog.LevelDebug)
}

// Record counts the event, and logs it if log level debug is enabled.
func (r *Recorder) Record(e Event) {
	if r == nil {
		return
	}
	r.counts[e.Kind][e.Reason].Add(1)
	if r.Verbose() {
		r.log.LogAttrs(context.Background(), slog.LevelDebug, e.Kind.String(), e.attributes()...)
	}
}

// maxAttributes is the largest number of attributes of an event.
const maxAttributes = 6

// attributes returns the event's log attributes. Operators search for their keys, so the keys must not change.
func (e Event) attributes() []slog.Attr {
	attributes := make([]slog.Attr, 0, maxAttributes)
	if e.Reason != None {
		attributes = append(attributes, slog.String("reason", e.Reason.String()))
	}
	if e.Request != "" {
		attributes = append(attributes, slog.String("request", e.Request))
	}
	if e.Connection != 0 {
		attributes = append(attributes, slog.Uint64("connection", e.Connection))
	}
	if e.Endpoint != "" {
		attributes = append(attributes, slog.String("server", e.Endpoint), slog.Int("attempt", e.Attempt))
	}
	if e.Detail != "" {
		attributes = append(attributes, slog.String("detail", e.Detail))
	}
	return attributes
}

// Count returns the number of recorded events of the kind with the reason.
func (r *Recorder) Count(kind Kind, reason Reason) int64 {
	if r == nil {
		return 0
	}
	return r.counts[kind][reason].Load()
}

// MarshalJSON returns the nonzero counts, by the names of kind and reason.
func (r *Recorder) MarshalJSON() ([]byte, error) {
	all := map[string]map[string]int64{}
	for kind := range r.counts {
		if byReason := r.countsByReason(Kind(kind)); len(byReason) > 0 {
			all[Kind(kind).String()] = byReason
		}
	}
	return json.Marshal(all)
}

// countsByReason returns the nonzero counts of a kind, by the names of the reasons.
func (r *Recorder) countsByReason(kind Kind) map[string]int64 {
	byReason := map[string]int64{}
	for reason := range r.counts[kind] {
		if count := r.counts[kind][reason].Load(); count > 0 {
			byReason[Reason(reason).String()] = count
		}
	}
	return byReason
}
