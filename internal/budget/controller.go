package budget

import (
	"math"
	"time"
)

// rateController controls the rate of requests that an agent admits, by the outcomes of its attempts. Rates are requests a second.
//
// An attempt that meets overload lowers the rate by a step; any other attempt raises it by the step times the tolerated share of
// overload. The rate is therefore steady where endpoints reject that share of the attempts. It changes per attempt and not per
// interval: an agent with few attempts changes its rate less often, but its steps do not grow with the time between attempts. No step
// exceeds MaxStep, and those of a busy agent are smaller (see step). A step is an exponent of e.
//
// The tolerated share grows as the admitted fraction falls (the fairness term). Of two agents that use the same endpoints, the one
// that admits the larger fraction is lowered until both admit the same.
//
// The controller prevents the metastable state in which every agent sheds most of its requests, yet together they still send enough
// to keep the queue of every endpoint full.
type rateController struct {
	settings Settings
	rate     float64

	sent         decayingCounter // admitted requests
	served       decayingCounter // attempts that did not meet overload
	ended        decayingCounter // attempts that have ended
	latency      time.Duration   // of served attempts, smoothed; 0 before the first
	servedRun    float64         // consecutive attempts without overload
	peakSentRate float64         // highest rate of sent requests, decaying with peakDecay
	lastDecrease time.Duration   // time of the last decrease
	updatedAt    time.Duration

	slowStart    bool    // in progress: until an attempt meets overload or the rate covers the demand
	withPeers    bool    // the agent has fresh state of its peers
	latencySlack float64 // 0 to 1: minus the signal of SetLatencyOverload while that is in use and below 0; otherwise 0
	surge        surgeDetector
}

const (
	// decreaseSpacing is the minimum time between two decreases, in smoothed latencies.
	decreaseSpacing = 0.7
	// latencySmoothing is the number of attempts over which the latency is smoothed.
	latencySmoothing = 16
	// peakDecay is the time constant of peakSentRate. It is long enough that a pause between two bursts does not bring the rate down to
	// HeadroomRate.
	peakDecay = 10 * time.Second

	// slowStartDoubling is the time in which a slow start doubles the rate.
	slowStartDoubling = 100 * time.Millisecond
	// slowStartExitFactor is the factor on the rate when overload ends a slow start. One doubling earlier, at half the rate, there was
	// no overload.
	slowStartExitFactor = 0.5
	// minObservation is the minimum time for which demand must have been counted before the count is relied on.
	minObservation = 500 * time.Millisecond

	// maxFairness is the limit that the fairness term approaches without peers. A higher limit would keep endpoints full.
	maxFairness = 1
	// maxFairnessWithPeers limits the fairness term with peers, where the exchange of state already evens out the shares.
	maxFairnessWithPeers = 0.5
	// minFairnessFraction is the admitted fraction below which the fairness term stops growing.
	minFairnessFraction = 0.01

	// maxIncreaseFactor limits the factor on increases while there is evidence of free capacity.
	maxIncreaseFactor = 16
	// minExpectedOverloads sets how long a run of attempts without overload must be to count as evidence of free capacity: so long that
	// the tolerated share predicts this many overloads in it. A shorter run would favor busy agents, whose overloads come in bursts with longer
	// runs between them.
	minExpectedOverloads = 5
	// minLatencySlack is the latency slack above which it counts as evidence of free capacity; latencySlackGain is how much the factor grows
	// with the slack beyond that.
	minLatencySlack  = 0.5
	latencySlackGain = 10
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

// attemptEnded adjusts the rate by the outcome of an attempt. demand is in requests a second.
func (c *rateController) attemptEnded(now time.Duration, outcome Outcome, demand float64) {
	c.advance(now, demand)
	c.ended.add(now)
	switch {
	case !outcome.Overloaded:
		c.increase(now, now-outcome.SentAt, demand)
	case c.slowStart:
		c.servedRun = 0
		c.endSlowStart(now, demand)
	default:
		c.servedRun = 0
		c.decrease(now, outcome.SentAt)
	}
}

// step is how far one attempt moves the rate, as an exponent of e. It shrinks as attempts become more frequent, so that the steps of
// a second sum to at most MaxStepPerSecond. Without that limit the busy agents of a fleet would oscillate together around the
// endpoints' capacity.
func (c *rateController) step(now time.Duration) float64 {
	return min(c.settings.MaxStep, c.settings.MaxStepPerSecond/max(1, c.ended.perSecond(now)))
}

// increase raises the rate after an attempt that was served with the given latency.
func (c *rateController) increase(now, latency time.Duration, demand float64) {
	c.served.add(now)
	if c.latency == 0 {
		c.latency = latency
	} else {
		c.latency += (latency - c.latency) / latencySmoothing
	}
	c.servedRun++
	tolerated := c.toleratedOverload(c.coveredFraction(demand))
	rise := c.step(now) * tolerated * c.increaseFactor(tolerated)
	c.rate = min(c.maxRate(now), c.rate*math.Exp(rise))
}

// increaseFactor is the factor on an increase. It is above 1 if a run without overload is too long to be chance, or if answers are far
// below their latency objective.
func (c *rateController) increaseFactor(tolerated float64) float64 {
	runFactor := math.Exp2(c.servedRun*tolerated - minExpectedOverloads)
	slackFactor := 1 + latencySlackGain*(c.latencySlack-minLatencySlack)
	return min(maxIncreaseFactor, max(1, runFactor, slackFactor))
}

// decrease lowers the rate after an attempt that met overload.
//
// Attempts that were sent before the last decrease, or within decreaseSpacing latencies after it, do not count. A rejection takes hardly
// any time, so at the onset of a surge many arrive before the first decrease can take effect at the endpoints; a decrease for each
// of them would bring the rate to its minimum.
//
// The rate does not fall below MinServedFraction of the rate at which endpoints serve this agent. At the onset of a surge they reject
// nearly everything, and a decrease for each rejection would leave them idle.
func (c *rateController) decrease(now, sentAt time.Duration) {
	if sentAt < c.lastDecrease+time.Duration(decreaseSpacing*float64(c.latency)) {
		return
	}
	c.lastDecrease = now
	floor := min(c.rate, c.settings.MinServedFraction*c.served.perSecond(now))
	c.rate = max(c.settings.MinRate, floor, c.rate*math.Exp(-c.step(now)))
}

// endSlowStart ends a slow start at the first overload. The doubling has overshot by then, and decreasing step by step would take
// seconds, longer than endpoints need to become permanently overloaded.
func (c *rateController) endSlowStart(now time.Duration, demand float64) {
	c.slowStart = false
	c.rate = max(c.settings.MinRate, slowStartExitFactor*min(c.rate, demand), min(c.rate, c.served.perSecond(now)))
	c.lastDecrease = now
}

// toleratedOverload is the share of attempts meeting overload at which the rate is steady, given the fraction of the demand that is
// admitted.
func (c *rateController) toleratedOverload(admitted float64) float64 {
	fairness := c.settings.FairnessGain * math.Log(1/max(admitted, minFairnessFraction))
	if c.withPeers {
		return c.settings.TargetOverloadRatio * (1 + min(fairness, maxFairnessWithPeers))
	}
	return c.settings.TargetOverloadRatio * (1 + fairness/(1+fairness/maxFairness))
}

// coveredFraction is the fraction of the demand that the rate covers, at most 1.
func (c *rateController) coveredFraction(demand float64) float64 {
	if demand <= c.rate {
		return 1
	}
	return c.rate / demand
}

// maxRate limits the rate by what was sent recently, because only requests that were sent show capacity. Without the limit the rate
// of an idle agent would grow until a surge is admitted unthrottled.
func (c *rateController) maxRate(now time.Duration) float64 {
	c.updatePeak(now)
	return c.settings.HeadroomFactor*c.peakSentRate + c.settings.HeadroomRate
}

func (c *rateController) updatePeak(now time.Duration) {
	if now > c.updatedAt {
		c.peakSentRate *= math.Exp(-float64(now-c.updatedAt) / float64(peakDecay))
	}
	c.peakSentRate = max(c.peakSentRate, c.sent.perSecond(now))
}

// advance updates the controller to the given time. demand is in requests a second.
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

// growSlowStart doubles the rate every slowStartDoubling, up to HeadroomFactor times the demand plus HeadroomRate. It ends the slow
// start when the rate exceeds HeadroomFactor times the demand and demand has been counted for more than minObservation.
func (c *rateController) growSlowStart(now, elapsed time.Duration, demand float64) {
	ceiling := max(c.rate, c.settings.HeadroomFactor*demand+c.settings.HeadroomRate)
	c.rate = min(ceiling, c.rate*math.Exp2(float64(elapsed)/float64(slowStartDoubling)))
	if now-c.sent.startedAt > minObservation && c.rate > c.settings.HeadroomFactor*demand {
		c.slowStart = false
	}
}

// recoverFromSurge restores the rate at the end of a surge. It compares the demand counted over AveragingWindow with the recent demand,
// counted over recentWindow, both in requests a second.
//
// As soon as the recent demand is back near the baseline from before the surge, the rate is raised to that baseline plus HeadroomRate,
// however far the surge has lowered it; a rate that is already higher stays. Raising it step by step would take seconds, during which
// requests would be shed without need. An agent that was started during the surge has no baseline and does a slow start again. If
// endpoints cannot serve the restored rate, the outcomes of attempts lower it.
func (c *rateController) recoverFromSurge(demand, recent float64) {
	switch {
	case c.surge.active && recent <= surgeEndFactor*c.surge.baseline:
		c.surge.active = false
		c.rate = max(c.rate, c.surge.baseline+c.settings.HeadroomRate)
	case !c.surge.hasBaseline() && demand > c.rate && recent < demand/surgeStartFactor && !withinPoissonNoise(demand, recent):
		c.slowStart = true
	}
}
