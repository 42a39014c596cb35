// Package metrics holds the figures that operators read at GET /v1/metrics. They are atomic counters and gauges, so that code
// that serves requests writes them, and readers read them, without waiting for anyone.
//
// The front and the upstream count requests and attempts here. Other subsystems register a section of their own, which is read
// when the metrics are. The JSON keys are part of the operators' interface and must not change.
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
	Rejected                // sending it again does no harm
	Failed                  // any other answer, and one that broke off
	results   int    = iota
)

// Metrics are the figures of one process since its start.
type Metrics struct {
	classes     []string
	downstream  [][results]atomic.Int64 // final answers, by class index
	upstream    atomic.Int64
	pending     atomic.Int64
	endpoints   atomic.Int64
	unavailable atomic.Int64
	sections    map[string]func() any
}

// New returns the figures for the classes with these names, all at zero.
func New(classes []string) *Metrics {
	return &Metrics{
		classes:    classes,
		downstream: make([][results]atomic.Int64, len(classes)),
		sections:   map[string]func() any{},
	}
}

// Register adds a section under a key of its own. The function is called for each read of the metrics, by any goroutine, and its
// result is encoded as JSON. Sections must be registered before the metrics are first read.
func (m *Metrics) Register(key string, section func() any) { m.sections[key] = section }

// RequestReceived counts a request as pending from its last byte on, until RequestFinished.
func (m *Metrics) RequestReceived() { m.pending.Add(1) }

// RequestFinished ends a request that was counted by RequestReceived.
func (m *Metrics) RequestFinished() { m.pending.Add(-1) }

// RequestAnswered counts the final answer to a request of the class with that index.
func (m *Metrics) RequestAnswered(class int, result Result) { m.downstream[class][result].Add(1) }

// AttemptWritten counts an attempt of which all bytes were written to an endpoint.
func (m *Metrics) AttemptWritten() { m.upstream.Add(1) }

// SetEndpointCounts sets how many endpoints are listed, and how many of them are avoided.
func (m *Metrics) SetEndpointCounts(listed, avoided int) {
	m.endpoints.Store(int64(listed))
	m.unavailable.Store(int64(avoided))
}

// answerCounts are the final answers to the requests of a class.
type answerCounts struct {
	Completed int64 `json:"completed"`
	Rejected  int64 `json:"rejected"`
	Failed    int64 `json:"failed"`
}

// counters are the figures that are counted here.
type counters struct {
	Downstream  map[string]answerCounts `json:"downstream_requests"`
	Upstream    int64                   `json:"upstream_requests"`
	Pending     int64                   `json:"pending"`
	Endpoints   int64                   `json:"members"`
	Unavailable int64                   `json:"members_unavailable"`
}

// MarshalJSON returns one object with the counters and the registered sections.
func (m *Metrics) MarshalJSON() ([]byte, error) {
	data, err := json.Marshal(m.counters())
	if err != nil || len(m.sections) == 0 {
		return data, err
	}
	sections := make(map[string]any, len(m.sections))
	for key, section := range m.sections {
		sections[key] = section()
	}
	more, err := json.Marshal(sections)
	if err != nil {
		return nil, err
	}
	return mergeObjects(data, more), nil
}

// counters returns the present counts.
func (m *Metrics) counters() counters {
	downstream := make(map[string]answerCounts, len(m.classes))
	for i, name := range m.classes {
		counts := &m.downstream[i]
		downstream[name] = answerCounts{
			Completed: counts[Completed].Load(),
			Rejected:  counts[Rejected].Load(),
			Failed:    counts[Failed].Load(),
		}
	}
	return counters{
		Downstream:  downstream,
		Upstream:    m.upstream.Load(),
		Pending:     m.pending.Load(),
		Endpoints:   m.endpoints.Load(),
		Unavailable: m.unavailable.Load(),
	}
}

// mergeObjects joins the texts of two JSON objects, neither of which is empty.
func mergeObjects(first, second []byte) []byte {
	merged := append(first[:len(first)-1], ',')
	return append(merged, second[1:]...)
}
