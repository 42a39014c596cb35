package experiment

import "fmt"

// judge compares an outcome with what the drill expects. It returns the expectations that failed, and whether a rule is among them. Where
// a rule broke, or the machine was overloaded, nothing but the rules is judged.
func (s *DrillSpec) evaluate(outcome Outcome) (failed []string, broken bool) {
	j := &drillEvaluator{spec: s, outcome: outcome}
	j.checkRules()
	if broken = len(j.failed) > 0; broken || machineOverloaded(outcome) {
		return j.failed, broken
	}
	j.checkNodes()
	j.checkSurge()
	j.checkPriorities()
	j.checkLevels()
	j.checkServedByClass()
	j.checkPeers()
	return j.failed, false
}

// drillEvaluator collects the expectations that an outcome failed.
type drillEvaluator struct {
	spec    *DrillSpec
	outcome Outcome
	failed  []string
}

// expect notes an expectation that failed.
func (j *drillEvaluator) expect(ok bool, format string, args ...any) {
	if !ok {
		j.failed = append(j.failed, fmt.Sprintf(format, args...))
	}
}

// checkRules checks what must hold in any drill.
func (j *drillEvaluator) checkRules() {
	account := j.outcome.Account
	held := account.Balanced() && account.RulesHold() && account.UnknownRequests == 0
	j.expect(held, "the rules, one answer each and no stranger: %+v %v", account, j.outcome.Violations)
	j.expect(!j.outcome.Interrupted, "it was interrupted")
}

// checkNodes checks what the nodes were sent.
func (j *drillEvaluator) checkNodes() {
	e, o := j.spec.Expect, j.outcome
	j.expect(e.MaxChokes == nil || o.Degradations <= *e.MaxChokes, "%d nodes choked", o.Degradations)
	j.expect(e.MaxAttempts == 0 || o.Attempts <= e.MaxAttempts, "%.2f attempts a request", o.Attempts)
	j.expect(e.MaxSlowStartPeak == 0 || o.SlowStartPeak <= e.MaxSlowStartPeak, "a cold node got %.2f of what topples it", o.SlowStartPeak)
	j.expect(e.MaxHealthCheckWork == 0 || o.HealthCheckWork <= e.MaxHealthCheckWork, "probes took %.4f of the nodes' work", o.HealthCheckWork)
	unnotified := o.Account.Unnotified
	j.expect(e.MaxUnnotified == nil || unnotified <= *e.MaxUnnotified, "%d requests came to ending nodes from agents that were not told", unnotified)
}

// checkSurge checks goodput in the surge and recovery after it.
func (j *drillEvaluator) checkSurge() {
	e, surge := j.spec.Expect, j.outcome.Surge
	if surge == nil {
		j.expect(e.MinGoodput <= 0 && e.RecoveredWithin <= 0, "the day has no surge")
		return
	}
	j.expect(surge.Goodput >= e.MinGoodput, "goodput %.3f in the surge", surge.Goodput)
	recovered := surge.RecoverySeconds >= 0 && surge.RecoverySeconds <= e.RecoveredWithin.D().Seconds()
	j.expect(e.RecoveredWithin == 0 || recovered, "service came back %.0f s after the surge (-1: never)", surge.RecoverySeconds)
}

// checkPriorities checks the agents without faults, and the order by priority weight.
func (j *drillEvaluator) checkPriorities() {
	e, o := j.spec.Expect, j.outcome
	j.expect(o.UnaffectedService >= e.MinSpared, "agents that nothing befell served %.3f", o.UnaffectedService)
	j.expect(e.MaxPassedOver == 0 || o.PassedOver <= e.MaxPassedOver, "%.3f of the worthiest were passed over", o.PassedOver)
}

// checkLevels checks what the agents reported of their budgets.
func (j *drillEvaluator) checkLevels() {
	least := j.spec.Expect.MinSelfOverloaded
	if admission := j.outcome.Admission; admission != nil {
		j.expect(admission.SelfOverloaded >= least, "agents were over themselves at %d looks", admission.SelfOverloaded)
		return
	}
	j.expect(least == 0, "the agents told nothing of budgets")
}

// checkServedByClass checks the fraction served of each class.
func (j *drillEvaluator) checkServedByClass() {
	for name, least := range j.spec.Expect.MinServed {
		served := j.outcome.ByClass[j.spec.class(name)]
		j.expect(served >= least, "%s was served %.3f", name, served)
	}
	for name, most := range j.spec.Expect.MaxServed {
		served := j.outcome.ByClass[j.spec.class(name)]
		j.expect(served <= most, "%s was served %.3f", name, served)
	}
}

// checkPeers checks what the agents reported of their peers.
func (j *drillEvaluator) checkPeers() {
	e, peers := j.spec.Expect, j.outcome.Peers
	if peers == nil {
		none := !e.FullMembership && e.MaxSplitFraction == 0 && e.MinWithheld == 0 && e.MaxNoticeMS == 0 && e.MinReplicaStates == 0 && !e.ReplicasAgree
		j.expect(none, "the agents told nothing of their peers")
		return
	}
	j.expect(peers.MaxReplicaStates >= e.MinReplicaStates, "agents held %d different copies at the most", peers.MaxReplicaStates)
	j.expect(!e.ReplicasAgree || peers.ReplicaStatesAtEnd == 1, "agents held %d different copies at the end", peers.ReplicaStatesAtEnd)
	j.expect(peers.Withheld >= e.MinWithheld, "nodes were held back %d times on peers' word", peers.Withheld)
	j.expect(e.MaxNoticeMS == 0 || peers.NoticeMaxMS <= e.MaxNoticeMS, "a notice took %.0f ms", peers.NoticeMaxMS)
	if e.FullMembership {
		j.checkMembershipHealed(peers)
	}
	if e.MaxSplitFraction > 0 {
		j.checkMembershipSplit(peers)
	}
}

// checkMembershipHealed checks that each agent saw all others at the end, and at least once after each fault.
func (j *drillEvaluator) checkMembershipHealed(peers *PeerSummary) {
	j.expect(peers.AllSeenAtEnd >= 1-1e-9, "%.2f of the agents saw all others at the end", peers.AllSeenAtEnd)
	for i, recovery := range peers.Recoveries {
		// Where the next fault ends at the same time there is no interval to see it in.
		if i+1 == len(peers.Recoveries) || peers.Recoveries[i+1].At > recovery.At {
			j.expect(recovery.NeverRecovered == 0, "after %s %d agents never saw all others", recovery.Fault, recovery.NeverRecovered)
		}
	}
}

// checkMembershipSplit checks that a fault did separate the agents.
func (j *drillEvaluator) checkMembershipSplit(peers *PeerSummary) {
	least := j.spec.Scenario.Agents
	for _, recovery := range peers.Recoveries {
		least = min(least, recovery.MinPeersSeen)
	}
	most := j.spec.Expect.MaxSplitFraction * float64(j.spec.Scenario.Agents-1)
	j.expect(float64(least) <= most, "no agent saw fewer than %d others: the cut did not bite", least)
}
