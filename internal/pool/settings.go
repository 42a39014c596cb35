package pool

import (
	"errors"
	"time"
)

// ReuseOrder says which of an endpoint's idle connections is used first.
type ReuseOrder int

// The orders.
const (
	MostRecentlyUsed  ReuseOrder = iota // connections that are not needed expire
	LeastRecentlyUsed                   // all stay in use, and none expires for being idle
	FewestRequests                      // spreads the requests evenly
)

// Settings limit the connections of one agent and say how they are used.
type Settings struct {
	MaxConnections           int // open or opening
	MaxPerEndpoint           int // of these to one endpoint
	MaxHandshakes            int // under way at a time
	MaxHandshakesPerEndpoint int // of these with one endpoint; fewer after one has failed

	MaxWaiters     int           // requests that may wait for a connection at a time
	AcquireTimeout time.Duration // how long each may wait

	ReuseOrder  ReuseOrder
	MaxAge      time.Duration // 0: no limit
	AgeJitter   float64       // fraction of MaxAge by which the ages of connections are spread, 0 to 1
	MaxRequests int           // on one connection; 0: no limit

	Quarantine time.Duration // how long a connection is unused after an answer; 0: none

	ServerIdleTimeout         time.Duration // endpoints close connections that are idle for longer
	IdleFraction              float64       // of that timeout a connection is used; above 0, at most 1
	MinIdleLimit              time.Duration // the learned limit never falls below
	IdleLimitDoublingTime     time.Duration // in which a learned limit doubles again
	NonIdempotentIdleFraction float64       // of a learned limit, for requests that must not be repeated; 0 to 1

	SuspectAfterFailures int           // failed exchanges in a row after which an endpoint's older connections are suspect; 0: never
	SuspectWindow        time.Duration // within which the failures must come
	CloseSuspect         bool          // close suspect connections; else they carry requests that may be repeated

	PreopenRate    float64 // connections a second that all agents together open in advance on one endpoint; 0: none
	PreopenMaxIdle int     // idle connections to one endpoint up to which one agent opens in advance
	PreopenMinIdle int     // idle connections to one endpoint at any request rate
	Agents         int     // that share the endpoints

	SlowStartInitialFraction float64       // of its capacity that a started endpoint has at first; above 0, at most 1
	SlowStartWindow          time.Duration // until it has all of it; 0: no slow start
}

// DefaultSettings are those of an agent that may have so many connections.
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
	errNoCapacity = errors.New("there must be capacity for a connection and a handshake, and no limit on waiters below 0")
	errQuarantine = errors.New("the quarantine after an answer must not be below 0")
	errDuration   = errors.New("the times to wait, to be idle, to recover and to count failures must be above 0")
	errFraction   = errors.New("a fraction must be from 0 to 1")
	errLimit      = errors.New("no limit may be below 0")
	errSlowStart  = errors.New("there must be an agent, and an initial fraction of slow start above 0 and at most 1")
)

// Validate returns an error for settings that a Table can't work with.
func (s *Settings) Validate() error {
	switch {
	case s.MaxConnections < 1 || s.MaxPerEndpoint < 1 || s.MaxHandshakes < 1 || s.MaxHandshakesPerEndpoint < 1 || s.MaxWaiters < 0:
		return errNoCapacity
	case s.Quarantine < 0:
		return errQuarantine
	case s.AcquireTimeout <= 0 || s.ServerIdleTimeout <= 0 || s.MinIdleLimit <= 0 || s.IdleLimitDoublingTime <= 0 || s.SuspectWindow <= 0:
		return errDuration
	case s.IdleFraction <= 0 || s.IdleFraction > 1:
		return errFraction
	case s.NonIdempotentIdleFraction < 0 || s.NonIdempotentIdleFraction > 1 || s.AgeJitter < 0 || s.AgeJitter > 1:
		return errFraction
	case s.MaxAge < 0 || s.MaxRequests < 0 || s.SuspectAfterFailures < 0 || s.PreopenRate < 0 || s.PreopenMaxIdle < 0 || s.PreopenMinIdle < 0:
		return errLimit
	case s.Agents < 1 || s.SlowStartWindow > 0 && (s.SlowStartInitialFraction <= 0 || s.SlowStartInitialFraction > 1):
		return errSlowStart
	}
	return nil
}
