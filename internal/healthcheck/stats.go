package healthcheck

import "ryeweir/logic"

// resultCount is the number of values of logic.Result.
const resultCount = int(logic.NotSent) + 1

func (c *Checker) count(result logic.Result) { c.results[result].Add(1) }

// Stats counts health checks by result, for the operators' metrics.
type Stats struct {
	OK            int64 `json:"ok"`
	Unhealthy     int64 `json:"unwell"` // the endpoint returned an error or reported itself unhealthy
	TimedOut      int64 `json:"timed_out"`
	ConnectFailed int64 `json:"connect_failed"`
	Reset         int64 `json:"reset"`
	NotSent       int64 `json:"unmade"` // a limit of the agent was reached, or the endpoint accepts no new work
	Disabled      bool  `json:"off"`    // endpoints do not support health checks
}

// Stats returns the counts since the start of the process.
func (c *Checker) Stats() Stats {
	count := func(result logic.Result) int64 { return c.results[result].Load() }
	return Stats{
		OK:            count(logic.OK),
		Unhealthy:     count(logic.Rejected) + count(logic.Failed),
		TimedOut:      count(logic.TimedOut) + count(logic.Cancelled),
		ConnectFailed: count(logic.ConnectFailed),
		Reset:         count(logic.Reset),
		NotSent:       count(logic.NotSent),
		Disabled:      c.disabled(),
	}
}
