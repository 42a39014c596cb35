package pool

import "encoding/json"

// Counts are the figures of a pool: how things stand, and what has happened since it began.
type Counts struct {
	Open, Idle, Opening, Waiting int // at present

	Opened, OpenFailed int64 // handshakes that came up, and that did not
	Reused             int64 // connections handed out again
	Ahead              int64 // opened ahead of need; of these:
	AheadUsed          int64
	AheadWasted        int64
	Waited             int64 // attempts for which no handshake could begin at once; of all that waited:
	WaitedOut          int64 // those that got none in time
	Refused            int64 // and those for which there was no room to wait
	Closed             [reasons]int64
}

// Counts returns the figures of the table.
func (t *Table) Counts() Counts {
	c := t.counts
	c.Open, c.Idle, c.Opening, c.Waiting = t.open, t.idle, t.opening, t.waiting
	return c
}

// Counts returns the figures.
func (p *Pool) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Counts()
}

// MarshalJSON gives the figures in the operators' form.
func (c Counts) MarshalJSON() ([]byte, error) {
	closed := map[string]int64{}
	for why := range NoRoom {
		closed[why.String()] = c.Closed[why]
	}
	return json.Marshal(map[string]any{
		"open": c.Open, "idle": c.Idle, "opening": c.Opening, "waiting": c.Waiting,
		"opened": c.Opened, "open_failed": c.OpenFailed, "reused": c.Reused, "stale_found": c.Closed[WhyStale],
		"ahead": c.Ahead, "ahead_used": c.AheadUsed, "ahead_wasted": c.AheadWasted,
		"waited": c.Waited, "waited_out": c.WaitedOut, "wait_refused": c.Refused, "closed": closed,
	})
}
