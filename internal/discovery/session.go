package discovery

import (
	"context"

	"ryeweir/internal/event"
)

// runSession watches the list at the current address until the address changes or the context is done.
func (c *Client) runSession(ctx context.Context) {
	session, cancel := c.beginSession(ctx)
	defer cancel()
	for session.Err() == nil {
		if !c.awaitSubscription(session) {
			return
		}
		err := c.watchAll(session)
		if session.Err() != nil {
			c.cfg.Events.Record(event.Event{Kind: event.WatchEnded, Reason: event.WatchMoved, Detail: "the session has ended"})
			return
		}
		c.recordFailure(err)
		if c.cfg.SubscriptionRequired { // the balancer decides when to poll again
			c.subscribed = false
			c.cfg.Sink.DiscoveryUnavailable()
			continue
		}
		c.awaitRetry(session)
	}
}

// beginSession returns a context that is canceled at the end of the session. If the address has changed, it forgets the known version:
// another discovery service numbers its versions independently, possibly lower, so versions of the two must not be compared.
func (c *Client) beginSession(ctx context.Context) (context.Context, context.CancelFunc) {
	c.mu.Lock()
	defer c.mu.Unlock()
	session, cancel := context.WithCancel(ctx)
	c.cancelSession = cancel
	if c.sessionAddr == c.addr {
		return session, cancel
	}
	c.sessionAddr = c.addr
	c.known.forgetVersion()
	c.unavailable = false
	c.http.CloseIdleConnections()
	if !c.subscribed {
		c.Subscribe() // the balancer is still backing off from the old address
	}
	return session, cancel
}

// awaitSubscription waits until the list may be watched. It returns false if the context is done first.
func (c *Client) awaitSubscription(ctx context.Context) bool {
	if !c.cfg.SubscriptionRequired || c.subscribed {
		return true
	}
	select {
	case <-c.subscribe:
		c.subscribed = true
		return true
	case <-ctx.Done():
		return false
	}
}

// recordFailure records that a request for the list has failed. Only the first failure of an outage is logged.
func (c *Client) recordFailure(err error) {
	c.cfg.Events.Record(event.Event{Kind: event.WatchEnded, Reason: event.WatchFailed, Detail: err.Error()})
	if !c.unavailable {
		c.unavailable = true
		c.cfg.Log.Warn("discovery unavailable, keeping the last endpoint list", "version", c.known.version, "error", err)
	}
}

// awaitRetry waits after a failure: a quarter of the backoff interval, plus a random part of the rest. The jitter keeps agents that lost
// discovery at the same time from retrying at the same time.
func (c *Client) awaitRetry(ctx context.Context) {
	interval := c.backoff.interval(c.timing)
	sleep(ctx, interval/4)
	c.sleepRandom(ctx, interval*3/4)
	c.backoff.failures++
}
