package budget

import (
	"errors"
	"time"
)

// Settings configure how the rate changes and how many retries and health checks are sent. Rates are requests a second. The zero
// value is not valid: see Defaults.
type Settings struct {
	// TargetOverloadRatio is the share of attempts meeting overload (rejected or timed out) at which the rate is steady while all
	// demand is admitted: above 0, below 1.
	TargetOverloadRatio float64
	// FairnessGain raises the tolerated share to TargetOverloadRatio * (1 + FairnessGain*ln(1/f)) while a fraction f of the demand
	// is admitted: from 0 to 10. The term FairnessGain*ln(1/f) is limited by maxFairness or maxFairnessWithPeers.
	FairnessGain float64
	// MaxStep is the largest step by which one attempt meeting overload lowers the rate, as an exponent of e: above 0, up to 2.
	MaxStep float64
	// MaxStepPerSecond limits the sum of these steps in a second in which all attempts meet overload: above 0, up to 100.
	MaxStepPerSecond float64
	// MinServedFraction is the fraction of the recently served rate below which no decrease lowers the rate: from 0, below 1.
	MinServedFraction float64
	// HeadroomFactor and HeadroomRate limit the rate to HeadroomFactor times the highest recently sent rate plus HeadroomRate:
	// from 1 to 100, and from 0 to 1000000.
	HeadroomFactor float64
	HeadroomRate   float64
	// InitialRate is the rate of an agent that has just started: above 0, up to 1000000.
	InitialRate float64
	// MinRate is always allowed, because only attempts can show that endpoints have recovered: above 0, up to InitialRate.
	MinRate float64
	// BurstWindow is the time for which tokens may accumulate, in addition to minBurst tokens: from 0 to a minute.
	BurstWindow time.Duration
	// AveragingWindow is the time constant of the counts of demand and of attempts: from 100 ms to an hour.
	AveragingWindow time.Duration
	// RetryRatio is the number of retries that an admitted request earns: from 0 to 1.
	RetryRatio float64
	// FleetRetryRate is an additional rate of retries, shared by all agents of the fleet: from 0 to 1000000.
	FleetRetryRate float64
	// Agents is the number of agents in the fleet: 1 or more.
	Agents int
	// HealthCheckRatio is the number of health checks that an admitted request earns: from 0 to 1.
	HealthCheckRatio float64
	// MaxRetryAfter is the longest Retry-After given to a shed request; 0 for no Retry-After.
	MaxRetryAfter time.Duration
}

// Defaults returns the settings for a fleet of one agent, without a Retry-After.
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

// maxSettingRate is the upper limit of the rates in Settings, requests a second.
const maxSettingRate = 1e6

// Check returns the joined errors of all settings that are out of range. The errors name the settings by their keys in the operators'
// file. The conditions are written so that NaN is out of range.
func (s Settings) Check() error {
	rules := []struct {
		ok   bool
		text string
	}{
		{s.TargetOverloadRatio > 0 && s.TargetOverloadRatio < 1, "target must be above 0 and below 1"},
		{s.FairnessGain >= 0 && s.FairnessGain <= 10, "lean must be from 0 to 10"},
		{s.MaxStep > 0 && s.MaxStep <= 2, "step must be above 0 and at most 2"},
		{s.MaxStepPerSecond > 0 && s.MaxStepPerSecond <= 100, "gain must be above 0 and at most 100"},
		{s.MinServedFraction >= 0 && s.MinServedFraction < 1, "keep must be at least 0 and below 1"},
		{s.HeadroomFactor >= 1 && s.HeadroomFactor <= 100, "headroom must be from 1 to 100"},
		{s.HeadroomRate >= 0 && s.HeadroomRate <= maxSettingRate, "spare must be from 0 to 1000000"},
		{
			s.InitialRate > 0 && s.InitialRate <= maxSettingRate && s.MinRate > 0 && s.MinRate <= s.InitialRate,
			"start must be above 0 and at most 1000000, and least must be above 0 and at most start",
		},
		{s.BurstWindow >= 0 && s.BurstWindow <= time.Minute, "burst must be from 0s to 1m"},
		{s.AveragingWindow >= 100*time.Millisecond && s.AveragingWindow <= time.Hour, "memory must be from 100ms to 1h"},
		{isRatio(s.RetryRatio) && isRatio(s.HealthCheckRatio), "retries and probes must be from 0 to 1"},
		{s.FleetRetryRate >= 0 && s.FleetRetryRate <= maxSettingRate, "floor must be from 0 to 1000000"},
		{s.Agents >= 1, "agents must be 1 or more"},
		{s.MaxRetryAfter >= 0, "longest must not be negative"},
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
