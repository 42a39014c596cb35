package operator

import (
	"time"

	"ryeweir/internal/budget"
	"ryeweir/internal/config"
	"ryeweir/logic"
)

// Overload configures the overload budgets of the fleet. budget.Settings documents all fields but Enabled and SelfLimits. If it is not
// enabled, only package logic sheds requests.
type Overload struct {
	Enabled             bool            `toml:"fleet"`
	TargetOverloadRatio float64         `toml:"target"`
	FairnessGain        float64         `toml:"lean"`
	MaxStep             float64         `toml:"step"`
	MaxStepPerSecond    float64         `toml:"gain"`
	MinServedFraction   float64         `toml:"keep"`
	HeadroomFactor      float64         `toml:"headroom"`
	HeadroomRate        float64         `toml:"spare"`
	InitialRate         float64         `toml:"start"`
	MinRate             float64         `toml:"least"`
	BurstWindow         config.Duration `toml:"burst"`
	AveragingWindow     config.Duration `toml:"memory"`
	RetryRatio          float64         `toml:"retries"`
	FleetRetryRate      float64         `toml:"floor"`
	HealthCheckRatio    float64         `toml:"probes"`
	SelfLimits          SelfLimits      `toml:"own"`
}

// SelfLimits is the load above which the agent itself counts as overloaded; see budget.SelfLimits. A limit of 0 disables that limit.
type SelfLimits struct {
	QueueDelay config.Duration `toml:"wait"`
	CPU        float64         `toml:"cpu"`
	Memory     float64         `toml:"memory"`
}

func defaultOverload() Overload {
	defaults := budget.Defaults()
	return Overload{
		TargetOverloadRatio: defaults.TargetOverloadRatio,
		FairnessGain:        defaults.FairnessGain,
		MaxStep:             defaults.MaxStep,
		MaxStepPerSecond:    defaults.MaxStepPerSecond,
		MinServedFraction:   defaults.MinServedFraction,
		HeadroomFactor:      defaults.HeadroomFactor,
		HeadroomRate:        defaults.HeadroomRate,
		InitialRate:         defaults.InitialRate,
		MinRate:             defaults.MinRate,
		BurstWindow:         config.Duration(defaults.BurstWindow),
		AveragingWindow:     config.Duration(defaults.AveragingWindow),
		RetryRatio:          defaults.RetryRatio,
		FleetRetryRate:      defaults.FleetRetryRate,
		HealthCheckRatio:    defaults.HealthCheckRatio,
		SelfLimits:          SelfLimits{QueueDelay: config.Duration(50 * time.Millisecond), CPU: 0.9, Memory: 0.9},
	}
}

func (o *Overload) check(p *problems) {
	p.requireDuration("overload.own.wait", o.SelfLimits.QueueDelay)
	p.requireRatio("overload.own.cpu", o.SelfLimits.CPU)
	p.requireRatio("overload.own.memory", o.SelfLimits.Memory)
	if err := o.BudgetSettings(1, 0).Check(); err != nil {
		p.require(false, "overload", "%v", err)
	}
}

// BudgetSettings returns the budget settings for a fleet with this number of agents and for the longest Retry-After that clients respect.
func (o *Overload) BudgetSettings(agents int, maxRetryAfter time.Duration) budget.Settings {
	return budget.Settings{
		TargetOverloadRatio: o.TargetOverloadRatio,
		FairnessGain:        o.FairnessGain,
		MaxStep:             o.MaxStep,
		MaxStepPerSecond:    o.MaxStepPerSecond,
		MinServedFraction:   o.MinServedFraction,
		HeadroomFactor:      o.HeadroomFactor,
		HeadroomRate:        o.HeadroomRate,
		InitialRate:         o.InitialRate,
		MinRate:             o.MinRate,
		BurstWindow:         o.BurstWindow.D(),
		AveragingWindow:     o.AveragingWindow.D(),
		RetryRatio:          o.RetryRatio,
		FleetRetryRate:      o.FleetRetryRate,
		Agents:              agents,
		HealthCheckRatio:    o.HealthCheckRatio,
		MaxRetryAfter:       maxRetryAfter,
	}
}

// prioritySeed makes the random numbers of the priority order independent of others that are derived from the agent's seed.
const prioritySeed = 0x6f7665726c6f6164

// Budget returns the budget of an agent and the priority order by which it sheds requests. maxRetryAfter is the longest Retry-After that
// clients respect. The budget and the order are nil if the file does not enable overload budgets.
func (o *Overload) Budget(settings logic.Settings, maxRetryAfter time.Duration, seed uint64) (*budget.Budget, *budget.PriorityOrder, error) {
	if !o.Enabled {
		return nil, nil, nil
	}
	b, err := budget.New(o.BudgetSettings(settings.Balancers, maxRetryAfter))
	if err != nil {
		return nil, nil, err
	}
	var weights []float64
	for _, class := range settings.Classes {
		weights = append(weights, class.PriorityWeight)
	}
	return b, budget.NewPriorityOrder(weights, settings.TenantQuotas, settings.OverQuotaWeight, seed^prioritySeed), nil
}
