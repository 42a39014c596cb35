package logic

import (
	"math"
	"time"
)

// What a balancer has learnt, for the one that comes after it in the same place.

// Knowledge is what a Balancer has learnt of its servers and classes. Times in it are ages, so that it
// can be read on another clock.
type Knowledge struct {
	Endpoints       []EndpointKnowledge
	BaselineLatency []time.Duration // mean time to an answer, a class each
	MeanPriority    float64         // mean worth of a request for its time
}

// EndpointKnowledge is what was learnt of one server.
type EndpointKnowledge struct {
	ID                  string
	Age                 time.Duration // how long ago it started; 0 for long ago
	MeanLatency         float64       // mean time to an own answer in seconds
	Samples             float64       // answers that it is the mean of
	FailureRate         float64       // share of failures among the latest outcomes
	EjectedFor          time.Duration // for how long it is to be kept out yet; 0: not
	LogCapacity         float64       // logarithm of the capacity that it reported
	LogCapacityVariance float64       // variance of that; 0: nothing was reported
}

// sameLife is how far two figures for a server's start may differ, as they come by different clocks.
const sameLife = 100 * time.Millisecond

// Knowledge returns what has been learnt so far.
func (b *Balancer) Knowledge(now time.Duration) Knowledge {
	b.now = now
	k := Knowledge{MeanPriority: b.worth}
	for _, u := range b.usual {
		k.BaselineLatency = append(k.BaselineLatency, time.Duration(u))
	}
	for _, s := range b.servers {
		if s.State == Ready && (s.known+b.polledCount(s) >= 1 || s.until > 0) {
			k.Endpoints = append(k.Endpoints, b.knowledgeOf(s))
		}
	}
	return k
}

func (b *Balancer) knowledgeOf(s *server) EndpointKnowledge {
	e := EndpointKnowledge{ID: s.ID, MeanLatency: s.took, Samples: s.known, FailureRate: s.failing,
		EjectedFor: max(0, s.until-b.now)}
	if s.StartedAt != 0 {
		e.Age = b.now - s.StartedAt
	}
	if s.polledAt != 0 {
		e.LogCapacity, e.LogCapacityVariance = s.polled, b.polledVar(s)
	}
	return e
}

// Restore starts from what an earlier Balancer with the same settings had learnt so long ago, as far as
// its servers come in the list with the same start. It is called before the first event.
func (b *Balancer) Restore(now time.Duration, k Knowledge, ago time.Duration) {
	if len(k.BaselineLatency) == len(b.usual) {
		for i, u := range k.BaselineLatency {
			if u > 0 && u <= b.set.Classes[i].Timeout {
				b.usual[i] = float64(u)
			}
		}
		b.worth = max(0, k.MeanPriority)
	}
	for _, e := range k.Endpoints {
		b.keep(e, now-ago)
	}
}

// recollection is what was known of a server that is not listed.
type recollection struct {
	EndpointKnowledge
	at time.Duration // as of then
}

// mostKept bounds the servers that are remembered beyond those that are listed.
const mostKept = 1024

// keep remembers a server that is not listed. When too many are, the oldest gives way: servers whose place
// others took never come back, and would fill the room for good.
func (b *Balancer) keep(e EndpointKnowledge, at time.Duration) {
	if _, known := b.kept[e.ID]; !known && len(b.kept) >= mostKept {
		oldest := recollection{at: math.MaxInt64}
		for _, k := range b.kept {
			if k.at < oldest.at || k.at == oldest.at && k.ID < oldest.ID {
				oldest = k
			}
		}
		delete(b.kept, oldest.ID)
	}
	b.kept[e.ID] = recollection{e, at}
}

// recall gives a server that comes new in the list what was known of it, unless it has started anew
// since. It has aged.
func (b *Balancer) recall(s *server) {
	e, ok := b.kept[s.ID]
	delete(b.kept, s.ID)
	if !ok || (e.Age == 0) != (s.StartedAt == 0) {
		return
	}
	if off := e.at - e.Age - s.StartedAt; e.Age != 0 && max(off, -off) > sameLife {
		return
	}
	passed := b.now - e.at
	if e.MeanLatency > 0 && e.Samples > 0 && !b.reports {
		s.took, s.known, s.rate = e.MeanLatency, e.Samples, 1/e.MeanLatency
		b.forget(s, ticks*float64(passed)/float64(b.horizon))
	}
	s.failing = min(1, max(0, e.FailureRate))
	if e.EjectedFor > 0 { // it is tried once that is over
		s.until = b.now + max(0, min(e.EjectedFor-passed, b.horizon))
	}
	if e.LogCapacityVariance > 0 {
		s.polled, s.polledVar, s.polledAt = e.LogCapacity, e.LogCapacityVariance, e.at
	}
}
