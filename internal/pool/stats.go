package pool

import "encoding/json"

// Stats are the figures of a pool: its present state, and counts since it began.
type Stats struct {
	Open, Idle, Opening, Waiting int // at present

	Opened, OpenFailed int64 // handshakes that succeeded, and that failed
	Reused             int64 // grants of a connection that had carried a request before
	Preopened          int64 // handshakes begun in advance; of these connections:
	PreopenedUsed      int64
	PreopenedWasted    int64 // closed without a request
	Waited             int64 // requests for which no handshake could begin at once; of all that waited:
	WaitTimedOut       int64 // those that got no connection in time
	Rejected           int64 // requests rejected as too many waited already
	Closed             [closeReasons]int64
}

// Stats returns the figures of the table.
func (t *Table) Stats() Stats {
	stats := t.stats
	stats.Open, stats.Idle, stats.Opening, stats.Waiting = t.open, t.idle, t.opening, t.waiting
	return stats
}

// Stats returns the figures of the pool.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Stats()
}

// MarshalJSON encodes the figures under the keys of GET /v1/metrics.
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
