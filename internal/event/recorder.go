package event

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync/atomic"
)

// Recorder counts events and writes them to the log. It may be used by any goroutine. A nil Recorder records nothing.
type Recorder struct {
	log         *slog.Logger
	counts      [kinds][reasons]atomic.Int64
	connections atomic.Uint64
}

// NewRecorder returns a recorder that writes to the log at level debug.
func NewRecorder(log *slog.Logger) *Recorder { return &Recorder{log: log} }

// NextConnectionID returns a number for a client's connection, unique in this process and above 0; 0 from a nil Recorder.
func (r *Recorder) NextConnectionID() uint64 {
	if r == nil {
		return 0
	}
	return r.connections.Add(1)
}

// Verbose reports whether events are logged. Where it is false, callers need not compute a Detail.
func (r *Recorder) Verbose() bool {
	return r != nil && r.log.Enabled(context.Background(), slog.LevelDebug)
}

// Record counts the event, and logs it if the level allows.
func (r *Recorder) Record(e Event) {
	if r == nil {
		return
	}
	r.counts[e.Kind][e.Reason].Add(1)
	if r.Verbose() {
		r.log.LogAttrs(context.Background(), slog.LevelDebug, e.Kind.String(), e.attributes()...)
	}
}

// maxAttributes is the most that attributes returns.
const maxAttributes = 6

// attributes returns the event's fields for the log. Their keys are part of the operators' interface.
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

// Count returns how many events of a kind with a reason were recorded.
func (r *Recorder) Count(kind Kind, reason Reason) int64 {
	if r == nil {
		return 0
	}
	return r.counts[kind][reason].Load()
}

// MarshalJSON returns the counts that are above 0, by kind and reason.
func (r *Recorder) MarshalJSON() ([]byte, error) {
	all := map[string]map[string]int64{}
	for kind := range r.counts {
		if byReason := r.countsOf(Kind(kind)); len(byReason) > 0 {
			all[Kind(kind).String()] = byReason
		}
	}
	return json.Marshal(all)
}

// countsOf returns the counts of a kind that are above 0, by the names of their reasons.
func (r *Recorder) countsOf(kind Kind) map[string]int64 {
	byReason := map[string]int64{}
	for reason := range r.counts[kind] {
		if count := r.counts[kind][reason].Load(); count > 0 {
			byReason[Reason(reason).String()] = count
		}
	}
	return byReason
}
