package logic

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"time"
)

// How the endpoint list is applied, and when it is polled again.

// endpointSet is the listed endpoints and the figures that concern them together.
type endpointSet struct {
	listed []*endpoint // in this balancer's own order, by rank
	byID   map[string]*endpoint
	subset subsetSize

	// Set by updateWeights, over the subset.
	subsetWeight  float64
	healthyWeight float64 // the part of it that is not ejected
}

// applyEndpointList applies a full snapshot or a change of the list. All that it says counts from this
// event on.
func (b *Balancer) applyEndpointList(list EndpointList) {
	b.polling.failures = 0
	named := make(map[string]bool, len(list.Endpoints))
	for _, entry := range list.Endpoints {
		named[entry.ID] = true
		b.applyEntry(entry)
	}
	b.dropEndpoints(func(e *endpoint) bool { return e.State == Removed || list.Full && !named[e.ID] })
	b.endpoints.subset.byFleet = fleetSubsetSize(len(b.endpoints.listed), b.settings.Balancers)
	b.scheduleFirstChecks()
	slices.SortFunc(b.endpoints.listed, func(x, y *endpoint) int { return cmp.Compare(x.rank, y.rank) })
}

// applyEntry adds or updates one endpoint. Another start time is another incarnation of the process.
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

// dropEndpoints removes endpoints from the list and remembers what is known of them, as a list can be wrong
// and they may return. Attempts in flight keep referring to a dropped endpoint.
func (b *Balancer) dropEndpoints(gone func(*endpoint) bool) {
	b.endpoints.listed = slices.DeleteFunc(b.endpoints.listed, func(e *endpoint) bool {
		if !gone(e) {
			return false
		}
		b.remembered.add(b.knowledgeOf(e), b.now)
		e.State = Removed
		delete(b.endpoints.byID, e.ID)
		return true
	})
}

// endpointRank places an endpoint in a balancer's own order, which a restart of the balancer does not change.
func endpointRank(balancerIndex int, id string) uint64 {
	return hash(strconv.Itoa(balancerIndex) + " " + id)
}

const (
	// referenceFleetSize is the number of balancers up to which the limits for a single balancer hold unchanged.
	referenceFleetSize = 8
	// maxBackoffDoublings bounds the exponential backoff of polls.
	maxBackoffDoublings = 4
	// maxFleetBackoff bounds the factor by which the backoff is longer in a large fleet.
	maxFleetBackoff = 4
)

// discoveryPolling is the state of polls of the endpoint list.
type discoveryPolling struct {
	failures  int  // polls that have failed in a row
	scheduled bool // a timer for the next poll is set
}

// scheduleNextPoll sets the timer of the next poll after a failed one: exponential backoff with jitter. It
// guards against an outage of discovery after which all balancers poll together and overload it again; a
// large fleet backs off longer, so that discovery gets through the polls that it can serve. However many
// polls have failed, one timer is set.
func (b *Balancer) scheduleNextPoll() {
	if !b.settings.SubscriptionRequired || b.polling.scheduled {
		return
	}
	b.polling.scheduled = true
	b.setTimer(pollToken, b.pollBackoff())
	b.polling.failures++
}

// pollBackoff draws the time until the next poll. It stays below MaxPollRetryInterval, and below two times
// MaxPollInterval in the largest fleet.
func (b *Balancer) pollBackoff() time.Duration {
	fleetFactor := min(maxFleetBackoff, max(1, float64(b.settings.Balancers)/referenceFleetSize))
	doublings := float64(min(b.polling.failures, maxBackoffDoublings))
	backoff := fleetFactor * float64(b.horizon) * math.Exp2(doublings)
	if b.settings.MaxPollRetryInterval > 0 {
		// The jitter below is from 1/4 to 3/4: the longest backoff is then the interval.
		backoff = min(backoff, float64(b.settings.MaxPollRetryInterval)*4/3)
	}
	backoff *= (0.5 + b.random.Float64()) / 2
	if b.settings.MaxPollInterval > 0 {
		backoff = min(backoff, fleetFactor*float64(b.settings.MaxPollInterval)/2)
	}
	return time.Duration(backoff)
}
