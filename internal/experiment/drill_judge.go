package experiment

import "fmt"

// judge compares an outcome with what the drill expects. It returns the expectations that failed, and whether a rule is among them. Where
// a rule broke, or the machine was overloaded, nothing but the rules is judged.
func (s *DrillSpec) judge(outcome Outcome) (wrong []string, broken bool) {
	j := &drillJudge{spec: s, outcome: outcome}
	j.checkRules()
	if broken = len(j.wrong) > 0; broken || machineOverloaded(outcome) {
		return j.wrong, broken
	}
	j.checkNodes()
	j.checkSurge()
	j.checkPriorities()
	j.checkLevels()
	j.checkServedByClass()
	j.checkPeers()
	return j.wrong, false
}

// drillJudge collects the expectations that an outcome failed.
type drillJudge struct {
	spec    *DrillSpec
	outcome Outcome
	wrong   []string
}

// expect notes an expectation that failed.
func (j *drillJudge) expect(ok bool, format string, args ...any) {
	if !ok {
		j.wrong = append(j.wrong, fmt.Sprintf(format, args...))
	}
}

// checkRules checks what must hold in any drill.
func (j *drillJudge) checkRules() {
	account := j.outcome.Account
	held := account.Balanced() && account.RulesHold() && account.UnknownRequests == 0
	j.expect(held, "the rules, one answer each and no stranger: %+v %v", account, j.outcome.Violations)
	j.expect(!j.outcome.Interrupted, "it was interrupted")
}

// checkNodes checks what the nodes were sent.
func (j *drillJudge) checkNodes() {
	e, o := j.spec.Expect, j.outcome
	j.expect(e.MaxChokes == nil || o.Degradations <= *e.MaxChokes, "%d nodes choked", o.Degradations)
	j.expect(e.MaxAttempts == 0 || o.Attempts <= e.MaxAttempts, "%.2f attempts a request", o.Attempts)
	j.expect(e.MaxSlowStartPeak == 0 || o.SlowStartPeak <= e.MaxSlowStartPeak, "a cold node got %.2f of what topples it", o.SlowStartPeak)
	j.expect(e.MaxHealthCheckWork == 0 || o.HealthCheckWork <= e.MaxHealthCheckWork, "probes took %.4f of the nodes' work", o.HealthCheckWork)
	unnotified := o.Account.Unnotified
	j.expect(e.MaxUnnotified == nil || unnotified <= *e.MaxUnnotified, "%d requests came to ending nodes from agents that were not told", unnotified)
}

// checkSurge checks goodput in the surge and recovery after it.
func (j *drillJudge) checkSurge() {
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
func (j *drillJudge) checkPriorities() {
	e, o := j.spec.Expect, j.outcome
	j.expect(o.UnaffectedService >= e.MinSpared, "agents that nothing befell served %.3f", o.UnaffectedService)
	j.expect(e.MaxPassedOver == 0 || o.PassedOver <= e.MaxPassedOver, "%.3f of the worthiest were passed over", o.PassedOver)
}

// checkLevels checks what the agents reported of their budgets.
func (j *drillJudge) checkLevels() {
	least := j.spec.Expect.MinSelfOverloaded
	if levels := j.outcome.Admission; levels != nil {
		j.expect(levels.SelfOverloaded >= least, "agents were over themselves at %d looks", levels.SelfOverloaded)
		return
	}
	j.expect(least == 0, "the agents told nothing of budgets")
}

// checkServedByClass checks the fraction served of each class.
func (j *drillJudge) checkServedByClass() {
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
func (j *drillJudge) checkPeers() {
	e, views := j.spec.Expect, j.outcome.Peers
	if views == nil {
		none := !e.AllSeeAll && e.SplitTo == 0 && e.MinWithheld == 0 && e.MaxNoticeMS == 0 && e.MinReplicaStates == 0 && !e.ReplicasAgree
		j.expect(none, "the agents told nothing of their peers")
		return
	}
	j.expect(views.MaxReplicaStates >= e.MinReplicaStates, "agents held %d different copies at the most", views.MaxReplicaStates)
	j.expect(!e.ReplicasAgree || views.ReplicaStatesAtEnd == 1, "agents held %d different copies at the end", views.ReplicaStatesAtEnd)
	j.expect(views.Withheld >= e.MinWithheld, "nodes were held back %d times on peers' word", views.Withheld)
	j.expect(e.MaxNoticeMS == 0 || views.NoticeMaxMS <= e.MaxNoticeMS, "a notice took %.0f ms", views.NoticeMaxMS)
	if e.AllSeeAll {
		j.checkMembershipHealed(views)
	}
	if e.SplitTo > 0 {
		j.checkMembershipSplit(views)
	}
}

// checkMembershipHealed checks that each agent saw all others at the end, and at least once after each fault.
func (j *drillJudge) checkMembershipHealed(views *PeerSummary) {
	j.expect(views.AllSeenAtEnd >= 1-1e-9, "%.2f of the agents saw all others at the end", views.AllSeenAtEnd)
	for i, healed := range views.Recoveries {
		// Where the next fault ends at the same time there is no interval to see it in.
		if i+1 == len(views.Recoveries) || views.Recoveries[i+1].At > healed.At {
			j.expect(healed.NeverRecovered == 0, "after %s %d agents never saw all others", healed.Fault, healed.NeverRecovered)
		}
	}
}

// checkMembershipSplit checks that a fault did separate the agents.
func (j *drillJudge) checkMembershipSplit(views *PeerSummary) {
	least := j.spec.Scenario.Agents
	for _, healed := range views.Recoveries {
		least = min(least, healed.MinPeersSeen)
	}
	most := j.spec.Expect.SplitTo * float64(j.spec.Scenario.Agents-1)
	j.expect(float64(least) <= most, "no agent saw fewer than %d others: the cut did not bite", least)
}
