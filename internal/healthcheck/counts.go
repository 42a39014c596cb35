package healthcheck

import "ryeweir/logic"

// outcomes is the number of a probe's results.
const outcomes = int(logic.NotSent) + 1

func (p *Prober) count(r logic.Result) { p.counts[r].Add(1) }

// Counts are the figures for operators.
type Counts struct {
	OK       int64 `json:"ok"`
	Unwell   int64 `json:"unwell"` // answered, but not as well
	TimedOut int64 `json:"timed_out"`
	Connect  int64 `json:"connect_failed"`
	Reset    int64 `json:"reset"`
	Unmade   int64 `json:"unmade"` // over a limit of the agent, or the server takes nothing new
	Off      bool  `json:"off"`    // servers know no probes
}

// Counts returns the figures so far.
func (p *Prober) Counts() Counts {
	n := func(r logic.Result) int64 { return p.counts[r].Load() }
	return Counts{OK: n(logic.OK), Unwell: n(logic.Rejected) + n(logic.Failed), TimedOut: n(logic.TimedOut) + n(logic.Cancelled),
		Connect: n(logic.ConnectFailed), Reset: n(logic.Reset), Unmade: n(logic.NotSent), Off: p.absent.Load() >= absentMost}
}
