package pool

import (
	"math"
	"time"
)

const (
	handshakeTimeWeight = 0.2         // of a new sample in the smoothed time of a handshake
	requestRateDecay    = time.Second // time constant of the smoothed request rate
	minPreopenDemand    = 0.05        // requests during a handshake below which nothing is opened in advance
)

// demand estimates how many requests come to one endpoint while a handshake with it is under way.
type demand struct {
	requestRate      float64 // requests a second, smoothed, as of rateAt
	rateAt           time.Duration
	handshakeSeconds float64       // smoothed; 0: no handshake has succeeded yet
	nextPreopen      time.Duration // when a connection may next be opened in advance
}

// recordRequest counts one request.
func (d *demand) recordRequest(now time.Duration) {
	d.requestRate = d.rateNow(now) + 1/requestRateDecay.Seconds()
	d.rateAt = now
}

// rateNow is the request rate a second with its decay until now.
func (d *demand) rateNow(now time.Duration) float64 {
	return d.requestRate * math.Exp(-float64(now-d.rateAt)/float64(requestRateDecay))
}

// recordHandshake adds the duration of a handshake.
func (d *demand) recordHandshake(seconds float64) {
	if d.handshakeSeconds == 0 {
		d.handshakeSeconds = seconds
	}
	d.handshakeSeconds += handshakeTimeWeight * (seconds - d.handshakeSeconds)
}

// idleTarget is how many idle connections an endpoint should have. The requests that arrive during one handshake are Poisson
// distributed at a steady rate: the target is their mean and two standard deviations.
func (d *demand) idleTarget(settings *Settings, now time.Duration) int {
	mean := d.rateNow(now) * d.handshakeSeconds
	if mean < minPreopenDemand {
		return settings.PreopenMinIdle
	}
	target := int(math.Ceil(mean + 2*math.Sqrt(mean)))
	return max(settings.PreopenMinIdle, min(settings.PreopenMaxIdle, target))
}

// preopen opens at most one connection to the endpoint before a request needs it.
//
// Failure: all agents learn of a restarted endpoint at once and fill it with handshakes while it warms up. It shows as a burst of
// new connections at that endpoint. The guard holds because the sum over all agents is bounded by Settings.PreopenRate: each
// agent gets its part of that rate, reduced during slow start, at random times.
func (t *Table) preopen(now time.Duration, endpoint *Endpoint) {
	if !t.mayPreopen(now, endpoint) {
		return
	}
	endpoint.demand.nextPreopen = now + time.Duration((0.5+t.rng.Float64())*float64(t.preopenInterval(now, endpoint)))
	t.stats.Preopened++
	t.startHandshake(now, endpoint, true)
}

// mayPreopen reports whether a connection is to be opened in advance now. Requests that wait, and endpoints whose latest
// handshake failed, come before that, and no connection is closed for it.
func (t *Table) mayPreopen(now time.Duration, endpoint *Endpoint) bool {
	switch {
	case t.settings.PreopenRate <= 0, now < endpoint.demand.nextPreopen:
		return false
	case endpoint.failedHandshakes > 0, len(endpoint.waiters) > 0:
		return false
	case t.places() >= t.settings.MaxConnections, !t.canStartHandshake(endpoint):
		return false
	}
	return len(endpoint.idle)+endpoint.handshakes < endpoint.demand.idleTarget(&t.settings, now)
}

// preopenInterval is the mean time between two connections that one agent opens in advance on an endpoint.
func (t *Table) preopenInterval(now time.Duration, endpoint *Endpoint) time.Duration {
	if t.settings.PreopenRate <= 0 {
		return 0
	}
	rate := t.settings.PreopenRate * t.slowStartFraction(now, endpoint)
	return time.Duration(float64(t.settings.Agents) / rate * float64(time.Second))
}

// slowStartFraction is the fraction of its capacity that an endpoint has: it rises linearly from
// Settings.SlowStartInitialFraction to 1 over Settings.SlowStartWindow.
func (t *Table) slowStartFraction(now time.Duration, endpoint *Endpoint) float64 {
	initial, window := t.settings.SlowStartInitialFraction, t.settings.SlowStartWindow
	age := now - endpoint.startedAt
	if endpoint.startedAt == 0 || window <= 0 || age >= window {
		return 1
	}
	return initial + (1-initial)*float64(max(0, age))/float64(window)
}
