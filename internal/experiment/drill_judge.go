package experiment

import "fmt"

// evaluate compares an outcome with what the drill expects. It returns the expectations that failed, and whether a rule is among them. If a
// rule was violated or the machine was overloaded, only the rules are checked.
func (s *DrillSpec) evaluate(outcome Outcome) (failed []string, broken bool) {
	j := &drillEvaluator{spec: s, outcome: outcome}
	j.checkRules()
	if broken = len(j.failed) > 0; broken || machineOverloaded(outcome) {
		return j.failed, broken
	}
	j.checkNodes()
	j.checkSurge()
	j.checkPriorities()
	j.checkAdmission()
	j.checkServedByClass()
	j.checkPeers()
	return j.failed, false
}

// drillEvaluator collects the expectations that an outcome does not meet.
type drillEvaluator struct {
	spec    *DrillSpec
	outcome Outcome
	failed  []string
}

// expect adds an expectation that failed, unless ok.
func (j *drillEvaluator) expect(ok bool, format string, args ...any) {
	if !ok {
		j.failed = append(j.failed, fmt.Sprintf(format, args...))
	}
}

// checkRules checks what must hold in each drill.
func (j *drillEvaluator) checkRules() {
	account := j.outcome.Account
	held := account.Balanced() && account.RulesHold() && account.UnknownRequests == 0
	j.expect(held, "a rule was violated, a request has no or several outcomes, or a node got an unknown request: %+v %v", account, j.outcome.Violations)
	j.expect(!j.outcome.Interrupted, "the drill was interrupted")
}

// checkNodes checks the attempts and health checks that the nodes received, and their degradation.
func (j *drillEvaluator) checkNodes() {
	e, o := j.spec.Expect, j.outcome
	if most := e.MaxDegradations; most != nil {
		j.expect(o.Degradations <= *most, "nodes degraded %d times, allowed at most %d", o.Degradations, *most)
	}
	j.expect(e.MaxAttempts == 0 || o.Attempts <= e.MaxAttempts, "%.2f attempts per request, allowed at most %.2f", o.Attempts, e.MaxAttempts)
	j.expect(e.MaxSlowStartPeak == 0 || o.SlowStartPeak <= e.MaxSlowStartPeak, "a node in slow start got %.2f of the load that overloads it, allowed at most %.2f", o.SlowStartPeak, e.MaxSlowStartPeak)
	j.expect(e.MaxHealthCheckWork == 0 || o.HealthCheckWork <= e.MaxHealthCheckWork, "health checks took %.4f of the nodes' capacity, allowed at most %.4f", o.HealthCheckWork, e.MaxHealthCheckWork)
	if unnotified, most := o.Account.Unnotified, e.MaxUnnotified; most != nil {
		j.expect(unnotified <= *most, "%d requests arrived at draining nodes from agents that had not been notified, allowed at most %d", unnotified, *most)
	}
}

// checkSurge checks goodput in the surge and recovery after it.
func (j *drillEvaluator) checkSurge() {
	e, surge := j.spec.Expect, j.outcome.Surge
	if surge == nil {
		j.expect(e.MinGoodput <= 0 && e.RecoveredWithin <= 0, "goodput_least or back_within is set, but the scenario has no surge")
		return
	}
	j.expect(surge.Goodput >= e.MinGoodput, "goodput %.3f in the surge, required at least %.3f", surge.Goodput, e.MinGoodput)
	recovered := surge.RecoverySeconds >= 0 && surge.RecoverySeconds <= e.RecoveredWithin.D().Seconds()
	j.expect(e.RecoveredWithin == 0 || recovered, "service recovered %.0f s after the surge (-1: never), required within %v", surge.RecoverySeconds, e.RecoveredWithin.D())
}

// checkPriorities checks the service of the agents without faults, and that requests are served in the order of priority.
func (j *drillEvaluator) checkPriorities() {
	e, o := j.spec.Expect, j.outcome
	j.expect(o.UnaffectedService >= e.MinUnaffectedService, "service of the agents without faults was %.3f, required at least %.3f", o.UnaffectedService, e.MinUnaffectedService)
	j.expect(e.MaxPassedOver == 0 || o.PassedOver <= e.MaxPassedOver, "%.3f of the top-priority class's work was passed over for lower classes, allowed at most %.3f", o.PassedOver, e.MaxPassedOver)
}

// checkAdmission checks the metrics of the agents' admission budgets.
func (j *drillEvaluator) checkAdmission() {
	least := j.spec.Expect.MinSelfOverloaded
	if admission := j.outcome.Admission; admission != nil {
		j.expect(admission.SelfOverloaded >= least, "agents found themselves overloaded in %d samples, required at least %d", admission.SelfOverloaded, least)
		return
	}
	j.expect(least == 0, "the agents reported no admission budgets")
}

// checkServedByClass checks the fraction of each class that was served.
func (j *drillEvaluator) checkServedByClass() {
	for name, least := range j.spec.Expect.MinServed {
		served := j.outcome.ByClass[j.spec.class(name)]
		j.expect(served >= least, "class %s: the fraction served is %.3f, required at least %.3f", name, served, least)
	}
	for name, most := range j.spec.Expect.MaxServed {
		served := j.outcome.ByClass[j.spec.class(name)]
		j.expect(served <= most, "class %s: the fraction served is %.3f, allowed at most %.3f", name, served, most)
	}
}

// checkPeers checks the agents' metrics of their peers.
func (j *drillEvaluator) checkPeers() {
	e, peers := j.spec.Expect, j.outcome.Peers
	if peers == nil {
		none := !e.FullMembership && e.MaxSplitFraction == 0 && e.MinWithheld == 0 && e.MaxNoticeMS == 0 && e.MinReplicaStates == 0 && !e.ReplicasAgree
		j.expect(none, "the agents reported no peers")
		return
	}
	j.expect(peers.MaxReplicaStates >= e.MinReplicaStates, "agents held at most %d different replica states, required at least %d", peers.MaxReplicaStates, e.MinReplicaStates)
	j.expect(!e.ReplicasAgree || peers.ReplicaStatesAtEnd == 1, "agents held %d different replica states at the end, required 1", peers.ReplicaStatesAtEnd)
	j.expect(peers.Withheld >= e.MinWithheld, "notices of peers drained a node at an agent whose own list still had it as ready %d times, required at least %d", peers.Withheld, e.MinWithheld)
	j.expect(e.MaxNoticeMS == 0 || peers.NoticeMaxMS <= e.MaxNoticeMS, "a notice from a peer took %.0f ms, allowed at most %.0f ms", peers.NoticeMaxMS, e.MaxNoticeMS)
	if e.FullMembership {
		j.checkMembershipHealed(peers)
	}
	if e.MaxSplitFraction > 0 {
		j.checkMembershipSplit(peers)
	}
}

// checkMembershipHealed checks that each agent saw all others at the end, and at least once after each fault.
func (j *drillEvaluator) checkMembershipHealed(peers *PeerSummary) {
	j.expect(peers.AllSeenAtEnd >= 1-1e-9, "%.2f of the agents saw all others at the end, required 1", peers.AllSeenAtEnd)
	for i, recovery := range peers.Recoveries {
		// If the next fault ends at the same time, no sample lies between the two ends.
		if i+1 == len(peers.Recoveries) || peers.Recoveries[i+1].At > recovery.At {
			j.expect(recovery.NeverRecovered == 0, "after %s, %d agents did not see all others before the next fault or the run ended, required 0", recovery.Fault, recovery.NeverRecovered)
		}
	}
}

// checkMembershipSplit checks that a fault did separate an agent from others.
func (j *drillEvaluator) checkMembershipSplit(peers *PeerSummary) {
	least := j.spec.Scenario.Agents
	for _, recovery := range peers.Recoveries {
		least = min(least, recovery.MinPeersSeen)
	}
	most := j.spec.Expect.MaxSplitFraction * float64(j.spec.Scenario.Agents-1)
	j.expect(float64(least) <= most, "every agent saw at least %d others during the faults, which should leave an agent at most %.1f: they did not split the membership", least, most)
}
