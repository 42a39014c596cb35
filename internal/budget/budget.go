package budget

import (
	"fmt"
	"time"
)

// Budget is one agent's part of the fleet's budgets. Its zero value isn't usable: see New.
type Budget struct {
	settings   Settings
	now        time.Duration // of the last call that brought a later time
	controller rateController
	demand     demandTable
	fleet      fleetState

	burst        tokenBucket // requests that may be admitted now
	retries      tokenBucket
	healthChecks tokenBucket

	selfFraction    float64 // of the own rate that the agent's own load leaves: minSelfFraction to 1
	latencyFraction float64 // of the allowed rate that late answers leave: minLatencyFraction to 1

	stats Stats
}

// New returns the budget of an agent that has just started. The error is that of Settings.Check.
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

// Outcome is how an attempt ended.
type Outcome struct {
	Overloaded bool          // rejected unprocessed or timed out: the endpoint had no capacity
	SentAt     time.Duration // when the attempt was sent
}

// AttemptEnded moves the own rate by the outcome of an attempt, a retry or hedged request too.
func (b *Budget) AttemptEnded(now time.Duration, outcome Outcome) {
	b.advance(now)
	if outcome.Overloaded {
		b.stats.Overloads++
	}
	b.controller.attemptEnded(now, outcome, b.demand.total(now))
}

// AdmittedFraction returns the part of the demand that the allowed rate covers at present, 0 to 1.
func (b *Budget) AdmittedFraction() float64 { return b.admittedFraction(b.now) }

func (b *Budget) admittedFraction(now time.Duration) float64 {
	if demand := b.demand.total(now); demand > 0 {
		return min(1, b.allowedRate(now)/demand)
	}
	return 1
}

// ownRate is the controller's rate as far as the agent itself can carry it, requests a second.
func (b *Budget) ownRate() float64 { return b.selfFraction * b.controller.rate }

// allowedRate is what this agent may send now, requests a second: its own rate or its part of the fleet's, less what late answers
// take.
func (b *Budget) allowedRate(now time.Duration) float64 {
	rate := b.ownRate()
	if b.fleet.fresh(now) {
		rate = b.boundedFleetPart(now, rate)
	}
	return max(b.latencyFraction*rate, b.settings.MinRate)
}

// advance brings the budget to a time; an earlier one than the last changes nothing.
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
