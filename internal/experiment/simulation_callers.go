package experiment

import (
	"time"

	"ryeweir/internal/emulator/callers"
	"ryeweir/internal/emulator/referee"
	"ryeweir/logic"
)

// clientAttempt is a try of a client, on its way.
type clientAttempt struct {
	id         string
	agent      *simAgent
	journey    *callers.Call
	triedNodes []string
	deadline   time.Duration // when its agent stops, or its client where there is none
	ended      bool          // for the client
	sends      int
	inFlight   int
}

// beginAttempt begins a client's next try, or ends its journey.
func (s *simulation) beginAttempt(j *callers.Call, tried []string) {
	wait, leaves := j.Attempt(s.now)
	if wait == 0 {
		s.finishCall(j)
		return
	}
	a := s.agents[j.Agent]
	if a.away { // nobody listens: the client learns it at once
		s.truths.NotRunning++
		s.reconnectLater(j, tried)
		return
	}
	t := &clientAttempt{id: callers.RequestID(s.day.Seed, j.Number, j.Attempts), agent: a, journey: j, triedNodes: tried, deadline: s.now + wait}
	ask := referee.Request{ID: t.id, Agent: s.day.Agents[j.Agent], NonIdempotent: j.Class.NonIdempotent, At: s.now, Class: j.Class.Name}
	if a.balancer == nil {
		ask.Agent = ""
	}
	s.referee.RequestSent(ask)
	s.open[t.id] = t
	s.schedule(s.now+leaves, func() { s.disconnectClient(t) })
	if a.balancer == nil {
		s.choose(t)
		return
	}
	t.deadline -= min(deadlineMargin, wait/4)
	if a.budget != nil {
		a.budget.SetLatencyOverload(s.clock(), a.balancer.OverloadLevel())
		if v := a.budget.Admit(s.clock(), a.order.Priority(s.clock(), j.PlannedRequest.Class, j.Tenant)); !v.Admit {
			s.judgeRejection(a)
			s.answer(t, referee.Rejected, 0, v.RetryAfter)
			return
		}
	}
	s.handle(a, logic.Request{ID: t.id, Class: j.PlannedRequest.Class, Tenant: j.Tenant, Key: j.Key, Deadline: t.deadline + moduleStart})
}

func (s *simulation) finishCall(j *callers.Call) {
	s.callsLeft--
	s.calls = append(s.calls, j.Result())
}

// disconnectClient is a client's end of waiting.
func (s *simulation) disconnectClient(t *clientAttempt) {
	if t.ended {
		return
	}
	s.answer(t, referee.TimedOut, 0, 0)
	if t.agent.balancer != nil {
		s.handle(t.agent, logic.ClientDisconnected{Request: t.id})
	} else {
		for _, at := range s.attempts(t) {
			s.abandon(at)
		}
	}
}

func (s *simulation) attempts(t *clientAttempt) (out []*simAttempt) {
	for _, at := range s.waiting {
		if at.client == t {
			out = append(out, at)
		}
	}
	return out
}

// answer gives a try its end, and lets the journey go on.
func (s *simulation) answer(t *clientAttempt, end referee.Outcome, sum uint64, comeBack time.Duration) {
	if t.ended {
		return
	}
	t.ended = true
	s.referee.RequestEnded(t.id, end, sum, s.now)
	s.forget(t)
	next, over := t.journey.Ended(s.now, end, comeBack)
	if over {
		s.finishCall(t.journey)
		return
	}
	s.schedule(next, func() { s.beginAttempt(t.journey, t.triedNodes) })
}

func (s *simulation) forget(t *clientAttempt) {
	if t.ended && t.inFlight == 0 {
		delete(s.open, t.id)
	}
}

// choose sends a try where its chooser says.
func (s *simulation) choose(t *clientAttempt) {
	a := t.agent
	views, among, truths := s.views[:0], s.viewNodes[:0], s.viewTruths[:0]
	for _, e := range s.list.entries {
		n := s.byID[e.ID]
		if e.State != logic.Ready || n == nil {
			continue
		}
		v := View{ID: n.ID, Own: a.connsInUse[n.number]}
		if n.up && !s.day.Partitioned(a.zone, n.Zone, s.now) {
			truths = append(truths, s.visibleState(n))
			v.True = &truths[len(truths)-1]
			v.True.Away = s.day.LinkTo(a.zone, n.Zone).Delay
		}
		views, among = append(views, v), append(among, n)
	}
	s.views, s.viewNodes = views, among
	i := a.chooser.Choose(views, t.journey.PlannedRequest, t.triedNodes)
	if i < 0 {
		s.answer(t, referee.NotSent, 0, 0)
		return
	}
	t.triedNodes = append(t.triedNodes, views[i].ID)
	s.delayed.sent[among[i].number] += t.journey.Work.Seconds()
	s.send(t, among[i], 0)
}
