package logic

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"time"
)

// This file applies the endpoint list and schedules the next poll of it.

// endpointSet is the set of listed endpoints, with their aggregate figures.
type endpointSet struct {
	listed []*endpoint // in this balancer's own order, by rank
	byID   map[string]*endpoint
	subset subsetSize

	// Set by updateWeights; sums over the subset.
	subsetWeight  float64
	healthyWeight float64 // the part of subsetWeight that is not ejected
}

// applyEndpointList applies a full snapshot or a change of the list. It takes effect immediately.
func (b *Balancer) applyEndpointList(list EndpointList) {
	b.polling.failures = 0
	present := make(map[string]bool, len(list.Endpoints))
	for _, entry := range list.Endpoints {
		present[entry.ID] = true
		b.applyEntry(entry)
	}
	b.dropEndpoints(func(e *endpoint) bool { return e.State == Removed || list.Full && !present[e.ID] })
	b.endpoints.subset.byFleet = fleetSubsetSize(len(b.endpoints.listed), b.settings.Balancers)
	b.scheduleFirstChecks()
	slices.SortFunc(b.endpoints.listed, func(x, y *endpoint) int { return cmp.Compare(x.rank, y.rank) })
}

// applyEntry adds or updates one endpoint. A different start time means that the process has restarted.
func (b *Balancer) applyEntry(entry Endpoint) {
	e := b.endpoints.byID[entry.ID]
	added := e == nil
	switch {
	case added:
		e = &endpoint{rank: endpointRank(b.settings.BalancerIndex, entry.ID), lastSeen: b.now}
		e.check.nextAt = unscheduled
		b.endpoints.byID[entry.ID] = e
		b.endpoints.listed = append(b.endpoints.listed, e)
	case entry.StartedAt != e.StartedAt:
		e.restart(b.now)
	}
	e.Endpoint = entry
	if !b.settings.UseListedWeights || entry.Weight <= 0 {
		e.Weight = 1
	}
	if added {
		b.restoreEndpoint(e)
	}
}

// dropEndpoints removes endpoints from the set and remembers what was learned about them, because the list
// can be wrong and they may return. Attempts in flight keep their reference to a removed endpoint.
func (b *Balancer) dropEndpoints(remove func(*endpoint) bool) {
	b.endpoints.listed = slices.DeleteFunc(b.endpoints.listed, func(e *endpoint) bool {
		if !remove(e) {
			return false
		}
		b.remembered.add(b.knowledgeOf(e), b.now)
		e.State = Removed
		delete(b.endpoints.byID, e.ID)
		return true
	})
}

// endpointRank returns the position of an endpoint in a balancer's own order. It stays the same when the
// balancer restarts.
func endpointRank(balancerIndex int, id string) uint64 {
	return hash(strconv.Itoa(balancerIndex) + " " + id)
}

const (
	// referenceFleetSize is the number of balancers up to which the limits of a single balancer are not
	// scaled.
	referenceFleetSize = 8
	// maxBackoffDoublings limits the exponential backoff of polls.
	maxBackoffDoublings = 4
	// maxFleetBackoff limits the factor by which a large fleet lengthens the backoff.
	maxFleetBackoff = 4
)

// discoveryPolling is the state of polling the endpoint list.
type discoveryPolling struct {
	failures  int  // consecutive failed polls
	scheduled bool // whether a timer for the next poll is set
}

// scheduleNextPoll sets the timer for the next poll after a failed one, with exponential backoff and
// jitter. Without it, all balancers would poll at the same time after an outage of discovery and overload
// it again. A large fleet backs off for longer, so that the rate of polls stays within what discovery can
// serve. At most one timer is set at a time, however many polls have failed.
func (b *Balancer) scheduleNextPoll() {
	if !b.settings.SubscriptionRequired || b.polling.scheduled {
		return
	}
	b.polling.scheduled = true
	b.setTimer(pollToken, b.pollBackoff())
	b.polling.failures++
}

// pollBackoff draws the time until the next poll. If the settings limit it, it is at most
// MaxPollRetryInterval, and at most twice MaxPollInterval in the largest fleet.
func (b *Balancer) pollBackoff() time.Duration {
	fleetFactor := min(maxFleetBackoff, max(1, float64(b.settings.Balancers)/referenceFleetSize))
	doublings := float64(min(b.polling.failures, maxBackoffDoublings))
	backoff := fleetFactor * float64(b.horizon) * math.Exp2(doublings)
	if b.settings.MaxPollRetryInterval > 0 {
		// The jitter below multiplies by 1/4 to 3/4, so the longest backoff equals the interval.
		backoff = min(backoff, float64(b.settings.MaxPollRetryInterval)*4/3)
	}
	backoff *= (0.5 + b.random.Float64()) / 2
	if b.settings.MaxPollInterval > 0 {
		backoff = min(backoff, fleetFactor*float64(b.settings.MaxPollInterval)/2)
	}
	return time.Duration(backoff)
}
