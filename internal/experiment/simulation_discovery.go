package experiment

import (
	"slices"
	"time"

	"ryeweir/internal/discovery"
	"ryeweir/logic"
)

// discoveryModel models discovery: the endpoint list, its changes, and the queue of calls.
type discoveryModel struct {
	entries   []logic.Endpoint // in the order of the nodes
	changes   []logic.Endpoint // all changes so far; the list's version is their number
	down      bool
	busyUntil time.Duration // when the last queued call will have been served
	calls     int           // calls so far
}

// maxQueueTime is how long a call waits in the queue before it fails.
const maxQueueTime = time.Second

// changeEndpoint applies a change of one endpoint to the endpoint list after a delay, and notifies the watching agents.
func (s *simulation) changeEndpoint(delay time.Duration, changed logic.Endpoint) {
	s.schedule(s.now+delay+s.scenario.ListDelay(s.now), func() {
		list := &s.list
		list.changes = append(list.changes, changed)
		i := slices.IndexFunc(list.entries, func(o logic.Endpoint) bool { return o.ID == changed.ID })
		switch {
		case changed.State == logic.Removed && i >= 0:
			list.entries = slices.Delete(list.entries, i, i+1)
		case changed.State == logic.Removed:
		case i >= 0:
			list.entries[i] = changed
		default:
			list.entries = append(list.entries, changed)
		}
		for _, a := range s.agents {
			s.notifyWatcher(a)
		}
	})
}

// queueListCall queues a call of discovery, which serves calls one at a time at a fixed rate, and calls then with the result. A call that
// would wait longer than maxQueueTime fails after that time.
func (s *simulation) queueListCall(then func(ok bool)) {
	s.list.calls++
	if s.list.down {
		s.schedule(s.now+watchDelay, func() { then(false) })
		return
	}
	wait := time.Duration(0)
	if rate := s.scenario.Spec.Discovery.Rate; rate > 0 {
		wait = max(s.list.busyUntil, s.now) + time.Duration(float64(time.Second)/rate) - s.now
		if wait > maxQueueTime {
			s.schedule(s.now+maxQueueTime, func() { then(false) })
			return
		}
		s.list.busyUntil = s.now + wait
	}
	s.schedule(s.now+max(wait, watchDelay), func() { then(!s.list.down) })
}

// subscribe starts an agent's watch of the endpoint list as the agent's discovery client does: in a large fleet, the first watch calls
// of the processes, which start with a full list, are spread at random over timing.StartSpread.
func (s *simulation) subscribe(agent *simAgent) {
	timing := discovery.FleetTimingFor(len(s.scenario.Agents))
	spread := time.Duration(0)
	if !agent.subscribed {
		agent.subscribed = true
		spread = time.Duration(agent.rng.Float64() * float64(timing.StartSpread))
	}
	s.schedule(s.now+spread, func() { s.watch(agent, timing) })
}

// watch begins an agent's watch call. If discovery.WatchTimeout passes without a change, the call ends and the agent makes another.
func (s *simulation) watch(agent *simAgent, timing discovery.FleetTiming) {
	if agent.ended {
		return
	}
	s.queueListCall(func(ok bool) {
		switch {
		case agent.ended:
		case !ok:
			backoff := time.Duration(agent.rng.Float64() * float64(timing.RetrySpread))
			s.schedule(s.now+backoff, func() { s.handle(agent, logic.DiscoveryUnavailable{}) })
		default:
			agent.watching = true
			s.notifyWatcher(agent)
			since := agent.version
			s.schedule(s.now+discovery.WatchTimeout, func() {
				if agent.watching && agent.version == since && !agent.ended {
					agent.watching = false
					s.watch(agent, timing)
				}
			})
		}
	})
}

// notifyWatcher sends a watching agent the changes since its version of the list, if there are any, and begins its next watch.
func (s *simulation) notifyWatcher(agent *simAgent) {
	if !agent.watching || s.list.down || agent.version == len(s.list.changes) || agent.balancer == nil {
		return
	}
	agent.watching = false
	s.schedule(s.now+watchDelay, func() {
		if agent.ended {
			return
		}
		var entries []logic.Endpoint
		for _, entry := range s.list.changes[agent.version:] {
			entries = slices.DeleteFunc(entries, func(o logic.Endpoint) bool { return o.ID == entry.ID })
			entries = append(entries, entry)
		}
		agent.version = len(s.list.changes)
		for _, entry := range entries {
			agent.known = slices.DeleteFunc(agent.known, func(o logic.Endpoint) bool { return o.ID == entry.ID })
			if entry.State != logic.Removed {
				agent.known = append(agent.known, entry)
			}
			s.referee.Notified(s.scenario.Agents[agent.number], entry.ID, entry.State == logic.Ready, s.now)
		}
		s.handle(agent, logic.EndpointList{Endpoints: entries})
		s.watch(agent, discovery.FleetTimingFor(len(s.scenario.Agents)))
	})
}

// sendFullList gives an agent a full snapshot of the list.
func (s *simulation) sendFullList(agent *simAgent, entries []logic.Endpoint) {
	agent.known = slices.Clone(entries)
	for _, entry := range entries {
		s.referee.Notified(s.scenario.Agents[agent.number], entry.ID, entry.State == logic.Ready, s.now)
	}
	s.handle(agent, logic.EndpointList{Full: true, Endpoints: slices.Clone(entries)})
}

// breakWatch fails an agent's open watch call, if there is one.
func (s *simulation) breakWatch(agent *simAgent) {
	if agent.watching {
		agent.watching = false
		s.schedule(s.now+watchDelay, func() { s.handle(agent, logic.DiscoveryUnavailable{}) })
	}
}
