package emulator

import (
	"fmt"
	"slices"
	"time"

	"ryeweir/internal/config"
)

// Bounds of the settings of FleetSpec.
const (
	minRunFraction   = 0.05 // fraction of the time in which a slow process runs
	maxRunFraction   = 0.95
	maxTrafficFactor = 100
	maxListDelay     = time.Minute
)

// check reports all errors in the spec. The reported keys are relative to the table "fleet".
func (f FleetSpec) check(zones []string, report reportFunc) {
	for i, fault := range f.AgentFaults {
		fault.check(fmt.Sprintf("agent_trouble[%d]", i), report)
	}
	for i, shift := range f.TrafficShifts {
		shift.check(fmt.Sprintf("shift[%d]", i), zones, report)
	}
	for i, delay := range f.ListDelays {
		delay.check(fmt.Sprintf("late[%d]", i), report)
	}
	for i, partition := range f.Partitions {
		key := fmt.Sprintf("cut[%d]", i)
		checkInterval(key, partition.From, partition.To, report)
		checkZone(key, partition.Zone, zones, report)
	}
	for i, path := range f.Paths {
		key := fmt.Sprintf("path[%d]", i)
		checkInterval(key, path.From, path.To, report)
		path.check(key, report)
	}
	for i, peer := range f.ByzantinePeers {
		peer.check(fmt.Sprintf("liar[%d]", i), report)
	}
	for i, storm := range f.RetryStorms {
		storm.check(fmt.Sprintf("storm[%d]", i), report)
	}
	if p := f.Prices; p.HealthCheck < 0 || p.Handshake < 0 || p.List < 0 || p.Waste < 0 {
		report("prices.probe", "prices must be at least 0; got probe %v, handshake %v, list %v, waste %v", p.HealthCheck, p.Handshake, p.List, p.Waste)
	}
}

func checkInterval(key string, from, to config.Duration, report reportFunc) {
	if from < 0 || to <= from {
		report(key+".from", "must be at least 0 and before to (%v), not %v", to.D(), from.D())
	}
}

func checkZone(key, zone string, zones []string, report reportFunc) {
	if !slices.Contains(zones, zone) {
		report(key+".zone", "%q must be one of %v", zone, zones)
	}
}

func (a AgentFaultSpec) check(key string, report reportFunc) {
	if kinds := []string{AgentRestart, AgentKill, AgentPause, AgentSlow}; !slices.Contains(kinds, a.Kind) {
		report(key+".kind", "%q must be one of %v", a.Kind, kinds)
	}
	if survives := a.Kind == AgentPause || a.Kind == AgentSlow; survives && a.WithState {
		report(key+".kept", "must not be true for kind %q, whose process keeps its state anyway; only the kinds %s and %s may set it",
			a.Kind, AgentRestart, AgentKill)
	}
	inRange := a.RunFraction >= minRunFraction && a.RunFraction <= maxRunFraction
	if slow := a.Kind == AgentSlow; slow && !inRange || !slow && a.RunFraction != 0 {
		report(key+".part", "must be from %v to %v for kind %s and must not be set for others; got %v for kind %q",
			minRunFraction, maxRunFraction, AgentSlow, a.RunFraction, a.Kind)
	}
	if !(a.Share > 0 && a.Share <= 1) || a.Groups < 0 || a.Groups > maxAgents || a.Duration < 0 {
		report(key+".share", "must be above 0 and at most 1, not %v, groups from 0 to %d, not %d, and away at least 0, not %v",
			a.Share, maxAgents, a.Groups, a.Duration.D())
	}
	if a.From < 0 {
		report(key+".from", "must be at least 0, not %v", a.From.D())
	}
}

func (s TrafficShiftSpec) check(key string, zones []string, report reportFunc) {
	checkInterval(key, s.From, s.To, report)
	if s.Zone != "" {
		checkZone(key, s.Zone, zones, report)
	}
	if !(s.Factor >= 0 && s.Factor <= maxTrafficFactor) {
		report(key+".times", "must be from 0 to %d, not %v", maxTrafficFactor, s.Factor)
	}
}

func (l ListDelaySpec) check(key string, report reportFunc) {
	checkInterval(key, l.From, l.To, report)
	if l.By < 0 || l.By.D() > maxListDelay {
		report(key+".by", "must be from 0 to %v, not %v", maxListDelay, l.By.D())
	}
}

func (p ByzantinePeerSpec) check(key string, report reportFunc) {
	checkInterval(key, p.From, p.To, report)
	unknown := func(kind string) bool { return !slices.Contains(FalseReports(), kind) }
	if len(p.Says) == 0 || slices.ContainsFunc(p.Says, unknown) {
		report(key+".says", "must have at least one of %v and no other values, not %v", FalseReports(), p.Says)
	}
}

func (s RetryStormSpec) check(key string, report reportFunc) {
	checkInterval(key, s.From, s.To, report)
	fractions := []float64{s.AttemptTimeoutFraction, s.ImpatientFraction}
	if s.Retries < 0 || s.Retries > maxRetries || slices.ContainsFunc(fractions, notAFraction) || s.Backoff < 0 {
		report(key+".retries", "retries (%d) must be from 0 to %d, try_share (%v) and impatient (%v) from 0 to 1, and backoff (%v) at least 0",
			s.Retries, maxRetries, s.AttemptTimeoutFraction, s.ImpatientFraction, s.Backoff.D())
	}
}
