package healthcheck

import "ryeweir/logic"

// resultCount is the number of results of a health check.
const resultCount = int(logic.NotSent) + 1

func (c *Checker) count(result logic.Result) { c.results[result].Add(1) }

// Stats are the figures for operators: health checks by result.
type Stats struct {
	OK            int64 `json:"ok"`
	Unhealthy     int64 `json:"unwell"` // answered with an error, or that the endpoint is unhealthy
	TimedOut      int64 `json:"timed_out"`
	ConnectFailed int64 `json:"connect_failed"`
	Reset         int64 `json:"reset"`
	NotSent       int64 `json:"unmade"` // over a limit of the agent, or the endpoint takes nothing new
	Disabled      bool  `json:"off"`    // endpoints know no health checks
}

// Stats returns the figures so far.
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
