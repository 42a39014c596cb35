package discovery

import (
	"context"
	"errors"
	"fmt"
	"time"

	"ryeweir/internal/event"
)

// fullSnapshot is the query for a full snapshot.
const fullSnapshot = ""

// watchQuery is the query of a watch. With a timeout of 0 it returns at once.
func (c *Client) watchQuery(timeout time.Duration) string {
	return fmt.Sprintf("?since=%d&timeout_ms=%d", c.known.version, timeout.Milliseconds())
}

// follow watches the list until a request fails. It begins with a full snapshot unless a version is known: then a watch returns all
// that is missing, with half the work for discovery.
func (c *Client) follow(ctx context.Context) error {
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
// Failure: discovery or the network falls silent in the middle of a watch, and a change in that time goes unnoticed. The guard holds
// because a watch is given up half way between its timeout and the notification deadline, which leaves the other half for a
// request that returns at once with what was missed.
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
		sleep(ctx, emptyWatchInterval) // a discovery that does not wait must not be polled in a tight loop
	}
	return nil
}

// recordSilence records that a watch got no answer in time.
func (c *Client) recordSilence() {
	c.cfg.Log.Info("watch timed out without an answer", "version", c.known.version)
	c.cfg.Events.Record(event.Event{
		Kind:   event.WatchEnded,
		Reason: event.WatchSilent,
		Detail: fmt.Sprintf("version %d", c.known.version),
	})
}
