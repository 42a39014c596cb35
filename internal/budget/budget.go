package budget

import (
	"fmt"
	"time"
)

// Budget holds one agent's share of the fleet's budgets. Its zero value is not usable: see New.
type Budget struct {
	settings   Settings
	now        time.Duration // the latest time passed to any call
	controller rateController
	demand     demandTable
	fleet      fleetState

	burst        tokenBucket // requests that may be admitted at once
	retries      tokenBucket
	healthChecks tokenBucket

	selfFraction    float64 // factor on the controller's rate for overload of the agent itself: minSelfFraction to 1
	latencyFraction float64 // factor on the allowed rate for late answers: minLatencyFraction to 1

	stats Stats
}

// New returns the budget of an agent that has just started. It returns an error if Settings.Check does.
func New(settings Settings) (*Budget, error) {
	if err := settings.Check(); err != nil {
		return nil, fmt.Errorf("budget: %w", err)
	}
	return &Budget{
		settings:        settings,
		controller:      newRateController(settings),
		demand:          newDemandTable(settings.AveragingWindow),
		burst:           tokenBucket{minBurst},
		retries:         tokenBucket{minTokenCapacity},
		selfFraction:    1,
		latencyFraction: 1,
	}, nil
}

// Outcome describes how an attempt ended.
type Outcome struct {
	Overloaded bool          // rejected unprocessed, or timed out: the endpoint lacked capacity
	SentAt     time.Duration // when the attempt was sent
}

// AttemptEnded adjusts the agent's own rate by the outcome of an attempt. Retries and hedged requests count as attempts.
func (b *Budget) AttemptEnded(now time.Duration, outcome Outcome) {
	b.advance(now)
	if outcome.Overloaded {
		b.stats.Overloads++
	}
	b.controller.attemptEnded(now, outcome, b.demand.total(now))
}

// AdmittedFraction returns the fraction of the demand that the allowed rate covers at present, 0 to 1.
func (b *Budget) AdmittedFraction() float64 { return b.admittedFraction(b.now) }

func (b *Budget) admittedFraction(now time.Duration) float64 {
	if demand := b.demand.total(now); demand > 0 {
		return min(1, b.allowedRate(now)/demand)
	}
	return 1
}

// ownRate is the controller's rate times selfFraction, requests a second.
func (b *Budget) ownRate() float64 { return b.selfFraction * b.controller.rate }

// allowedRate is the rate at which this agent may send now, requests a second: its own rate, or its share of the fleet's rate while
// peer state is fresh, times latencyFraction, and at least MinRate.
func (b *Budget) allowedRate(now time.Duration) float64 {
	rate := b.ownRate()
	if b.fleet.fresh(now) {
		rate = b.boundedFleetShare(now, rate)
	}
	return max(b.latencyFraction*rate, b.settings.MinRate)
}

// advance updates the budget to the given time. A time that is not later than the last one changes nothing.
func (b *Budget) advance(now time.Duration) {
	if now <= b.now {
		return
	}
	b.controller.withPeers = b.fleet.fresh(now)
	b.controller.advance(now, b.demand.total(now))
	b.controller.recoverFromSurge(b.demand.total(now), b.demand.recent.perSecond(now))
	b.earnTokens(now)
	b.now = now
}
