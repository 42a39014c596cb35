package discovery

import "time"

// maxListingDelay is how long a started endpoint may take to appear in discovery's list. If it takes longer, its slow start lasts a
// little longer.
const maxListingDelay = 2 * time.Second

// startedAt is when an endpoint started, on the agent's clock; 0: long ago.
//
// Failure: the time of day of the agent or of the endpoint is stepped, so that an endpoint that has just started seems to have started
// an hour ago, without slow start, or to start in an hour, with slow start for as long. The guard holds because a start that is known
// keeps its time, no start is in the future, and an endpoint that was not in the list when discovery last answered can't have started
// long before that.
func (c *Client) startedAt(decoded entry) time.Duration {
	if known, ok := c.known.endpoints[decoded.ID]; ok && known.StartedUnixMilli == decoded.StartedMS {
		return known.StartedAt
	}
	if decoded.StartedMS == 0 {
		return 0
	}
	startedAt := min(c.cfg.Clock.FromUnix(decoded.StartedMS), c.cfg.Clock.Now())
	if c.known.receivedAt > 0 {
		startedAt = max(startedAt, c.known.receivedAt-maxListingDelay)
	}
	return startedAt
}
