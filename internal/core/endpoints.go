package core

import "ryeweir/logic"

// Endpoint is an endpoint as described by discovery.
type Endpoint struct {
	logic.Endpoint
	Addr string // host and port
	// StartedUnixMilli is when the endpoint last started, in Unix milliseconds, as stated by discovery and hence equal for all
	// agents; 0 means long ago.
	StartedUnixMilli int64
}

// EndpointList is a full endpoint list or a change to it. Receivers must not modify it.
type EndpointList struct {
	Full      bool // whether Endpoints are all endpoints, or only those that changed
	Endpoints []Endpoint
}

// applyEndpoints applies an endpoint list to the upstream and then to the balancer. In this order the upstream already refuses new
// requests to draining endpoints when the balancer selects from the new list.
func (c *Core) applyEndpoints(list EndpointList) {
	listed, ready := c.upstream.UpdateEndpoints(list)
	endpoints := make([]logic.Endpoint, len(list.Endpoints))
	for i, endpoint := range list.Endpoints {
		endpoints[i] = endpoint.Endpoint
	}
	c.handleEvent(logic.EndpointList{Full: list.Full, Endpoints: endpoints})
	c.endpointCount = listed
	c.config.OnEndpointCounts(listed, c.balancer.Unavailable())
	c.setReady(ready)
}

// setReady records whether any endpoint can receive requests, and logs when the first one appears or the last one disappears.
func (c *Core) setReady(readyEndpoints int) {
	anyReady := readyEndpoints > 0
	if c.ready.Swap(anyReady) == anyReady {
		return
	}
	c.config.Log.Info("endpoint availability changed", "any", anyReady, "ready", readyEndpoints)
	if anyReady {
		c.endpointsOnce.Do(func() { close(c.endpointsKnown) })
	}
}
