package emulator

import (
	"slices"
	"time"

	"ryeweir/internal/config"
	"ryeweir/internal/emulator/callers"
)

// within reports whether a time of the scenario is in [from, to).
func within(at time.Duration, from, to config.Duration) bool { return at >= from.D() && at < to.D() }

// trafficShifts returns the scenario's traffic shifts, with the factor of each agent.
func (scenario *Scenario) trafficShifts() (shifts []callers.TrafficShift) {
	for _, spec := range scenario.Spec.Fleet.TrafficShifts {
		shift := callers.TrafficShift{From: spec.From.D(), To: spec.To.D(), Factors: make([]float64, len(scenario.Agents))}
		for agent := range shift.Factors {
			shift.Factors[agent] = 1
			if spec.Zone == "" || scenario.AgentZone(agent) == spec.Zone {
				shift.Factors[agent] = spec.Factor
			}
		}
		shifts = append(shifts, shift)
	}
	return shifts
}

// ClientProfileAt returns the profile of a client whose request is planned for a time of the scenario. During a retry storm, the
// storm's settings replace those of the scenario.
func (scenario *Scenario) ClientProfileAt(at time.Duration) callers.ClientProfile {
	profile := scenario.Clients
	for _, storm := range scenario.Spec.Fleet.RetryStorms {
		if within(at, storm.From, storm.To) {
			profile.Retries, profile.Backoff = storm.Retries, storm.Backoff.D()
			profile.AttemptTimeoutFraction, profile.ImpatientFraction = storm.AttemptTimeoutFraction, storm.ImpatientFraction
		}
	}
	return profile
}

// ListDelay returns the extra delay with which the endpoint list shows a change that happens at a time of the scenario.
func (scenario *Scenario) ListDelay(at time.Duration) (delay time.Duration) {
	for _, spec := range scenario.Spec.Fleet.ListDelays {
		if within(at, spec.From, spec.To) {
			delay = max(delay, spec.By.D())
		}
	}
	return delay
}

// Partitioned reports whether a partition separates two zones at a time of the scenario.
func (scenario *Scenario) Partitioned(a, b string, at time.Duration) bool {
	return a != b && slices.ContainsFunc(scenario.Spec.Fleet.Partitions, func(p PartitionSpec) bool {
		return (p.Zone == a || p.Zone == b) && within(at, p.From, p.To)
	})
}
