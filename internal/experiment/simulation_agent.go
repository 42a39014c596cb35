package experiment

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"ryeweir/internal/budget"
	"ryeweir/internal/emulator"
	"ryeweir/internal/emulator/callers"
	"ryeweir/internal/emulator/referee"
	"ryeweir/internal/wire"
	"ryeweir/logic"
)

// simAgent is one process of an agent. The next process in its place is another.
type simAgent struct {
	number      int
	incarnation int
	zone        string
	balancer    *logic.Balancer
	budget      *budget.Budget // the fleet's, where the operators' file switches it on
	order       *budget.PriorityOrder
	peerStates  map[int]peerState // received from other agents, by their number
	chooser     Chooser
	conns       map[int]int // to each node
	connsInUse  map[int]int // of those, in use
	unavailable bool        // it takes no clients
	ended       bool        // it has ended
	version     int         // of the endpoint list that it has
	subscribed  bool        // for the list, once
	watching    bool        // a watch call of its own is open
	known       []logic.Endpoint
	rng         *rand.Rand
}

// newProcess returns a process in the i-th agent's place, without decisions yet.
func (s *simulation) newProcess(i int) *simAgent {
	return &simAgent{number: i, zone: s.scenario.AgentZone(i), conns: map[int]int{}, connsInUse: map[int]int{},
		rng: rand.New(rand.NewPCG(s.scenario.Seed*64+uint64(i)+1, 0x6c697374))}
}

// notifiedOf reports whether the agent has been notified of a node's present incarnation. Choosers read the list itself.
func (a *simAgent) notifiedOf(n *simNode) bool {
	return a.balancer == nil || n.Started < 0 || slices.ContainsFunc(a.known, func(e logic.Endpoint) bool {
		return e.ID == n.ID && e.StartedAt == n.Started+moduleStart
	})
}

// newBalancer gives a process its decisions.
func (s *simulation) newBalancer(a *simAgent) error {
	text, err := json.Marshal(s.scenario.Settings(a.number))
	if err != nil {
		return err
	}
	site, err := wire.DecodeSettings(text)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	site.Logic.MaxRetryAfter = site.MaxRetryAfter
	s.operators.HealthChecks.Apply(&site.Logic)
	site.Logic.ExternalAdmission = s.operators.Overload.Enabled
	seed := (s.scenario.Seed*64 + uint64(a.number) + 1) ^ uint64(a.incarnation)<<48
	if a.balancer, err = logic.New(site.Logic, seed); err != nil {
		return err
	}
	a.budget, a.order, err = s.operators.Overload.Budget(site.Logic, site.MaxRetryAfter, seed)
	return err
}

// maxShutdown is how long a graceful shutdown may take for the requests in flight.
const maxShutdown = 3 * time.Second

// faultAgent ends an agent's process, planned or not, and begins the next, which knows the list that the one before it had and
// nothing else.
func (s *simulation) faultAgent(fault emulator.AgentFault) {
	previous := s.agents[fault.Agent]
	if previous.balancer == nil || previous.unavailable {
		return // choosers have no processes; an agent that is away gets no second fault
	}
	previous.unavailable = true
	name := s.scenario.Agents[fault.Agent]
	text := emulator.AgentRestart
	if fault.Kind == emulator.AgentKill {
		text = emulator.AgentKill
		s.referee.AgentKilled(name, s.now, s.now+fault.Duration)
		s.endAgent(previous)
	} else {
		s.schedule(s.now+maxShutdown, func() { s.endAgent(previous) })
	}
	s.marks = append(s.marks, emulator.Event{At: s.now, To: s.now + fault.Duration, Node: name, Text: text})
	s.schedule(s.now+fault.Duration, func() {
		next := s.newProcess(fault.Agent)
		next.incarnation, next.version = previous.incarnation+1, previous.version
		if s.err = s.newBalancer(next); s.err != nil {
			return
		}
		s.agents[fault.Agent] = next
		s.apply(next, next.balancer.Start(s.clock()))
		s.sendFullList(next, previous.known)
		s.startGossip(next)
	})
}

// endAgent ends a process: its connections break, at both sides.
func (s *simulation) endAgent(agent *simAgent) {
	agent.ended = true
	var waiting []*simAttempt
	for _, attempt := range s.waiting {
		if attempt.request.agent == agent {
			waiting = append(waiting, attempt)
		}
	}
	slices.SortFunc(waiting, func(x, y *simAttempt) int { return int(x.ticket.number) - int(y.ticket.number) })
	for _, attempt := range waiting {
		delete(s.waiting, attempt.ticket)
		if attempt.node.Node == attempt.incarnation {
			attempt.node.Cancel(s.now, attempt.ticket.number)
			s.advanceNode(attempt.node)
		}
		s.endAttempt(attempt, logic.Cancelled)
	}
	for i, n := range s.nodes {
		for range agent.conns[i] {
			if n.up {
				n.Disconnect(s.now)
			}
		}
	}
	agent.conns = map[int]int{}
	var open []*clientRequest
	for _, request := range s.open {
		if request.agent == agent && !request.ended {
			open = append(open, request)
		}
	}
	slices.SortFunc(open, func(x, y *clientRequest) int { return x.call.Number - y.call.Number })
	for _, request := range open {
		s.answer(request, referee.ConnectionClosed, 0, 0)
	}
}

// reconnectDelay is how long a client whose connection failed waits before it connects again.
const reconnectDelay = 50 * time.Millisecond

// reconnectLater lets a client connect again when no process listens. It does not count as an attempt.
func (s *simulation) reconnectLater(call *callers.Call, tried []string) {
	s.schedule(s.now+reconnectDelay, func() { s.beginAttempt(call, tried) })
}
