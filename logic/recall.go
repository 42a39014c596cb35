package logic

import (
	"math"
	"time"
)

// What a balancer has learnt, for the one that comes after it in the same place.

// Knowledge is what a Balancer has learnt of its servers and classes. Times in it are ages, so that it
// can be read on another clock.
type Knowledge struct {
	Servers []ServerKnowledge
	Usual   []time.Duration // mean time to an answer, a class each
	Worth   float64         // mean worth of a request for its time
}

// ServerKnowledge is what was learnt of one server.
type ServerKnowledge struct {
	ID      string
	Life    time.Duration // how long ago it started; 0 for long ago
	Took    float64       // mean time to an own answer in seconds
	Known   float64       // answers that it is the mean of
	Failing float64       // share of failures among the latest outcomes
	Out     time.Duration // for how long it is to be kept out yet; 0: not
	Polled  float64       // logarithm of the capacity that it reported
	Error   float64       // variance of that; 0: nothing was reported
}

// sameLife is how far two figures for a server's start may differ, as they come by different clocks.
const sameLife = 100 * time.Millisecond

// Knowledge returns what has been learnt so far.
func (b *Balancer) Knowledge(now time.Duration) Knowledge {
	b.now = now
	k := Knowledge{Worth: b.worth}
	for _, u := range b.usual {
		k.Usual = append(k.Usual, time.Duration(u))
	}
	for _, s := range b.servers {
		if s.State == Ready && (s.known+b.polledCount(s) >= 1 || s.until > 0) {
			k.Servers = append(k.Servers, b.knowledgeOf(s))
		}
	}
	return k
}

func (b *Balancer) knowledgeOf(s *server) ServerKnowledge {
	e := ServerKnowledge{ID: s.ID, Took: s.took, Known: s.known, Failing: s.failing, Out: max(0, s.until-b.now)}
	if s.Started != 0 {
		e.Life = b.now - s.Started
	}
	if s.polledAt != 0 {
		e.Polled, e.Error = s.polled, b.polledVar(s)
	}
	return e
}

// Recall starts from what an earlier Balancer with the same settings had learnt so long ago, as far as
// its servers come in the list with the same start. It is called before the first event.
func (b *Balancer) Recall(now time.Duration, k Knowledge, ago time.Duration) {
	if len(k.Usual) == len(b.usual) {
		for i, u := range k.Usual {
			if u > 0 && u <= b.set.Classes[i].Deadline {
				b.usual[i] = float64(u)
			}
		}
		b.worth = max(0, k.Worth)
	}
	for _, e := range k.Servers {
		b.keep(e, now-ago)
	}
}

// recollection is what was known of a server that is not listed.
type recollection struct {
	ServerKnowledge
	at time.Duration // as of then
}

// mostKept bounds the servers that are remembered beyond those that are listed.
const mostKept = 1024

// keep remembers a server that is not listed. When too many are, the oldest gives way: servers whose place
// others took never come back, and would fill the room for good.
func (b *Balancer) keep(e ServerKnowledge, at time.Duration) {
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
	if !ok || (e.Life == 0) != (s.Started == 0) {
		return
	}
	if off := e.at - e.Life - s.Started; e.Life != 0 && max(off, -off) > sameLife {
		return
	}
	passed := b.now - e.at
	if e.Took > 0 && e.Known > 0 && !b.reports {
		s.took, s.known, s.rate = e.Took, e.Known, 1/e.Took
		b.forget(s, ticks*float64(passed)/float64(b.horizon))
	}
	s.failing = min(1, max(0, e.Failing))
	if e.Out > 0 { // it is tried once that is over
		s.until = b.now + max(0, min(e.Out-passed, b.horizon))
	}
	if e.Error > 0 {
		s.polled, s.polledVar, s.polledAt = e.Polled, e.Error, e.at
	}
}
