package discovery

import "time"

// maxListingDelay is the assumed maximum time from the start of an endpoint to its first appearance in the list. If it takes longer, its
// slow start lasts slightly longer.
const maxListingDelay = 2 * time.Second

// startedAt returns when an endpoint started, on the agent's clock, or 0 if it started long ago.
//
// It guards against a step of the wall clock of the agent or of the endpoint. After one, an endpoint that has just started could appear
// to have started an hour ago and get no slow start, or to start in an hour and stay in slow start until then. Three rules prevent that:
// a start time that is already known is kept, a start time in the future is replaced with the current time, and an endpoint that was not
// in the list at the last response cannot have started more than maxListingDelay before that response.
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
