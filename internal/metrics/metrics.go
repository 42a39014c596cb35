// Package metrics holds the metrics that operators read at GET /v1/metrics. They are atomic counters and gauges, so that the code that
// serves requests and the readers of the metrics never block each other.
//
// The frontend and the upstream count requests and attempts here. Other subsystems register sections, which are evaluated each time the
// metrics are read. The JSON keys are part of the operators' interface and must not change.
package metrics

import (
	"encoding/json"
	"sync/atomic"
)

// Result is the outcome of a request as its client sees it.
type Result int

// The results of a request.
const (
	Completed Result = iota // answered successfully
	Rejected                // rejected; the client may safely send it again
	Failed                  // any other answer, or one that was cut off
	results   int    = iota
)

// Metrics holds the metrics of a process. Counters start at zero when it starts.
type Metrics struct {
	classes     []string
	downstream  [][results]atomic.Int64 // final answers, by class index
	upstream    atomic.Int64
	pending     atomic.Int64
	endpoints   atomic.Int64
	unavailable atomic.Int64
	sections    map[string]func() any
}

// New returns metrics for the classes with these names, all at zero.
func New(classes []string) *Metrics {
	return &Metrics{
		classes:    classes,
		downstream: make([][results]atomic.Int64, len(classes)),
		sections:   map[string]func() any{},
	}
}

// Register adds a section under a key. The function is called each time the metrics are read, by any goroutine, and its result is encoded
// as JSON. All sections must be registered before the metrics are first read.
func (m *Metrics) Register(key string, section func() any) { m.sections[key] = section }

// RequestReceived counts a request as pending until RequestFinished. It is called when the last byte of the request has arrived.
func (m *Metrics) RequestReceived() { m.pending.Add(1) }

// RequestFinished removes a request that RequestReceived counted from the pending ones.
func (m *Metrics) RequestFinished() { m.pending.Add(-1) }

// RequestAnswered counts the final answer to a request of the class with this index.
func (m *Metrics) RequestAnswered(class int, result Result) { m.downstream[class][result].Add(1) }

// AttemptWritten counts an attempt whose request was written to an endpoint completely.
func (m *Metrics) AttemptWritten() { m.upstream.Add(1) }

// SetEndpointCounts sets the number of listed endpoints, and how many of them the balancer avoids.
func (m *Metrics) SetEndpointCounts(listed, avoided int) {
	m.endpoints.Store(int64(listed))
	m.unavailable.Store(int64(avoided))
}

// answerCounts holds the number of final answers of a class, by result.
type answerCounts struct {
	Completed int64 `json:"completed"`
	Rejected  int64 `json:"rejected"`
	Failed    int64 `json:"failed"`
}

// counters is the JSON form of the metrics that this package counts itself.
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

// counters returns the current values.
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

// mergeObjects merges two encoded JSON objects. Neither may be empty.
func mergeObjects(first, second []byte) []byte {
	merged := append(first[:len(first)-1], ',')
	return append(merged, second[1:]...)
}
