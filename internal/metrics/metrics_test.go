package metrics

import (
	"encoding/json"
	"sync"
	"testing"
)

// marshal returns the JSON that operators read.
func marshal(t *testing.T, m *Metrics) string {
	t.Helper()
	data, err := json.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

func TestMetricsAreEncodedForOperators(t *testing.T) {
	m := New([]string{"read", "order"})
	zero := `{"completed":0,"rejected":0,"failed":0}`
	want := `{"downstream_requests":{"order":` + zero + `,"read":` + zero + `},"upstream_requests":0,"pending":0,"members":0,"members_unavailable":0}`
	if got := marshal(t, m); got != want {
		t.Errorf("at the start %s, want %s", got, want)
	}
	m.RequestAnswered(0, Completed)
	m.RequestAnswered(1, Rejected)
	m.RequestAnswered(1, Failed)
	m.RequestAnswered(1, Failed)
	m.RequestReceived()
	m.RequestReceived()
	m.RequestFinished()
	m.AttemptWritten()
	m.SetEndpointCounts(11, 2)
	counters := `{"downstream_requests":{"order":{"completed":0,"rejected":1,"failed":2},"read":{"completed":1,"rejected":0,"failed":0}},` +
		`"upstream_requests":1,"pending":1,"members":11,"members_unavailable":2`
	if got, want := marshal(t, m), counters+`}`; got != want {
		t.Errorf("later %s, want %s", got, want)
	}
	m.Register("border", func() any { return map[string]int{"overdue": 3} })
	if got, want := marshal(t, m), counters+`,"border":{"overdue":3}}`; got != want {
		t.Errorf("with a section %s, want %s", got, want)
	}
}

// Requests are counted while operators read the metrics. No count may be lost, and with -race no data race may be reported.
func TestConcurrentCountsAreNotLost(t *testing.T) {
	m := New([]string{"c"})
	var clients sync.WaitGroup
	for range 8 {
		clients.Go(func() {
			for range 1000 {
				m.RequestReceived()
				m.RequestAnswered(0, Completed)
				m.RequestFinished()
				marshal(t, m)
			}
		})
	}
	clients.Wait()
	var got struct {
		Pending    int64
		Downstream map[string]answerCounts `json:"downstream_requests"`
	}
	if err := json.Unmarshal([]byte(marshal(t, m)), &got); err != nil || got.Pending != 0 || got.Downstream["c"].Completed != 8000 {
		t.Errorf("%+v, %v", got, err)
	}
}
