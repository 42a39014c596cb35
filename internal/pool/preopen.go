package pool

import (
	"math"
	"time"
)

const (
	handshakeTimeWeight = 0.2         // weight of a new sample in the smoothed handshake duration
	requestRateDecay    = time.Second // time constant of the smoothed request rate
	minPreopenDemand    = 0.05        // mean requests during one handshake below which only Settings.PreopenMinIdle applies
)

// demand estimates how many requests arrive for one endpoint while a handshake with it is in progress.
type demand struct {
	requestRate      float64       // requests per second, smoothed, as of rateAt
	rateAt           time.Duration // time of the last recorded request, or at which the endpoint was added
	handshakeSeconds float64       // smoothed; 0 before the first successful handshake
	nextPreopen      time.Duration // earliest time at which the next connection may be opened in advance
}

// recordRequest adds one request to the rate.
func (d *demand) recordRequest(now time.Duration) {
	d.requestRate = d.rateNow(now) + 1/requestRateDecay.Seconds()
	d.rateAt = now
}

// rateNow returns the request rate per second, decayed until now.
func (d *demand) rateNow(now time.Duration) float64 {
	return d.requestRate * math.Exp(-float64(now-d.rateAt)/float64(requestRateDecay))
}

// recordHandshake adds the duration of a handshake to the smoothed one.
func (d *demand) recordHandshake(seconds float64) {
	if d.handshakeSeconds == 0 {
		d.handshakeSeconds = seconds
	}
	d.handshakeSeconds += handshakeTimeWeight * (seconds - d.handshakeSeconds)
}

// idleTarget returns how many idle connections to keep to the endpoint. At a steady rate the number of requests that arrive during
// one handshake is Poisson distributed; the target is its mean plus two standard deviations.
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
// Failure: all agents learn of a restarted endpoint at the same moment and flood it with handshakes while it is warming. The
// endpoint sees a burst of new connections. Settings.PreopenRate bounds the sum over all agents: each agent opens connections at
// its share of that rate, reduced during slow start, and at random times.
func (t *Table) preopen(now time.Duration, endpoint *Endpoint) {
	if !t.mayPreopen(now, endpoint) {
		return
	}
	endpoint.demand.nextPreopen = now + time.Duration((0.5+t.rng.Float64())*float64(t.preopenInterval(now, endpoint)))
	t.stats.Preopened++
	t.startHandshake(now, endpoint, true)
}

// mayPreopen reports whether a connection is to be opened in advance now. None is opened while requests wait for the endpoint,
// while its last handshake failed, or if that would require closing another connection.
func (t *Table) mayPreopen(now time.Duration, endpoint *Endpoint) bool {
	switch {
	case t.settings.PreopenRate <= 0, now < endpoint.demand.nextPreopen:
		return false
	case endpoint.failedHandshakes > 0, len(endpoint.waiters) > 0:
		return false
	case t.connectionCount() >= t.settings.MaxConnections, !t.canStartHandshake(endpoint):
		return false
	}
	return len(endpoint.idle)+endpoint.handshakes < endpoint.demand.idleTarget(&t.settings, now)
}

// preopenInterval returns the mean time between two connections that one agent opens in advance to an endpoint.
func (t *Table) preopenInterval(now time.Duration, endpoint *Endpoint) time.Duration {
	if t.settings.PreopenRate <= 0 {
		return 0
	}
	rate := t.settings.PreopenRate * t.slowStartFraction(now, endpoint)
	return time.Duration(float64(t.settings.Agents) / rate * float64(time.Second))
}

// slowStartFraction returns the fraction of its full capacity that an endpoint has. It rises linearly from
// Settings.SlowStartInitialFraction to 1 over Settings.SlowStartWindow.
func (t *Table) slowStartFraction(now time.Duration, endpoint *Endpoint) float64 {
	initial, window := t.settings.SlowStartInitialFraction, t.settings.SlowStartWindow
	age := now - endpoint.startedAt
	if endpoint.startedAt == 0 || window <= 0 || age >= window {
		return 1
	}
	return initial + (1-initial)*float64(max(0, age))/float64(window)
}
