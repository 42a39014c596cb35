package agent

import (
	"time"

	"ryeweir/internal/fleetstate"
)

// MergeFacts merges the facts that a peer has sent and returns the new ones, which the member passes on to other peers.
func (p *peers) MergeFacts(facts []fleetstate.Fact) (fresh []fleetstate.Fact) {
	if !p.settings.ShareFacts {
		return nil
	}
	p.mu.Lock()
	now := time.Now()
	var corrections []fleetstate.Fact
	for _, fact := range facts {
		merged := p.mergeFact(now, fact)
		fresh = append(fresh, merged...)
		if len(merged) > 0 {
			corrections = append(corrections, p.correctForgery(now, fact)...)
		}
	}
	p.mu.Unlock()
	p.member.Broadcast(corrections)
	if len(fresh) > 0 {
		p.signalFactsChanged()
	}
	return fresh
}

// mergeFact merges one fact and returns it if it is new. If the fact makes a drain or removal known, its delay is added to
// p.noticeDelay. The caller holds p.mu.
func (p *peers) mergeFact(now time.Time, fact fleetstate.Fact) []fleetstate.Fact {
	subject := fleetstate.Incarnation{Server: fact.Server, Started: fact.Started}
	before := p.replica.NoticeState(subject)
	merged := p.replica.Merge(now, []fleetstate.Fact{fact})
	if len(merged) > 0 && p.replica.NoticeState(subject) > before {
		p.noticeDelay.add(now.Sub(p.replica.FirstNoticed(subject)))
	}
	return merged
}

// correctForgery replaces a suspicion that was received under this agent's own name with what this agent last reported, and returns
// the correction. Such a suspicion is from another agent that uses this agent's name, or from an earlier process of this agent, as
// only this agent reports its suspicions. Uncorrected, it would count against the endpoint until it expires. The caller holds p.mu.
func (p *peers) correctForgery(now time.Time, fact fleetstate.Fact) []fleetstate.Fact {
	if fact.Kind != fleetstate.Suspicion || fact.Origin != p.name {
		return nil
	}
	p.forgedSuspicions++
	subject := fleetstate.Incarnation{Server: fact.Server, Started: fact.Started}
	if own, fresh := p.replica.Put(now, fact.Key, p.failures.LastReported(subject), p.name); fresh {
		return []fleetstate.Fact{own}
	}
	return nil
}

// signalFactsChanged wakes run. It does nothing if a signal is already pending.
func (p *peers) signalFactsChanged() {
	select {
	case p.factsChanged <- struct{}{}:
	default:
	}
}

// Facts returns all facts of the replica that have not expired, for a peer that joins or repairs its replica.
func (p *peers) Facts() []fleetstate.Fact {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.replica.Expire(time.Now())
	return p.replica.Facts()
}
