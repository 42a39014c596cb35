package discovery

import (
	"context"

	"ryeweir/internal/event"
)

// runSession follows the list at the present address until that changes or the context ends.
func (c *Client) runSession(ctx context.Context) {
	session, cancel := c.beginSession(ctx)
	defer cancel()
	for session.Err() == nil {
		if !c.awaitSubscription(session) {
			return
		}
		err := c.follow(session)
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

// beginSession returns a context that ends with the session. Another discovery counts versions of its own, which may be lower: nothing
// known from the one before may be compared with them.
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
		c.Subscribe() // the balancer is in its backoff for the old address
	}
	return session, cancel
}

// awaitSubscription waits until the list may be followed; false says that the context has ended.
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

// recordFailure records that the list could not be followed. It is logged once for each outage.
func (c *Client) recordFailure(err error) {
	c.cfg.Events.Record(event.Event{Kind: event.WatchEnded, Reason: event.WatchFailed, Detail: err.Error()})
	if !c.unavailable {
		c.unavailable = true
		c.cfg.Log.Warn("discovery unavailable, keeping the last endpoint list", "version", c.known.version, "error", err)
	}
}

// awaitRetry waits after a failure: a quarter of the backoff for certain, and the rest at random, so that agents which lost discovery
// together do not return together.
func (c *Client) awaitRetry(ctx context.Context) {
	interval := c.backoff.interval(c.timing)
	sleep(ctx, interval/4)
	c.sleepRandom(ctx, interval*3/4)
	c.backoff.failures++
}
