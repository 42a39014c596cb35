package experiment

import (
	"slices"
	"time"

	"ryeweir/internal/discovery"
	"ryeweir/logic"
)

// registry is discovery: the list, what has changed in it, and the calls that wait their turn.
type registry struct {
	entries []logic.Endpoint // in the order of the nodes
	changes []logic.Endpoint // the list's version is their number
	down    bool
	free    time.Duration // when the call that is handled last will be through
	calls   int
}

// maxQueueTime is how long a call waits its turn at most.
const maxQueueTime = time.Second

// changeList changes the list, so much later, and tells those who watch.
func (s *simulation) changeList(late time.Duration, e logic.Endpoint) {
	s.schedule(s.now+late+s.day.ListDelay(s.now), func() {
		l := &s.list
		l.changes = append(l.changes, e)
		i := slices.IndexFunc(l.entries, func(o logic.Endpoint) bool { return o.ID == e.ID })
		switch {
		case e.State == logic.Removed && i >= 0:
			l.entries = slices.Delete(l.entries, i, i+1)
		case e.State == logic.Removed:
		case i >= 0:
			l.entries[i] = e
		default:
			l.entries = append(l.entries, e)
		}
		for _, a := range s.agents {
			s.notifyWatcher(a)
		}
	})
}

// queueListCall gives a call its turn: all take the same time, one after the other, and one that would wait for too long is turned away.
func (s *simulation) queueListCall(then func(ok bool)) {
	s.list.calls++
	if s.list.down {
		s.schedule(s.now+watchDelay, func() { then(false) })
		return
	}
	wait := time.Duration(0)
	if rate := s.day.Spec.Discovery.Rate; rate > 0 {
		wait = max(s.list.free, s.now) + time.Duration(float64(time.Second)/rate) - s.now
		if wait > maxQueueTime {
			s.schedule(s.now+maxQueueTime, func() { then(false) })
			return
		}
		s.list.free = s.now + wait
	}
	s.schedule(s.now+max(wait, watchDelay), func() { then(!s.list.down) })
}

// subscribe lets an agent follow the list, as the agent's client of discovery does: in a large fleet the first call of a process that
// has a list comes within a while, and a watch that brought nothing is made anew.
func (s *simulation) subscribe(a *simAgent) {
	pace := discovery.FleetTimingFor(len(s.day.Agents))
	spread := time.Duration(0)
	if !a.subscribed {
		a.subscribed = true
		spread = time.Duration(a.rng.Float64() * float64(pace.StartSpread))
	}
	s.schedule(s.now+spread, func() { s.watch(a, pace) })
}

func (s *simulation) watch(a *simAgent, pace discovery.FleetTiming) {
	if a.ended {
		return
	}
	s.queueListCall(func(ok bool) {
		switch {
		case a.ended:
		case !ok:
			rush := time.Duration(a.rng.Float64() * float64(pace.RetrySpread))
			s.schedule(s.now+rush, func() { s.handle(a, logic.DiscoveryUnavailable{}) })
		default:
			a.watching = true
			s.notifyWatcher(a)
			since := a.version
			s.schedule(s.now+discovery.WatchTimeout, func() {
				if a.watching && a.version == since && !a.ended {
					a.watching = false
					s.watch(a, pace)
				}
			})
		}
	})
}

// notifyWatcher tells an agent that watches what has changed since it was told last, and lets it watch on.
func (s *simulation) notifyWatcher(a *simAgent) {
	if !a.watching || s.list.down || a.version == len(s.list.changes) || a.balancer == nil {
		return
	}
	a.watching = false
	s.schedule(s.now+watchDelay, func() {
		if a.ended {
			return
		}
		var entries []logic.Endpoint
		for _, e := range s.list.changes[a.version:] {
			entries = slices.DeleteFunc(entries, func(o logic.Endpoint) bool { return o.ID == e.ID })
			entries = append(entries, e)
		}
		a.version = len(s.list.changes)
		for _, e := range entries {
			a.known = slices.DeleteFunc(a.known, func(o logic.Endpoint) bool { return o.ID == e.ID })
			if e.State != logic.Removed {
				a.known = append(a.known, e)
			}
			s.referee.Notified(s.day.Agents[a.number], e.ID, e.State == logic.Ready, s.now)
		}
		s.handle(a, logic.EndpointList{Endpoints: entries})
		s.watch(a, discovery.FleetTimingFor(len(s.day.Agents)))
	})
}

// sendFullList gives an agent a whole list, as one that it has from before.
func (s *simulation) sendFullList(a *simAgent, entries []logic.Endpoint) {
	a.known = slices.Clone(entries)
	for _, e := range entries {
		s.referee.Notified(s.day.Agents[a.number], e.ID, e.State == logic.Ready, s.now)
	}
	s.handle(a, logic.EndpointList{Full: true, Endpoints: slices.Clone(entries)})
}

// breakWatch breaks an agent's watch.
func (s *simulation) breakWatch(a *simAgent) {
	if a.watching {
		a.watching = false
		s.schedule(s.now+watchDelay, func() { s.handle(a, logic.DiscoveryUnavailable{}) })
	}
}
