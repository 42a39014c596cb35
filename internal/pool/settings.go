package pool

import (
	"errors"
	"time"
)

// Order says which of a server's idle connections is used first.
type Order int

// The orders.
const (
	Newest Order = iota // used last: those not needed grow old and close
	Oldest              // unused for longest: all stay warm, and none closes for being idle
	Fewest              // fewest uses: wear is spread
)

// Settings bound the connections and say how they are used. All limits hold for one agent.
type Settings struct {
	Most           int // connections in all, open or being opened
	PerNode        int // of one server
	Opening        int // handshakes at once
	OpeningPerNode int // to one server; fewer while it starts or after one has failed

	Waiting int           // attempts that may wait for a connection at a time
	Wait    time.Duration // for so long; a handshake must be over by then, too

	Order     Order
	MaxAge    time.Duration // 0: any
	AgeJitter float64       // the part of MaxAge by which connections' ages are spread, 0 to 1
	MaxUses   int           // requests on one connection; 0: any number

	// Rest is how long a connection stays unused after an answer: a server may send a second one some milliseconds late.
	Rest time.Duration

	Idle      time.Duration // servers close what is idle for longer
	IdlePart  float64       // of that a connection is used, as a request that crosses the close is lost with it
	IdleLeast time.Duration // the limit that is learnt never falls below
	IdleHeal  time.Duration // in which it doubles again after it fell
	SurePart  float64       // of the limit: idle for longer, a connection carries what must not repeat only where no fresh one is to be had

	SuspectFailures int           // broken exchanges in a row with a server after which its older connections are suspect; 0: never
	SuspectWithin   time.Duration // if they come within this time
	SuspectClose    bool          // close suspect ones, in place of trying them first with what may be repeated

	AheadRate float64       // connections that all agents together open ahead of need on one server, a second; 0: none
	AheadMost int           // idle ones that one agent has for that on one server
	AheadKeep int           // and at least, whatever comes
	Agents    int           // that share the servers
	ColdFrom  float64       // a server that starts takes this share of what it takes when warm
	ColdFor   time.Duration // and all of it after this time
}

// DefaultSettings are those of an agent of which nothing is said, with so many places in all.
func DefaultSettings(most int) Settings {
	return Settings{
		Most: most, PerNode: max(1, most/4), Opening: max(4, most/4), OpeningPerNode: max(2, most/8),
		Waiting: max(1, most), Wait: time.Second,
		Rest: 10 * time.Millisecond, IdlePart: 0.8, Idle: 10 * time.Second, IdleLeast: 250 * time.Millisecond, IdleHeal: 30 * time.Second, SurePart: 0.5,
		SuspectFailures: 2, SuspectWithin: 10 * time.Second, SuspectClose: true,
		AheadMost: 2, Agents: 1,
	}
}

// Check says what is wrong with the settings.
func (s *Settings) Check() error {
	switch {
	case s.Most < 1 || s.PerNode < 1 || s.Opening < 1 || s.OpeningPerNode < 1 || s.Waiting < 0:
		return errors.New("there must be room for a connection and a handshake")
	case s.Rest < 0:
		return errors.New("the rest after an answer must not be below 0")
	case s.Wait <= 0 || s.Idle <= 0 || s.IdleLeast <= 0 || s.IdleHeal <= 0 || s.SuspectWithin <= 0:
		return errors.New("the times to wait, to stand idle, to heal and to count failures must be above 0")
	case s.IdlePart <= 0 || s.IdlePart > 1 || s.SurePart < 0 || s.SurePart > 1 || s.AgeJitter < 0 || s.AgeJitter > 1:
		return errors.New("a part must be from 0 to 1")
	case s.MaxAge < 0 || s.MaxUses < 0 || s.SuspectFailures < 0 || s.AheadRate < 0 || s.AheadMost < 0 || s.AheadKeep < 0:
		return errors.New("no limit may be below 0")
	case s.Agents < 1 || s.ColdFor > 0 && (s.ColdFrom <= 0 || s.ColdFrom > 1):
		return errors.New("there must be an agent, and a cold share above 0 and at most 1")
	}
	return nil
}
