package budget

import (
	"errors"
	"time"
)

// Settings say how the rate moves and what retries and health checks may cost. Rates are requests a second. The zero value isn't
// valid: see Defaults.
type Settings struct {
	// TargetOverloadRatio is the share of attempts that may meet overload (rejected or timed out) at which the rate holds still
	// while all demand is admitted: above 0, below 1.
	TargetOverloadRatio float64
	// FairnessGain raises the tolerated share to TargetOverloadRatio * (1 + FairnessGain*ln(1/f)) where a fraction f of the
	// demand is admitted: from 0 to 10.
	FairnessGain float64
	// MaxStep is by how much one attempt that meets overload lowers the rate, as an exponent of e: above 0, up to 2.
	MaxStep float64
	// MaxStepPerSecond bounds the sum of these steps over a second in which all attempts meet overload: above 0, up to 100.
	MaxStepPerSecond float64
	// MinServedFraction is the part of the rate that endpoints served lately below which no decrease goes: from 0, below 1.
	MinServedFraction float64
	// HeadroomFactor and HeadroomRate bound the rate by HeadroomFactor times the highest rate sent lately plus HeadroomRate:
	// from 1 to 100, and from 0 to 1000000.
	HeadroomFactor float64
	HeadroomRate   float64
	// InitialRate is the rate of an agent that has just started: above 0, up to 1000000.
	InitialRate float64
	// MinRate is a rate that is always allowed, as only attempts show that endpoints have recovered: above 0, up to InitialRate.
	MinRate float64
	// BurstWindow is for how long tokens may be saved, besides minBurst tokens: from 0 to a minute.
	BurstWindow time.Duration
	// AveragingWindow is the time constant of the counts of demand and of attempts: from 100 ms to an hour.
	AveragingWindow time.Duration
	// RetryRatio is how many retries an admitted request earns: from 0 to 1.
	RetryRatio float64
	// FleetRetryRate is the rate of retries that all agents of the fleet together have besides: from 0 to 1000000.
	FleetRetryRate float64
	// Agents is the number of agents in the fleet: 1 or more.
	Agents int
	// HealthCheckRatio is how many health checks an admitted request earns: from 0 to 1.
	HealthCheckRatio float64
	// MaxRetryAfter is the longest Retry-After that a shed request is given; 0 for none.
	MaxRetryAfter time.Duration
}

// Defaults returns the settings of a fleet of one agent, without a Retry-After.
func Defaults() Settings {
	return Settings{
		TargetOverloadRatio: 0.025,
		FairnessGain:        1,
		MaxStep:             0.05,
		MaxStepPerSecond:    3,
		MinServedFraction:   0.7,
		HeadroomFactor:      2,
		HeadroomRate:        5,
		InitialRate:         20,
		MinRate:             0.5,
		BurstWindow:         250 * time.Millisecond,
		AveragingWindow:     time.Second,
		RetryRatio:          0.1,
		FleetRetryRate:      10,
		Agents:              1,
		HealthCheckRatio:    0.01,
	}
}

// maxSettingRate bounds the rates that settings may have, requests a second.
const maxSettingRate = 1e6

// Check returns an error for each setting that is out of bounds, joined. Errors name the key of the operators' file. Conditions
// are written so that NaN is out of bounds.
func (s Settings) Check() error {
	rules := []struct {
		ok   bool
		text string
	}{
		{s.TargetOverloadRatio > 0 && s.TargetOverloadRatio < 1, "target must be above 0 and below 1"},
		{s.FairnessGain >= 0 && s.FairnessGain <= 10, "lean must be from 0 to 10"},
		{s.MaxStep > 0 && s.MaxStep <= 2, "step must be above 0, up to 2"},
		{s.MaxStepPerSecond > 0 && s.MaxStepPerSecond <= 100, "gain must be above 0 up to 100"},
		{s.MinServedFraction >= 0 && s.MinServedFraction < 1, "keep must be from 0 to below 1"},
		{s.HeadroomFactor >= 1 && s.HeadroomFactor <= 100, "headroom must be from 1 to 100"},
		{s.HeadroomRate >= 0 && s.HeadroomRate <= maxSettingRate, "spare must be from 0 to 1000000"},
		{
			s.InitialRate > 0 && s.InitialRate <= maxSettingRate && s.MinRate > 0 && s.MinRate <= s.InitialRate,
			"start must be above 0 up to 1000000, and least above 0 up to start",
		},
		{s.BurstWindow >= 0 && s.BurstWindow <= time.Minute, "burst must be from 0s to 1m"},
		{s.AveragingWindow >= 100*time.Millisecond && s.AveragingWindow <= time.Hour, "memory must be from 100ms to 1h"},
		{isRatio(s.RetryRatio) && isRatio(s.HealthCheckRatio), "retries and probes must be from 0 to 1"},
		{s.FleetRetryRate >= 0 && s.FleetRetryRate <= maxSettingRate, "floor must be from 0 to 1000000"},
		{s.Agents >= 1, "agents must be 1 or more"},
		{s.MaxRetryAfter >= 0, "longest must not be below 0"},
	}
	var problems []error
	for _, rule := range rules {
		if !rule.ok {
			problems = append(problems, errors.New(rule.text))
		}
	}
	return errors.Join(problems...)
}

func isRatio(x float64) bool { return x >= 0 && x <= 1 }
