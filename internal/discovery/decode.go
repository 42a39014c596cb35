package discovery

import (
	"encoding/json"
	"fmt"
	"net"
	"slices"

	"ryeweir/internal/core"
	"ryeweir/logic"
)

// decode decodes the entries of a list and stores them as the last known ones.
//
// A malformed entry is replaced with the last known state of its endpoint if its ID can be read. Without the entry, a full snapshot would
// remove a healthy endpoint.
func (c *Client) decode(list EndpointList) []core.Endpoint {
	endpoints := make([]core.Endpoint, 0, len(list.Endpoints))
	for _, raw := range list.Endpoints {
		endpoint, id, err := c.decodeEntry(raw)
		if err == nil {
			endpoints = append(endpoints, endpoint)
			continue
		}
		c.logMalformed(id, err)
		if known, ok := c.known.endpoints[id]; ok {
			endpoints = append(endpoints, known)
		}
	}
	c.known.store(endpoints, list.Full)
	return endpoints
}

// decodeEntry decodes an entry. With an error it still returns the ID of the entry, if that could be read.
func (c *Client) decodeEntry(raw json.RawMessage) (endpoint core.Endpoint, id string, err error) {
	var decoded entry
	if err := json.Unmarshal(raw, &decoded); err != nil {
		return endpoint, decoded.ID, err
	}
	state, ok := endpointState(decoded.State)
	if decoded.ID == "" || !ok {
		return endpoint, decoded.ID, fmt.Errorf("missing id or unknown state: id %q, state %q", decoded.ID, decoded.State)
	}
	if _, _, err := net.SplitHostPort(decoded.Addr); err != nil && state != logic.Removed {
		return endpoint, decoded.ID, err
	}
	endpoint = core.Endpoint{
		Endpoint: logic.Endpoint{
			ID:        decoded.ID,
			State:     state,
			Zone:      slices.Index(c.cfg.Zones, decoded.Zone),
			Cell:      decoded.Cell,
			Weight:    decoded.Weight,
			StartedAt: c.startedAt(decoded),
		},
		Addr:             decoded.Addr,
		StartedUnixMilli: decoded.StartedMS,
	}
	return endpoint, decoded.ID, nil
}

// logMalformed logs a malformed entry, but only the first one of the process.
func (c *Client) logMalformed(id string, err error) {
	if !c.malformedLogged {
		c.malformedLogged = true
		c.cfg.Log.Warn("ignoring a malformed endpoint list entry; further ones are not logged", "entry", id, "error", err)
	}
}
