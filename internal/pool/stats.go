package pool

import "encoding/json"

// Stats are the current state of a pool and its counters since it was created.
type Stats struct {
	Open, Idle, Opening, Waiting int // current values

	Opened, OpenFailed int64 // handshakes that succeeded, and handshakes that failed
	Reused             int64 // grants of a connection that had carried a request before
	Preopened          int64 // handshakes started in advance
	PreopenedUsed      int64 // connections opened in advance that then carried a request
	PreopenedWasted    int64 // connections opened in advance that were closed without carrying one
	Waited             int64 // requests that had to wait and for which no handshake started at once
	WaitTimedOut       int64 // waiters that were canceled without a connection, whether or not they are in Waited
	Rejected           int64 // requests rejected because too many were waiting
	Closed             [closeReasons]int64
}

// Stats returns the statistics of the table.
func (t *Table) Stats() Stats {
	stats := t.stats
	stats.Open, stats.Idle, stats.Opening, stats.Waiting = t.open, t.idle, t.opening, t.waiting
	return stats
}

// Stats returns the statistics of the pool.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Stats()
}

// MarshalJSON encodes the statistics under the keys of GET /v1/metrics.
func (s Stats) MarshalJSON() ([]byte, error) {
	closed := map[string]int64{}
	for reason, n := range s.Closed {
		closed[CloseReason(reason).String()] = n
	}
	return json.Marshal(map[string]any{
		"open": s.Open, "idle": s.Idle, "opening": s.Opening, "waiting": s.Waiting,
		"opened": s.Opened, "open_failed": s.OpenFailed, "reused": s.Reused, "stale_found": s.Closed[CloseStale],
		"ahead": s.Preopened, "ahead_used": s.PreopenedUsed, "ahead_wasted": s.PreopenedWasted,
		"waited": s.Waited, "waited_out": s.WaitTimedOut, "wait_refused": s.Rejected, "closed": closed,
	})
}
