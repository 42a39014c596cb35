package budget

import (
	"math"
	"time"
)

// rateController is the rate of requests that an agent admits, moved by how its attempts end.
//
// Rule: an attempt that meets overload lowers the rate by a step, any other raises it by the step times the tolerated share of
// overload. So the rate holds still where endpoints reject that share of attempts, and it moves by events and not by intervals: an
// agent with few outcomes moves less often, not further. Steps are exponents of e. The tolerated share grows as the admitted fraction
// falls (fairness), so that of two agents before the same endpoints the one that admits more is lowered until both admit alike.
//
// It guards against the metastable state in which every agent sheds most of its requests, yet the sum of what they send keeps
// every endpoint's queue full. Rates are requests a second.
type rateController struct {
	settings Settings
	rate     float64

	sent      decayingCounter // admitted requests
	served    decayingCounter // attempts that didn't meet overload
	ended     decayingCounter // attempts
	latency   time.Duration   // of served attempts, smoothed; 0 before the first
	clean     float64         // attempts in a row without overload
	peakSent  float64         // highest rate of sent, decaying
	lastCut   time.Duration   // when the rate was last lowered by an attempt
	updatedAt time.Duration

	slowStart    bool    // no attempt has met overload yet, and the rate hasn't yet covered the demand
	withPeers    bool    // the agent has fresh state of its peers
	latencySlack float64 // how far answers are within their latency objective, 0 to 1; see SetLatencyOverload
	surge        surgeDetector
}

const (
	// cutSpacing is the least time between two decreases, in usual latencies.
	cutSpacing = 0.7
	// latencySamples is over how many attempts the usual latency is smoothed.
	latencySamples = 16
	// peakDecay is the time constant of the highest rate sent: a pause between two bursts mustn't close the rate.
	peakDecay = 10 * time.Second

	// slowStartDoubling is the time in which a slow start doubles the rate.
	slowStartDoubling = 100 * time.Millisecond
	// slowStartOvershoot is what is left of the rate where overload ends a slow start: a doubling before, there was none.
	slowStartOvershoot = 0.5
	// minObservation is how long demand must have been counted to be relied on.
	minObservation = 500 * time.Millisecond

	// maxFairness is what the fairness term comes near to without peers. A higher one would keep endpoints full.
	maxFairness = 1
	// maxFairnessWithPeers bounds it with peers, where the shares are even by the exchange itself.
	maxFairnessWithPeers = 0.5
	// minFairnessFraction is the admitted fraction below which the fairness term grows no more.
	minFairnessFraction = 0.01

	// maxRiseFactor bounds by how much an increase is multiplied while there is evidence of free capacity.
	maxRiseFactor = 16
	// cleanRunOverloads is how many overloads the tolerated share lets expect in a run without any before the run is evidence. A shorter run
	// would favor busy agents, whose overload comes in bursts with longer runs between.
	cleanRunOverloads = 5
	// riseSlack is the latency slack from which on it is evidence, and riseSlackGain its weight.
	riseSlack     = 0.5
	riseSlackGain = 10
)

func newRateController(settings Settings) rateController {
	return rateController{
		settings:  settings,
		rate:      settings.InitialRate,
		sent:      newDecayingCounter(settings.AveragingWindow),
		served:    newDecayingCounter(settings.AveragingWindow),
		ended:     newDecayingCounter(settings.AveragingWindow),
		slowStart: true,
	}
}

// attemptEnded moves the rate by the outcome of an attempt, with the demand in requests a second.
func (c *rateController) attemptEnded(now time.Duration, outcome Outcome, demand float64) {
	c.advance(now, demand)
	c.ended.add(now)
	switch {
	case !outcome.Overloaded:
		c.increase(now, now-outcome.SentAt, demand)
	case c.slowStart:
		c.clean = 0
		c.endSlowStart(now, demand)
	default:
		c.clean = 0
		c.decrease(now, outcome.SentAt)
	}
}

// step is how far an attempt moves the rate, as an exponent of e. It is smaller at a busy agent, bounded over a second by
// MaxStepPerSecond: else the busy agents of a fleet would swing about the endpoints' capacity together.
func (c *rateController) step(now time.Duration) float64 {
	return min(c.settings.MaxStep, c.settings.MaxStepPerSecond/max(1, c.ended.perSecond(now)))
}

// increase raises the rate after an attempt that was served with a latency.
func (c *rateController) increase(now, latency time.Duration, demand float64) {
	c.served.add(now)
	if c.latency == 0 {
		c.latency = latency
	} else {
		c.latency += (latency - c.latency) / latencySamples
	}
	c.clean++
	tolerated := c.toleratedOverload(c.coveredFraction(demand))
	rise := c.step(now) * tolerated * c.riseFactor(tolerated)
	c.rate = min(c.maxRate(now), c.rate*math.Exp(rise))
}

// riseFactor is by how much an increase is multiplied: above 1 where a run without overload is so long that chance hardly brings it, or
// answers are well within their latency objective.
func (c *rateController) riseFactor(tolerated float64) float64 {
	cleanRun := math.Exp2(c.clean*tolerated - cleanRunOverloads)
	slack := 1 + riseSlackGain*(c.latencySlack-riseSlack)
	return min(maxRiseFactor, max(1, cleanRun, slack))
}

// decrease lowers the rate after an attempt that met overload.
//
// Attempts sent before the last decrease, or within cutSpacing latencies after it, don't count. A rejection takes no time, so at the
// onset of a surge many come back before a first decrease can show at the endpoints; a decrease for each would close the rate.
//
// Nor does the rate fall below MinServedFraction of what endpoints serve: at that moment they reject nearly all, and would stand
// idle after as many decreases.
func (c *rateController) decrease(now, sentAt time.Duration) {
	if sentAt < c.lastCut+time.Duration(cutSpacing*float64(c.latency)) {
		return
	}
	c.lastCut = now
	floor := min(c.rate, c.settings.MinServedFraction*c.served.perSecond(now))
	c.rate = max(c.settings.MinRate, floor, c.rate*math.Exp(-c.step(now)))
}

// endSlowStart ends a slow start by overload. The doubling has overshot, and steps would take seconds to come back from that: longer
// than endpoints take to become overloaded for good.
func (c *rateController) endSlowStart(now time.Duration, demand float64) {
	c.slowStart = false
	c.rate = max(c.settings.MinRate, slowStartOvershoot*min(c.rate, demand), min(c.rate, c.served.perSecond(now)))
	c.lastCut = now
}

// toleratedOverload is the share of attempts that may meet overload while the rate holds still, where a fraction of the demand is
// admitted.
func (c *rateController) toleratedOverload(admitted float64) float64 {
	fairness := c.settings.FairnessGain * math.Log(1/max(admitted, minFairnessFraction))
	if c.withPeers {
		return c.settings.TargetOverloadRatio * (1 + min(fairness, maxFairnessWithPeers))
	}
	return c.settings.TargetOverloadRatio * (1 + fairness/(1+fairness/maxFairness))
}

// coveredFraction is the part of a demand that the rate covers, up to 1.
func (c *rateController) coveredFraction(demand float64) float64 {
	if demand <= c.rate {
		return 1
	}
	return c.rate / demand
}

// maxRate bounds the rate by what was sent lately, which alone gives evidence of capacity: without the bound the rate of a quiet
// agent would grow until a surge finds it wide open.
func (c *rateController) maxRate(now time.Duration) float64 {
	c.updatePeak(now)
	return c.settings.HeadroomFactor*c.peakSent + c.settings.HeadroomRate
}

func (c *rateController) updatePeak(now time.Duration) {
	if now > c.updatedAt {
		c.peakSent *= math.Exp(-float64(now-c.updatedAt) / float64(peakDecay))
	}
	c.peakSent = max(c.peakSent, c.sent.perSecond(now))
}

// advance brings the controller to a time, with the demand in requests a second.
func (c *rateController) advance(now time.Duration, demand float64) {
	var elapsed time.Duration // 0 at the first call
	if c.updatedAt > 0 && now > c.updatedAt {
		elapsed = now - c.updatedAt
	}
	if c.slowStart && elapsed > 0 {
		c.growSlowStart(now, elapsed, demand)
	}
	if c.slowStart {
		c.updatePeak(now)
	} else {
		c.rate = max(c.settings.MinRate, min(c.rate, c.maxRate(now)))
	}
	c.surge.observe(elapsed, demand, c.rate)
	c.updatedAt = max(c.updatedAt, now)
}

// growSlowStart doubles the rate each slowStartDoubling, up to what the demand gives reason for, and ends the slow start there.
func (c *rateController) growSlowStart(now, elapsed time.Duration, demand float64) {
	ceiling := max(c.rate, c.settings.HeadroomFactor*demand+c.settings.HeadroomRate)
	c.rate = min(ceiling, c.rate*math.Exp2(float64(elapsed)/float64(slowStartDoubling)))
	if now-c.sent.startedAt > minObservation && c.rate > c.settings.HeadroomFactor*demand {
		c.slowStart = false
	}
}

// recoverFromSurge ends a surge, by the demand over the window and the recent one, requests a second.
//
// What was covered before the surge is let through again as soon as no more comes, however far the surge has taken the rate down: by
// steps it would take seconds, in which requests are shed without need. An agent that was started within the surge knows of no
// before and searches anew by a slow start. If the endpoints don't bear that, their answers say so.
func (c *rateController) recoverFromSurge(demand, recent float64) {
	switch {
	case c.surge.active && recent <= surgeEndFactor*c.surge.baseline:
		c.surge.active = false
		c.rate = max(c.rate, c.surge.baseline+c.settings.HeadroomRate)
	case !c.surge.hasBaseline() && demand > c.rate && recent < demand/surgeStartFactor && !withinChance(demand, recent):
		c.slowStart = true
	}
}
