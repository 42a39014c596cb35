package discovery

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"ryeweir/internal/core"
	"ryeweir/internal/event"
	"ryeweir/logic"
)

// noVersion means that no version is known and a full snapshot is needed.
const noVersion = -1

// endpointSet is the last known endpoint list.
type endpointSet struct {
	version    int64 // or noVersion
	endpoints  map[string]core.Endpoint
	receivedAt time.Duration // time of the last response, on the agent's clock; 0 if there was none
}

func newEndpointSet() endpointSet {
	return endpointSet{version: noVersion, endpoints: map[string]core.Endpoint{}}
}

func (s *endpointSet) hasVersion() bool { return s.version >= 0 }

// forgetVersion makes the set older than any list that is received next.
func (s *endpointSet) forgetVersion() {
	s.version, s.receivedAt = noVersion, 0
}

// store replaces the set with the endpoints of a full snapshot, or applies those of a watch event to it.
func (s *endpointSet) store(endpoints []core.Endpoint, full bool) {
	if full {
		clear(s.endpoints)
	}
	for _, endpoint := range endpoints {
		s.endpoints[endpoint.ID] = endpoint
		if endpoint.State == logic.Removed {
			delete(s.endpoints, endpoint.ID)
		}
	}
}

// errNotFull is returned if discovery responds with a watch event to a request for a full snapshot.
var errNotFull = errors.New("discovery returned a watch event instead of a full snapshot")

// versionError is returned if discovery has restarted its version numbering. A watch since a version of the old numbering is meaningless.
type versionError struct {
	known, received int64
}

func (e *versionError) Error() string {
	return fmt.Sprintf("discovery went back from version %d to version %d", e.known, e.received)
}

// apply passes a received list to the sink if its version is higher than the known one, or if it is a full snapshot of the known version.
// wantFull is set if a full snapshot was requested. The error is errNotFull, or a versionError if a watch returned a lower version.
func (c *Client) apply(list EndpointList, wantFull bool) error {
	if wantFull && !list.Full {
		return errNotFull
	}
	if list.Version < c.known.version && !wantFull {
		err := &versionError{known: c.known.version, received: list.Version}
		c.known.version = noVersion
		return err
	}
	c.backoff.failures = 0
	isNewer := list.Version > c.known.version || list.Version == c.known.version && list.Full
	c.endOutage(list)
	if !isNewer {
		c.known.receivedAt = c.cfg.Clock.Now()
		return nil
	}
	endpoints := c.known.withSuperseded(c.decode(list))
	c.known.version, c.known.receivedAt = list.Version, c.cfg.Clock.Now()
	c.recordUpdate(list, endpoints)
	c.cfg.Sink.UpdateEndpoints(core.EndpointList{Full: list.Full, Endpoints: endpoints})
	return nil
}

// endOutage records that discovery is available again. If the list has not changed it sends an empty watch event to the sink: the
// balancer counts failed polls and must know that the list is being watched again.
func (c *Client) endOutage(list EndpointList) {
	if !c.unavailable {
		return
	}
	c.unavailable = false
	c.cfg.Log.Info("discovery available again", "version", list.Version)
	if list.Version == c.known.version && !list.Full {
		c.cfg.Sink.UpdateEndpoints(core.EndpointList{})
	}
}

// applyCached passes the cached list to the sink as a full snapshot. Unless the client watches from the cached version on (see
// startsFromCache), no version is known, and the next list from discovery counts as newer, even one with a version lower than the cached
// one. If the client does watch from the cached version on, apply rejects a lower version with a versionError; the full snapshot that is
// requested then counts as newer.
func (c *Client) applyCached() {
	list := c.cfg.CachedList
	list.Full = true
	c.cfg.Sink.UpdateEndpoints(core.EndpointList{Full: true, Endpoints: c.known.withSuperseded(c.decode(list))})
}

// recordUpdate records and logs that a list was applied.
func (c *Client) recordUpdate(list EndpointList, endpoints []core.Endpoint) {
	applied := event.Event{Kind: event.EndpointsUpdated}
	if c.cfg.Events.Verbose() {
		applied.Detail = fmt.Sprintf("version %d, full %v: %s", list.Version, list.Full, summary(endpoints))
	}
	c.cfg.Events.Record(applied)
	c.cfg.Log.Info("endpoint list updated", "version", list.Version, "full", list.Full, "entries", len(list.Endpoints))
}

// summary lists the endpoints that are not ready and the number of those that are.
func summary(endpoints []core.Endpoint) string {
	ready := 0
	var notReady strings.Builder
	for _, endpoint := range endpoints {
		switch endpoint.State {
		case logic.Ready:
			ready++
		case logic.Draining:
			notReady.WriteString(" draining " + endpoint.ID)
		case logic.Removed:
			notReady.WriteString(" gone " + endpoint.ID)
		}
	}
	return strconv.Itoa(ready) + " ready" + notReady.String()
}
