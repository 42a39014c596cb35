package logic

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"time"
)

// Membership: the list of servers, and how it is asked for.

// list takes the list or a change of it. Every change counts from the same event on.
func (b *Balancer) list(l EndpointList) {
	b.tries = 0
	named := make(map[string]bool, len(l.Endpoints))
	for _, e := range l.Endpoints {
		named[e.ID] = true
		s, known := b.byID[e.ID], true
		if s == nil {
			known = false
			s = &server{heard: b.now, rank: hash(strconv.Itoa(b.set.BalancerIndex) + " " + e.ID)}
			s.nextProbe = -1
			b.byID[e.ID] = s
			b.servers = append(b.servers, s)
		} else if e.StartedAt != s.StartedAt {
			// A restarted process is cold and well: what an earlier life showed says nothing of it.
			*s = server{inFlight: s.inFlight, life: b.now, heard: b.now, rank: s.rank,
				probing: s.probing, nextProbe: s.nextProbe}
		}
		s.Endpoint = e
		if !b.set.UseListedWeights || e.Weight <= 0 {
			s.Weight = 1
		}
		if !known {
			b.recall(s)
		}
	}
	b.servers = slices.DeleteFunc(b.servers, func(s *server) bool {
		gone := s.State == Removed || l.Full && !named[s.ID]
		if gone {
			b.keep(b.knowledgeOf(s), b.now) // it may come back: a list can be wrong
			s.State = Removed               // attempts in flight still hold it
			delete(b.byID, s.ID)
		}
		return gone
	})
	b.subset = max(subsetLeast, int(coverLeast*float64(len(b.servers))/float64(b.set.Balancers)))
	for _, s := range b.servers {
		if s.nextProbe < 0 && b.probing() { // all balancers learn of a new server at the same time
			s.nextProbe = b.now + seconds(b.gap()*b.rng.Float64())
		}
	}
	slices.SortFunc(b.servers, func(x, y *server) int { return cmp.Compare(x.rank, y.rank) })
}

// resubscribe asks again, later each time and at random: all that lost the list together must not swamp it.
func (b *Balancer) resubscribe() {
	if !b.set.SubscriptionRequired || b.asking {
		return
	}
	b.asking = true // one timer is enough, however many calls have failed
	// A large fleet waits for longer, so that discovery comes to an end with the calls it has.
	crowd := min(mostCrowd, max(1, float64(b.set.Balancers)/usualFleet))
	wait := crowd * float64(b.horizon) * math.Exp2(float64(min(b.tries, mostWaits)))
	if b.set.MaxPollRetryInterval > 0 {
		wait = min(wait, float64(b.set.MaxPollRetryInterval)*4/3)
	}
	wait *= (0.5 + b.rng.Float64()) / 2
	if b.tries++; b.set.MaxPollInterval > 0 { // who asks in vain has four times this to ask again
		wait = min(wait, crowd*float64(b.set.MaxPollInterval)/2)
	}
	b.timer(subscribeToken, time.Duration(wait))
}
