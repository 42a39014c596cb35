package healthcheck

import "ryeweir/logic"

// outcomes is the number of a probe's results.
const outcomes = int(logic.NotSent) + 1

func (p *Checker) count(r logic.Result) { p.counts[r].Add(1) }

// Stats are the figures for operators.
type Stats struct {
	OK            int64 `json:"ok"`
	Unhealthy     int64 `json:"unwell"` // answered, but not as well
	TimedOut      int64 `json:"timed_out"`
	ConnectFailed int64 `json:"connect_failed"`
	Reset         int64 `json:"reset"`
	NotSent       int64 `json:"unmade"` // over a limit of the agent, or the server takes nothing new
	Disabled      bool  `json:"off"`    // servers know no probes
}

// Stats returns the figures so far.
func (p *Checker) Stats() Stats {
	n := func(r logic.Result) int64 { return p.counts[r].Load() }
	return Stats{OK: n(logic.OK), Unhealthy: n(logic.Rejected) + n(logic.Failed), TimedOut: n(logic.TimedOut) + n(logic.Cancelled),
		ConnectFailed: n(logic.ConnectFailed), Reset: n(logic.Reset), NotSent: n(logic.NotSent), Disabled: p.absent.Load() >= absentMost}
}
