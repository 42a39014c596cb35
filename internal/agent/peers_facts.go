package agent

import (
	"time"

	"ryeweir/internal/fleetstate"
)

// MergeFacts takes in facts from a peer and returns those that were new, which are passed on to other peers.
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

// mergeFact merges one fact and returns it if it was new. If it made a drain or removal known, its delay is counted. p.mu is held.
func (p *peers) mergeFact(now time.Time, fact fleetstate.Fact) []fleetstate.Fact {
	subject := fleetstate.Incarnation{Server: fact.Server, Started: fact.Started}
	before := p.replica.NoticeState(subject)
	merged := p.replica.Merge(now, []fleetstate.Fact{fact})
	if len(merged) > 0 && p.replica.NoticeState(subject) > before {
		p.noticeDelay.add(now.Sub(p.replica.FirstNoticed(subject)))
	}
	return merged
}

// correctForgery replaces a suspicion that came under this agent's own name by what this agent last reported. Only this agent
// reports its suspicions: one that comes back is from another that uses its name, or from an earlier process of its own, and
// would count against the endpoint until it expires. p.mu is held.
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

// signalFactsChanged wakes run, unless a signal waits for it already.
func (p *peers) signalFactsChanged() {
	select {
	case p.factsChanged <- struct{}{}:
	default:
	}
}

// Facts returns all facts of the replica, for a peer that joins or repairs its own.
func (p *peers) Facts() []fleetstate.Fact {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.replica.Expire(time.Now())
	return p.replica.Facts()
}
