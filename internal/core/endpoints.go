package core

import "ryeweir/logic"

// Endpoint is an endpoint as discovery describes it.
type Endpoint struct {
	logic.Endpoint
	Addr string // host and port
	// StartedUnixMilli is the latest start as discovery states it, the same for all agents, in Unix milliseconds; 0 for long ago.
	StartedUnixMilli int64
}

// EndpointList is a full endpoint list or a change of it. Receivers do not modify it.
type EndpointList struct {
	Full      bool // Endpoints are all there are; else those that changed
	Endpoints []Endpoint
}

// applyEndpoints takes in an endpoint list. The upstream applies it before the module: when the module can choose from it,
// nothing new goes to an endpoint that is draining.
func (c *Core) applyEndpoints(list EndpointList) {
	listed, ready := c.upstream.UpdateEndpoints(list)
	endpoints := make([]logic.Endpoint, len(list.Endpoints))
	for i, endpoint := range list.Endpoints {
		endpoints[i] = endpoint.Endpoint
	}
	c.decide(logic.EndpointList{Full: list.Full, Endpoints: endpoints})
	c.endpointCount = listed
	c.config.OnEndpointCounts(listed, c.balancer.Unavailable())
	c.setReady(ready)
}

// setReady records how many endpoints may receive requests, and logs when the first appears or the last disappears.
func (c *Core) setReady(endpoints int) {
	anyReady := endpoints > 0
	if c.ready.Swap(anyReady) == anyReady {
		return
	}
	c.config.Log.Info("endpoint availability changed", "any", anyReady, "ready", endpoints)
	if anyReady {
		c.endpointsOnce.Do(func() { close(c.endpointsKnown) })
	}
}
