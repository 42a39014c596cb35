package emulator

import (
	"fmt"
	"slices"
	"time"

	"ryeweir/internal/config"
)

// Bounds of what hits a fleet.
const (
	minRunFraction   = 0.05 // of the time, in which a slow process runs
	maxRunFraction   = 0.95
	maxTrafficFactor = 100
	maxListDelay     = time.Minute
)

// check reports all that is wrong with the spec, with keys below "fleet.".
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
		report("prices.probe", "no price may be below 0")
	}
}

func checkInterval(key string, from, to config.Duration, report reportFunc) {
	if from < 0 || to <= from {
		report(key+".from", "must be 0 or later, and before its end")
	}
}

func checkZone(key, zone string, zones []string, report reportFunc) {
	if !slices.Contains(zones, zone) {
		report(key+".zone", "%q is none of %v", zone, zones)
	}
}

func (a AgentFaultSpec) check(key string, report reportFunc) {
	if kinds := []string{AgentRestart, AgentKill, AgentPause, AgentSlow}; !slices.Contains(kinds, a.Kind) {
		report(key+".kind", "%q is none of %v", a.Kind, kinds)
	}
	if survives := a.Kind == AgentPause || a.Kind == AgentSlow; survives && a.WithState {
		report(key+".kept", "a process that goes on keeps all it has; kept is for one that is started again")
	}
	inRange := a.RunFraction >= minRunFraction && a.RunFraction <= maxRunFraction
	if slow := a.Kind == AgentSlow; slow && !inRange || !slow && a.RunFraction != 0 {
		report(key+".part", "is from 0.05 to 0.95 for a slow process, and for no other")
	}
	if !(a.Share > 0 && a.Share <= 1) || a.Groups < 0 || a.Groups > maxAgents || a.Duration < 0 {
		report(key+".share", "needs a share above 0 up to 1, and neither groups nor a time away below 0")
	}
	checkInterval(key, a.From, max(a.To, a.From+1), report)
}

func (s TrafficShiftSpec) check(key string, zones []string, report reportFunc) {
	checkInterval(key, s.From, s.To, report)
	if s.Zone != "" {
		checkZone(key, s.Zone, zones, report)
	}
	if !(s.Factor >= 0 && s.Factor <= maxTrafficFactor) {
		report(key+".times", "must be from 0 to 100")
	}
}

func (l ListDelaySpec) check(key string, report reportFunc) {
	checkInterval(key, l.From, l.To, report)
	if l.By < 0 || l.By.D() > maxListDelay {
		report(key+".by", "must be from 0 to a minute")
	}
}

func (p ByzantinePeerSpec) check(key string, report reportFunc) {
	checkInterval(key, p.From, p.To, report)
	unknown := func(kind string) bool { return !slices.Contains(FalseReports(), kind) }
	if len(p.Says) == 0 || slices.ContainsFunc(p.Says, unknown) {
		report(key+".says", "%v is not made up of %v", p.Says, FalseReports())
	}
}

func (s RetryStormSpec) check(key string, report reportFunc) {
	checkInterval(key, s.From, s.To, report)
	fractions := []float64{s.AttemptTimeoutFraction, s.ImpatientFraction}
	if s.Retries < 0 || s.Retries > maxRetries || slices.ContainsFunc(fractions, notAFraction) || s.Backoff < 0 {
		report(key+".retries", "retries are from 0 to 10, shares from 0 to 1, and no time below 0")
	}
}
