package discovery

import (
	"context"
	"errors"
	"fmt"
	"time"

	"ryeweir/internal/event"
)

// fullSnapshot is the query string that requests a full snapshot.
const fullSnapshot = ""

// watchQuery returns the query string of a watch. A watch with a timeout of 0 returns at once.
func (c *Client) watchQuery(timeout time.Duration) string {
	return fmt.Sprintf("?since=%d&timeout_ms=%d", c.known.version, timeout.Milliseconds())
}

// watchAll makes one watch after the other until a request fails. It starts with a full snapshot unless a version is known: a watch then
// returns all missing changes, at half the cost for discovery.
func (c *Client) watchAll(ctx context.Context) error {
	if !c.known.hasVersion() {
		if err := c.request(ctx, fullSnapshot, requestTimeout); err != nil {
			return err
		}
	}
	for {
		if err := c.watch(ctx); err != nil {
			return err
		}
	}
}

// watch makes one watch.
//
// If discovery or the network stops responding during a watch, a change in that time would go unnoticed. The watch is therefore canceled
// halfway between its timeout and the notification deadline. The other half is left for a request that returns the missed changes at
// once.
func (c *Client) watch(ctx context.Context) error {
	timeout := c.pacing.next(c.rng)
	versionBefore, start := c.known.version, time.Now()
	grace := max(notificationDeadline, timeout+watchGrace) - timeout
	err := c.request(ctx, c.watchQuery(timeout), timeout+grace/2)
	latency := time.Since(start)
	c.pacing.adapt(err != nil || latency > timeout+overloadDelay, c.timing)
	if errors.Is(err, context.DeadlineExceeded) && ctx.Err() == nil {
		c.recordSilence()
		err = c.request(ctx, c.watchQuery(0), grace/2)
	}
	if err != nil {
		return err
	}
	if c.known.version == versionBefore && latency < WatchTimeout/2 {
		sleep(ctx, emptyWatchInterval) // prevents a tight loop if discovery responds without waiting
	}
	return nil
}

// recordSilence records that a watch got no response in time.
func (c *Client) recordSilence() {
	c.cfg.Log.Info("watch timed out without a response; requesting the missed changes", "version", c.known.version)
	c.cfg.Events.Record(event.Event{
		Kind:   event.WatchEnded,
		Reason: event.WatchSilent,
		Detail: fmt.Sprintf("version %d", c.known.version),
	})
}
