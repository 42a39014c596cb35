package discovery

import (
	"maps"
	"slices"

	"ryeweir/internal/core"
	"ryeweir/logic"
)

// withSuperseded returns received endpoints, which the set already holds, with those marked as removed whose address has gone to an endpoint that
// started later. Only one process can listen on an address, so that the entry of the earlier one is out of date, whatever its state: requests for
// it would reach the later one, under the wrong ID and beside its slow start.
//
// Endpoints with equal start times are left as they are, because nothing tells which of them is out of date.
func (s *endpointSet) withSuperseded(received []core.Endpoint) []core.Endpoint {
	latest := s.latestAt(received)
	current := make([]core.Endpoint, 0, len(received))
	listed := map[string]bool{}
	for _, endpoint := range received {
		listed[endpoint.ID] = true
		if endpoint.StartedUnixMilli < latest[endpoint.Addr] {
			endpoint.State = logic.Removed
		}
		current = append(current, endpoint)
	}
	for _, id := range slices.Sorted(maps.Keys(s.endpoints)) {
		known := s.endpoints[id]
		if !listed[id] && known.StartedUnixMilli < latest[known.Addr] {
			known.State = logic.Removed
			current = append(current, known)
		}
	}
	return current
}

// latestAt returns the latest start, in Unix milliseconds, of the endpoints at each address of the received ones that are not removed.
func (s *endpointSet) latestAt(received []core.Endpoint) map[string]int64 {
	latest := map[string]int64{}
	for _, endpoint := range received {
		if endpoint.State != logic.Removed {
			latest[endpoint.Addr] = max(latest[endpoint.Addr], endpoint.StartedUnixMilli)
		}
	}
	for _, known := range s.endpoints {
		if start, found := latest[known.Addr]; found {
			latest[known.Addr] = max(start, known.StartedUnixMilli)
		}
	}
	return latest
}
