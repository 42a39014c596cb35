// Package metrics holds the figures that operators read. They are written where the events happen and read without
// waiting for anybody.
package metrics

import (
	"encoding/json"
	"sync/atomic"
)

// Result is how a request ended for its client.
type Result int

// The results of a request.
const (
	Completed Result = iota // served
	Rejected                // refused: trying again is harmless
	Failed                  // any other answer, and one that broke off
	results   int    = iota
)

// Metrics are the figures of one process, from its start on.
type Metrics struct {
	classes     []string
	downstream  [][results]atomic.Int64 // a class each
	upstream    atomic.Int64
	pending     atomic.Int64
	members     atomic.Int64
	unavailable atomic.Int64
	more        map[string]func() any
}

// New returns the figures for these classes, all at zero.
func New(classes []string) *Metrics {
	return &Metrics{classes: classes, downstream: make([][results]atomic.Int64, len(classes))}
}

// Register adds figures of another part under a name of their own. It is called before the figures are read.
func (m *Metrics) Register(name string, figures func() any) {
	if m.more == nil {
		m.more = map[string]func() any{}
	}
	m.more[name] = figures
}

// RequestReceived counts a request whose last byte has come, until Released.
func (m *Metrics) RequestReceived() { m.pending.Add(1) }

// RequestFinished says that a request which was taken is over.
func (m *Metrics) RequestFinished() { m.pending.Add(-1) }

// RequestAnswered counts the final answer to a request of the class with that index.
func (m *Metrics) RequestAnswered(class int, r Result) { m.downstream[class][r].Add(1) }

// AttemptWritten counts an attempt that was written whole to a backend.
func (m *Metrics) AttemptWritten() { m.upstream.Add(1) }

// SetEndpointCounts sets how many backends are listed, and how many of them are avoided.
func (m *Metrics) SetEndpointCounts(listed, avoided int) {
	m.members.Store(int64(listed))
	m.unavailable.Store(int64(avoided))
}

type answers struct {
	Completed int64 `json:"completed"`
	Rejected  int64 `json:"rejected"`
	Failed    int64 `json:"failed"`
}

// MarshalJSON gives the figures in the operators' form.
func (m *Metrics) MarshalJSON() ([]byte, error) {
	downstream := make(map[string]answers, len(m.classes))
	for i, name := range m.classes {
		counts := &m.downstream[i]
		downstream[name] = answers{counts[Completed].Load(), counts[Rejected].Load(), counts[Failed].Load()}
	}
	own, err := json.Marshal(struct {
		Downstream  map[string]answers `json:"downstream_requests"`
		Upstream    int64              `json:"upstream_requests"`
		Pending     int64              `json:"pending"`
		Members     int64              `json:"members"`
		Unavailable int64              `json:"members_unavailable"`
	}{downstream, m.upstream.Load(), m.pending.Load(), m.members.Load(), m.unavailable.Load()})
	if err != nil || len(m.more) == 0 {
		return own, err
	}
	all := make(map[string]any, len(m.more))
	for name, figures := range m.more {
		all[name] = figures()
	}
	more, err := json.Marshal(all)
	if err != nil {
		return nil, err
	}
	return append(append(own[:len(own)-1], ','), more[1:]...), nil
}
