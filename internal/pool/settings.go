package pool

import (
	"errors"
	"fmt"
	"time"
)

// ReuseOrder selects which idle connection of an endpoint is reused first.
type ReuseOrder int

// The reuse orders.
const (
	MostRecentlyUsed  ReuseOrder = iota // lets surplus connections expire
	LeastRecentlyUsed                   // keeps all connections in use, so that none expires from being idle
	FewestRequests                      // spreads requests evenly over the connections
)

// Settings configure the connections of one agent.
type Settings struct {
	MaxConnections           int // connections that are open or opening
	MaxPerEndpoint           int // connections to one endpoint that are open or opening
	MaxHandshakes            int // concurrent handshakes
	MaxHandshakesPerEndpoint int // concurrent handshakes with one endpoint; reduced after a failed one

	MaxWaiters     int           // requests that may wait for a connection concurrently
	AcquireTimeout time.Duration // limit on each wait

	ReuseOrder  ReuseOrder
	MaxAge      time.Duration // 0 means no limit
	AgeJitter   float64       // fraction of MaxAge by which age limits are randomly shortened, 0 to 1
	MaxRequests int           // requests on one connection; 0 means no limit

	Quarantine time.Duration // how long a connection carries no request after an answer; 0 means none

	ServerIdleTimeout         time.Duration // idle time after which endpoints are expected to close a connection
	IdleFraction              float64       // fraction of ServerIdleTimeout up to which an idle connection is reused; above 0, at most 1
	MinIdleLimit              time.Duration // lower bound of the learned idle limit
	IdleLimitDoublingTime     time.Duration // time in which a learned idle limit doubles as it recovers
	NonIdempotentIdleFraction float64       // fraction of a learned idle limit that applies to requests that must not be repeated, 0 to 1

	// An endpoint's older connections become suspect after SuspectAfterFailures, and also after a single release with ClosedByServer. 0
	// disables both.
	SuspectAfterFailures int           // consecutive failed exchanges
	SuspectWindow        time.Duration // period in which those failures must occur
	CloseSuspect         bool          // close suspect connections; otherwise they carry only requests that may be repeated

	PreopenRate    float64 // connections per second that all agents together open in advance to one endpoint; 0 disables
	PreopenMaxIdle int     // upper bound on the idle connections to one endpoint that an agent maintains by opening in advance
	PreopenMinIdle int     // lower bound on them, at any request rate
	Agents         int     // number of agents that share the endpoints

	SlowStartInitialFraction float64       // fraction of its capacity that an endpoint has when it starts; above 0, at most 1
	SlowStartWindow          time.Duration // time from its start until an endpoint has full capacity; 0 disables slow start
}

// DefaultSettings returns the settings of an agent that may hold maxConnections connections.
func DefaultSettings(maxConnections int) Settings {
	return Settings{
		MaxConnections:           maxConnections,
		MaxPerEndpoint:           max(1, maxConnections/4),
		MaxHandshakes:            max(4, maxConnections/4),
		MaxHandshakesPerEndpoint: max(2, maxConnections/8),

		MaxWaiters:     max(1, maxConnections),
		AcquireTimeout: time.Second,

		Quarantine: 10 * time.Millisecond,

		ServerIdleTimeout:         10 * time.Second,
		IdleFraction:              0.8,
		MinIdleLimit:              250 * time.Millisecond,
		IdleLimitDoublingTime:     30 * time.Second,
		NonIdempotentIdleFraction: 0.5,

		SuspectAfterFailures: 2,
		SuspectWindow:        10 * time.Second,
		CloseSuspect:         true,

		PreopenMaxIdle: 2,
		Agents:         1,
	}
}

// Errors of Validate.
var (
	errNoCapacity = errors.New("the limits on connections and handshakes must be at least 1, and the limit on waiters at least 0")
	errQuarantine = errors.New("the quarantine after an answer must not be negative")
	errDuration   = errors.New("the acquire timeout, idle timeout, minimum idle limit, doubling time and suspect window must be above 0")
	errFraction   = errors.New("the idle fraction must be above 0 and at most 1, the other fractions from 0 to 1")
	errLimit      = errors.New("limits and rates must not be negative")
	errSlowStart  = errors.New("there must be at least one agent, and with a slow start window the initial fraction must be above 0 and at most 1")
)

// Validate returns an error if a Table cannot work with the settings.
func (s *Settings) Validate() error {
	switch {
	case s.MaxConnections < 1 || s.MaxPerEndpoint < 1 || s.MaxHandshakes < 1 || s.MaxHandshakesPerEndpoint < 1 || s.MaxWaiters < 0:
		return fmt.Errorf("%w, got MaxConnections %d, MaxPerEndpoint %d, MaxHandshakes %d, MaxHandshakesPerEndpoint %d, MaxWaiters %d",
			errNoCapacity, s.MaxConnections, s.MaxPerEndpoint, s.MaxHandshakes, s.MaxHandshakesPerEndpoint, s.MaxWaiters)
	case s.Quarantine < 0:
		return fmt.Errorf("%w, got Quarantine %v", errQuarantine, s.Quarantine)
	case s.AcquireTimeout <= 0 || s.ServerIdleTimeout <= 0 || s.MinIdleLimit <= 0 || s.IdleLimitDoublingTime <= 0 || s.SuspectWindow <= 0:
		return fmt.Errorf("%w, got AcquireTimeout %v, ServerIdleTimeout %v, MinIdleLimit %v, IdleLimitDoublingTime %v, SuspectWindow %v",
			errDuration, s.AcquireTimeout, s.ServerIdleTimeout, s.MinIdleLimit, s.IdleLimitDoublingTime, s.SuspectWindow)
	case s.IdleFraction <= 0 || s.IdleFraction > 1:
		return fmt.Errorf("%w, got IdleFraction %v", errFraction, s.IdleFraction)
	case s.NonIdempotentIdleFraction < 0 || s.NonIdempotentIdleFraction > 1 || s.AgeJitter < 0 || s.AgeJitter > 1:
		return fmt.Errorf("%w, got NonIdempotentIdleFraction %v, AgeJitter %v", errFraction, s.NonIdempotentIdleFraction, s.AgeJitter)
	case s.MaxAge < 0 || s.MaxRequests < 0 || s.SuspectAfterFailures < 0 || s.PreopenRate < 0 || s.PreopenMaxIdle < 0 || s.PreopenMinIdle < 0:
		return fmt.Errorf("%w, got MaxAge %v, MaxRequests %d, SuspectAfterFailures %d, PreopenRate %v, PreopenMaxIdle %d, PreopenMinIdle %d",
			errLimit, s.MaxAge, s.MaxRequests, s.SuspectAfterFailures, s.PreopenRate, s.PreopenMaxIdle, s.PreopenMinIdle)
	case s.Agents < 1 || s.SlowStartWindow > 0 && (s.SlowStartInitialFraction <= 0 || s.SlowStartInitialFraction > 1):
		return fmt.Errorf("%w, got Agents %d, SlowStartWindow %v, SlowStartInitialFraction %v",
			errSlowStart, s.Agents, s.SlowStartWindow, s.SlowStartInitialFraction)
	}
	return nil
}
