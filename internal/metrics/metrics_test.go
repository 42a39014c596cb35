package metrics

import (
	"encoding/json"
	"sync"
	"testing"
)

func text(t *testing.T, m *Metrics) string {
	t.Helper()
	data, err := json.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

func TestForm(t *testing.T) {
	m := New([]string{"read", "order"})
	zero := `{"completed":0,"rejected":0,"failed":0}`
	want := `{"downstream_requests":{"order":` + zero + `,"read":` + zero + `},"upstream_requests":0,"pending":0,"members":0,"members_unavailable":0}`
	if got := text(t, m); got != want {
		t.Errorf("at the start %s", got)
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
	want = `{"downstream_requests":{"order":{"completed":0,"rejected":1,"failed":2},"read":{"completed":1,"rejected":0,"failed":0}},` +
		`"upstream_requests":1,"pending":1,"members":11,"members_unavailable":2}`
	if got := text(t, m); got != want {
		t.Errorf("later %s", got)
	}
}

// Writers and readers do not wait for each other, and nothing is lost.
func TestConcurrentUse(t *testing.T) {
	m := New([]string{"c"})
	var all sync.WaitGroup
	for range 8 {
		all.Go(func() {
			for range 1000 {
				m.RequestReceived()
				m.RequestAnswered(0, Completed)
				m.RequestFinished()
				text(t, m)
			}
		})
	}
	all.Wait()
	var got struct {
		Pending    int64
		Downstream map[string]answers `json:"downstream_requests"`
	}
	if err := json.Unmarshal([]byte(text(t, m)), &got); err != nil || got.Pending != 0 || got.Downstream["c"].Completed != 8000 {
		t.Errorf("%+v, %v", got, err)
	}
}
