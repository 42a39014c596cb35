package pool

import "encoding/json"

// Stats are the figures of a pool: how things stand, and what has happened since it began.
type Stats struct {
	Open, Idle, Opening, Waiting int // at present

	Opened, OpenFailed int64 // handshakes that came up, and that did not
	Reused             int64 // connections handed out again
	Preopened          int64 // opened ahead of need; of these:
	PreopenedUsed      int64
	PreopenedWasted    int64
	Waited             int64 // attempts for which no handshake could begin at once; of all that waited:
	WaitTimedOut       int64 // those that got none in time
	Rejected           int64 // and those for which there was no room to wait
	Closed             [reasons]int64
}

// Stats returns the figures of the table.
func (t *Table) Stats() Stats {
	c := t.counts
	c.Open, c.Idle, c.Opening, c.Waiting = t.open, t.idle, t.opening, t.waiting
	return c
}

// Stats returns the figures.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Stats()
}

// MarshalJSON gives the figures in the operators' form.
func (c Stats) MarshalJSON() ([]byte, error) {
	closed := map[string]int64{}
	for why := range RejectCapacity {
		closed[why.String()] = c.Closed[why]
	}
	return json.Marshal(map[string]any{
		"open": c.Open, "idle": c.Idle, "opening": c.Opening, "waiting": c.Waiting,
		"opened": c.Opened, "open_failed": c.OpenFailed, "reused": c.Reused, "stale_found": c.Closed[CloseStale],
		"ahead": c.Preopened, "ahead_used": c.PreopenedUsed, "ahead_wasted": c.PreopenedWasted,
		"waited": c.Waited, "waited_out": c.WaitTimedOut, "wait_refused": c.Rejected, "closed": closed,
	})
}
