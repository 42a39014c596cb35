// Package budget holds overload as a fleet matter: how much of what comes in an agent takes, in which order by worth it sheds
// the rest, and how many retries and probes it may add, so that the retries and probes of all agents together stay bounded.
//
// It decides only; it does no I/O and reads no clock: times are given to it as durations since some start, above 0, and one
// owner calls it (the core's loop). Without peers each agent reaches its level by itself, from what the nodes answer (level);
// with peers (Peers) the levels of all are one budget.
package budget

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"
	"time"
)

// Settings say how the level moves and what retries and probes may cost. Zero values are not valid: see Defaults.
type Settings struct {
	TargetOverloadRatio float64       // share of attempts that may meet overload (turned away, timed out) where all demand is taken: above 0, below 1
	FairnessGain        float64       // a level that takes a share s bears Target times 1 + Lean ln(1/s): from 0 to 10
	MaxStep             float64       // an attempt that meets overload cuts the rate by this, as an exponent of e: above 0 up to 2
	StepsPerSecond      float64       // and all attempts of a second by at most this times their rate of overload, likewise: above 0 up to 100
	MinServedFraction   float64       // but not below this part of what nodes served of late: from 0 to below 1
	HeadroomFactor      float64       // the rate is at most this many times the highest rate sent of late: from 1 to 100
	HeadroomRate        float64       // and so many requests a second more: 0 or more
	InitialRate         float64       // the rate of an agent that has just started, requests a second: above 0
	MinRate             float64       // the rate never falls below this, requests a second, so that news of recovery still comes: above 0
	BurstWindow         time.Duration // a burst may bring what is asked for in such a time at once, and leastBurst requests more: up to a minute
	AveragingWindow     time.Duration // over which demand and what was sent are counted: from 100 ms to an hour
	RetryRatio          float64       // retries at most this share of first tries: 0 to 1
	FleetRetryRate      float64       // and this many a second more, for all agents of the fleet together: 0 or more
	Agents              int           // of the fleet: 1 or more
	HealthCheckRatio    float64       // probes at most this share of first tries: 0 to 1
	MaxRetryAfter       time.Duration // the longest come-back time that a shed request is given; 0 for none
}

// Defaults are the settings that the figures in docs/overload.md were measured with.
func Defaults() Settings {
	return Settings{TargetOverloadRatio: 0.025, FairnessGain: 1, MaxStep: 0.05, StepsPerSecond: 3, MinServedFraction: 0.7, HeadroomFactor: 2, HeadroomRate: 5, InitialRate: 20, MinRate: 0.5, BurstWindow: 250 * time.Millisecond,
		AveragingWindow: time.Second, RetryRatio: 0.1, FleetRetryRate: 10, Agents: 1, HealthCheckRatio: 0.01}
}

// Check says what is wrong with settings.
func (s Settings) Check() error {
	var all []error
	wrong := func(bad bool, what string) {
		if bad {
			all = append(all, errors.New(what))
		}
	}
	wrong(!(s.TargetOverloadRatio > 0 && s.TargetOverloadRatio < 1), "target must be above 0 and below 1")
	wrong(!(s.FairnessGain >= 0 && s.FairnessGain <= 10), "lean must be from 0 to 10")
	wrong(!(s.MaxStep > 0 && s.MaxStep <= 2), "step must be above 0, up to 2")
	wrong(!(s.StepsPerSecond > 0 && s.StepsPerSecond <= 100), "gain must be above 0 up to 100")
	wrong(!(s.MinServedFraction >= 0 && s.MinServedFraction < 1), "keep must be from 0 to below 1")
	wrong(!(s.HeadroomFactor >= 1 && s.HeadroomFactor <= 100), "headroom must be from 1 to 100")
	wrong(!(s.HeadroomRate >= 0 && s.HeadroomRate <= 1e6), "spare must be from 0 to 1000000")
	wrong(!(s.InitialRate > 0 && s.InitialRate <= 1e6) || !(s.MinRate > 0 && s.MinRate <= s.InitialRate), "start must be above 0 up to 1000000, and least above 0 up to start")
	wrong(s.BurstWindow < 0 || s.BurstWindow > time.Minute, "burst must be from 0s to 1m")
	wrong(s.AveragingWindow < 100*time.Millisecond || s.AveragingWindow > time.Hour, "memory must be from 100ms to 1h")
	wrong(!(s.RetryRatio >= 0 && s.RetryRatio <= 1) || !(s.HealthCheckRatio >= 0 && s.HealthCheckRatio <= 1), "retries and probes must be from 0 to 1")
	wrong(!(s.FleetRetryRate >= 0 && s.FleetRetryRate <= 1e6), "floor must be from 0 to 1000000")
	wrong(s.Agents < 1, "agents must be 1 or more")
	wrong(s.MaxRetryAfter < 0, "longest must not be below 0")
	return errors.Join(all...)
}

// Stats are what the budget has done, for operators. Counts only grow.
type Stats struct {
	AdmittedFraction   float64         `json:"Admitted"`     // the share of demand that the level takes at present
	AllowedRate        float64         `json:"Rate"`         // requests a second that it lets through
	DemandRate         float64         `json:"Demand"`       // requests a second that are asked for
	FleetRate          float64         `json:"Fleet"`        // the rate of all agents together, where peers tell theirs; else 0
	Shed               int64           `json:"Shed"`         // requests refused by the level
	ShedInOrder        int64           `json:"ShedInOrder"`  // of them, those shed as worthier demand fills the level
	RetriesDenied      int64           `json:"Withheld"`     // retries not sent, as the budget had none
	HealthChecksDenied int64           `json:"ProbesDenied"` // probes not sent
	Overloads          int64           `json:"Overloads"`    // attempts that met overload
	SelfOverloads      int64           `json:"Pressed"`      // times that the agent itself was over
	OwnRate            float64         `json:"Level"`        // requests a second that its own level would let through
	Priorities         []PriorityStats `json:"Worths"`
}

// PriorityStats are those of one worth, the highest first.
type PriorityStats struct {
	Priority   float64 `json:"Worth"`
	DemandRate float64 `json:"Demand"` // requests a second that are asked for
	Shed       int64   `json:"Shed"`   // requests refused by the level
}

// Budget is one agent's part of the fleet's budgets. Its zero value is not usable: see New.
type Budget struct {
	set     Settings
	level   level
	own     float64 // part of the level that the agent's own load leaves: leastOwn to 1
	jam     float64 // part of what is let through that late answers leave: leastJam to 1
	now     time.Duration
	demand  []worthRate // highest worth first
	latest  rate        // of all that is asked for, in latestMemory
	room    float64     // requests that may be let through now
	retries float64     // retries that may be sent
	probes  float64     // probes that may be sent
	figs    Stats

	heard     time.Duration // when peers last told
	fleetRate float64       // the rates of the peers
	others    []Demand      // their demand, highest worth first
}

type worthRate struct {
	worth float64
	rate
	shed int64
}

// latestMemory is how soon the onset of a surge is seen, and its end.
const latestMemory = 250 * time.Millisecond

const leastBurst = 4 // requests that may come at once, however few are asked for

// New returns a budget of an agent that has just started.
func New(set Settings) (*Budget, error) {
	if err := set.Check(); err != nil {
		return nil, fmt.Errorf("budget: %w", err)
	}
	return &Budget{set: set, level: newLevel(set), own: 1, jam: 1, room: leastBurst, retries: leastTokens}, nil
}

// Decision is what the budget says of a request that arrives.
type Decision struct {
	Admit      bool
	RetryAfter time.Duration // a come-back time for one that is shed; 0 for none
}

// Admit counts a request of a worth and says whether to take it. The rate is filled with demand from the highest worth down:
// what it covers is taken while there is room; the class at its edge while there is more room than the worthier may need at
// once, which is the more the more of the rate is theirs; and what is below is shed, unless the room lies unused. So
// place-order, the worthiest, is shed last.
func (b *Budget) Admit(now time.Duration, worth float64) Decision {
	b.advance(now)
	b.count(worth)
	b.latest.add(now, latestMemory, 1)
	above, of, all := b.fill(now, worth)
	needs, covered := 1.0, above+of <= all
	inOrder := !covered && above >= all
	if inOrder {
		needs = b.depth() - 1
	} else if !covered {
		needs += above / all * (b.depth() - 2)
	}
	if b.room >= needs {
		b.room--
		b.level.pass(now)
		b.retries = min(b.retries+b.set.RetryRatio, b.mostRetries())
		b.probes = min(b.probes+b.set.HealthCheckRatio, leastTokens)
		return Decision{Admit: true}
	}
	b.figs.Shed++
	if i, found := b.search(worth); found { // else it is counted with the lowest that is kept
		b.demand[i].shed++
	} else {
		b.demand[len(b.demand)-1].shed++
	}
	if inOrder {
		b.figs.ShedInOrder++
	}
	return Decision{RetryAfter: b.comeBack(now)}
}

// comeBack is about how long the rate takes to rise to the demand, if the nodes turn nothing away meanwhile.
func (b *Budget) comeBack(now time.Duration) time.Duration {
	if b.set.MaxRetryAfter <= 0 {
		return 0
	}
	share := b.share(now)
	perSecond := b.set.MaxStep * b.level.bears(share) * max(1, b.rate()) // exponent of e by which the rate rises
	return min(b.set.MaxRetryAfter, time.Duration(max(math.Log(1/share)/perSecond, leastComeBack)*float64(time.Second)))
}

// leastComeBack is the come-back time, in seconds, of a request that found a burst before it.
const leastComeBack = 0.1

// count adds an arrival of a worth to the demand.
func (b *Budget) count(worth float64) {
	i, found := b.search(worth)
	if !found {
		if len(b.demand) >= MaxPriorities {
			i = len(b.demand) - 1 // the lowest kept stands for all below
		} else {
			// As old as the budget: a class that begins to come is read by the memory, not by its own youth.
			b.demand = slices.Insert(b.demand, i, worthRate{worth: worth, rate: rate{begun: b.level.sent.begun, last: b.now}})
		}
	}
	b.demand[i].add(b.now, b.set.AveragingWindow, 1)
}

// onset is by how many times more comes in the latest moment than the count of demand has: at the onset of a surge, before it has
// followed, the worthiest would be taken for as few as they were. What chance brings is passed over.
func (b *Budget) onset(now time.Duration) float64 {
	asked, latest := b.asked(now), b.latest.perSecond(now, latestMemory)
	if latest > asked && !likely(asked, latest) {
		return latest / max(1, asked)
	}
	return 1
}

// search is where a worth is in the demand, or belongs.
func (b *Budget) search(worth float64) (i int, found bool) {
	return slices.BinarySearchFunc(b.demand, worth, func(d worthRate, w float64) int { return cmp.Compare(w, d.worth) })
}

// asked is all that is asked for, requests a second.
func (b *Budget) asked(now time.Duration) (sum float64) {
	for i := range b.demand {
		sum += b.demand[i].perSecond(now, b.set.AveragingWindow)
	}
	return sum
}

// Outcome is what became of an attempt, as the budget needs it.
type Outcome struct {
	Overloaded bool          // turned away unseen or timed out: the node had no room
	SentAt     time.Duration // when the attempt was sent
}

// AttemptEnded counts the outcome of an attempt.
func (b *Budget) AttemptEnded(now time.Duration, o Outcome) {
	b.advance(now)
	if o.Overloaded {
		b.figs.Overloads++
	}
	b.level.outcome(now, o, b.asked(now))
}

// AdmittedFraction is the share of demand that is taken at present.
func (b *Budget) AdmittedFraction() float64 { return b.share(b.now) }

func (b *Budget) share(now time.Duration) float64 {
	if asked := b.asked(now); asked > 0 {
		return min(1, b.allowed(now)/asked)
	}
	return 1
}

// depth is how much room may be saved up, requests: for what chance brings of what is asked for. Savings of a rate that nobody
// asks for would all go out in the first moment of a surge, at all agents in the same.
func (b *Budget) depth() float64 {
	return leastBurst + min(b.rate(), b.asked(b.now))*b.set.BurstWindow.Seconds()
}

// leastTokens may always be saved, so that what is earned in parts is not cut off at a whole one.
const leastTokens = 2

// floor is this agent's part of the fleet's floor of retries, a second.
func (b *Budget) floor() float64 { return b.set.FleetRetryRate / float64(b.set.Agents) }

// mostRetries bounds what may be saved: the floor's part for one second.
func (b *Budget) mostRetries() float64 { return max(leastTokens, b.floor()) }

// AllowRetry says whether a retry may be sent, and spends one if so. Retries are earned as a share of first tries; the floor lets
// a quiet agent retry at all.
func (b *Budget) AllowRetry(now time.Duration) bool {
	b.advance(now)
	if b.retries >= 1 {
		b.retries--
		return true
	}
	b.figs.RetriesDenied++
	return false
}

// AllowHealthCheck says whether a probe may be sent, and spends one if so.
func (b *Budget) AllowHealthCheck() bool {
	if b.probes >= 1 {
		b.probes--
		return true
	}
	b.figs.HealthChecksDenied++
	return false
}

// advance brings the budget to a time: the level, and the room and retries earned since.
func (b *Budget) advance(now time.Duration) {
	if now <= b.now {
		return
	}
	b.level.together = b.together(now)
	b.level.advance(now, b.asked(now))
	b.level.recover(b.asked(now), b.latest.perSecond(now, latestMemory))
	if b.now > 0 {
		passed := (now - b.now).Seconds()
		b.room = min(b.room+b.allowed(now)*passed, b.depth())
		b.retries = min(b.retries+b.floor()*passed, b.mostRetries())
	}
	b.now = now
}

// Stats returns what it has done.
func (b *Budget) Stats() Stats {
	f := b.figs
	f.AdmittedFraction, f.AllowedRate, f.DemandRate = b.AdmittedFraction(), b.allowed(b.now), b.asked(b.now)
	f.OwnRate = b.rate()
	for i := range b.demand {
		d := &b.demand[i]
		f.Priorities = append(f.Priorities, PriorityStats{d.worth, d.perSecond(b.now, b.set.AveragingWindow), d.shed})
	}
	if b.together(b.now) {
		f.FleetRate = b.fleetRate + b.rate()
	}
	return f
}
