package pool

import (
	"errors"
	"time"
)

// ReuseOrder says which of a server's idle connections is used first.
type ReuseOrder int

// The orders.
const (
	MostRecentlyUsed  ReuseOrder = iota // used last: those not needed grow old and close
	LeastRecentlyUsed                   // unused for longest: all stay warm, and none closes for being idle
	FewestRequests                      // fewest uses: wear is spread
)

// Settings bound the connections and say how they are used. All limits hold for one agent.
type Settings struct {
	MaxConnections           int // connections in all, open or being opened
	MaxPerEndpoint           int // of one server
	MaxHandshakes            int // handshakes at once
	MaxHandshakesPerEndpoint int // to one server; fewer while it starts or after one has failed

	MaxWaiters     int           // attempts that may wait for a connection at a time
	AcquireTimeout time.Duration // for so long; a handshake must be over by then, too

	ReuseOrder  ReuseOrder
	MaxAge      time.Duration // 0: any
	AgeJitter   float64       // the part of MaxAge by which connections' ages are spread, 0 to 1
	MaxRequests int           // requests on one connection; 0: any number

	// Rest is how long a connection stays unused after an answer: a server may send a second one some milliseconds late.
	Quarantine time.Duration

	ServerIdleTimeout         time.Duration // servers close what is idle for longer
	IdleFraction              float64       // of that a connection is used, as a request that crosses the close is lost with it
	MinIdleLimit              time.Duration // the limit that is learnt never falls below
	IdleLimitDoublingTime     time.Duration // in which it doubles again after it fell
	NonIdempotentIdleFraction float64       // of the limit: idle for longer, a connection carries what must not repeat only where no fresh one is to be had

	SuspectAfterFailures int           // broken exchanges in a row with a server after which its older connections are suspect; 0: never
	SuspectWindow        time.Duration // if they come within this time
	CloseSuspect         bool          // close suspect ones, in place of trying them first with what may be repeated

	PreopenRate              float64       // connections that all agents together open ahead of need on one server, a second; 0: none
	PreopenMaxIdle           int           // idle ones that one agent has for that on one server
	PreopenMinIdle           int           // and at least, whatever comes
	Agents                   int           // that share the servers
	SlowStartInitialFraction float64       // a server that starts takes this share of what it takes when warm
	SlowStartWindow          time.Duration // and all of it after this time
}

// DefaultSettings are those of an agent of which nothing is said, with so many places in all.
func DefaultSettings(most int) Settings {
	return Settings{
		MaxConnections: most, MaxPerEndpoint: max(1, most/4), MaxHandshakes: max(4, most/4), MaxHandshakesPerEndpoint: max(2, most/8),
		MaxWaiters: max(1, most), AcquireTimeout: time.Second,
		Quarantine: 10 * time.Millisecond, IdleFraction: 0.8, ServerIdleTimeout: 10 * time.Second, MinIdleLimit: 250 * time.Millisecond, IdleLimitDoublingTime: 30 * time.Second, NonIdempotentIdleFraction: 0.5,
		SuspectAfterFailures: 2, SuspectWindow: 10 * time.Second, CloseSuspect: true,
		PreopenMaxIdle: 2, Agents: 1,
	}
}

// Validate says what is wrong with the settings.
func (s *Settings) Validate() error {
	switch {
	case s.MaxConnections < 1 || s.MaxPerEndpoint < 1 || s.MaxHandshakes < 1 || s.MaxHandshakesPerEndpoint < 1 || s.MaxWaiters < 0:
		return errors.New("there must be room for a connection and a handshake")
	case s.Quarantine < 0:
		return errors.New("the rest after an answer must not be below 0")
	case s.AcquireTimeout <= 0 || s.ServerIdleTimeout <= 0 || s.MinIdleLimit <= 0 || s.IdleLimitDoublingTime <= 0 || s.SuspectWindow <= 0:
		return errors.New("the times to wait, to stand idle, to heal and to count failures must be above 0")
	case s.IdleFraction <= 0 || s.IdleFraction > 1 || s.NonIdempotentIdleFraction < 0 || s.NonIdempotentIdleFraction > 1 || s.AgeJitter < 0 || s.AgeJitter > 1:
		return errors.New("a part must be from 0 to 1")
	case s.MaxAge < 0 || s.MaxRequests < 0 || s.SuspectAfterFailures < 0 || s.PreopenRate < 0 || s.PreopenMaxIdle < 0 || s.PreopenMinIdle < 0:
		return errors.New("no limit may be below 0")
	case s.Agents < 1 || s.SlowStartWindow > 0 && (s.SlowStartInitialFraction <= 0 || s.SlowStartInitialFraction > 1):
		return errors.New("there must be an agent, and a cold share above 0 and at most 1")
	}
	return nil
}
