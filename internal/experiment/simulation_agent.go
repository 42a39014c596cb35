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

// simAgent is one process of an agent. A restarted agent is a new simAgent with the same number.
type simAgent struct {
	number      int
	incarnation int
	zone        string
	balancer    *logic.Balancer
	budget      *budget.Budget // nil unless enabled in the operators' file
	order       *budget.PriorityOrder
	peerStates  map[int]peerState // received from other agents, by their number
	chooser     Chooser
	conns       map[int]int      // open connections, by number of the node
	connsInUse  map[int]int      // attempts in flight, by number of the node
	unavailable bool             // it accepts no clients: it is terminating or has ended
	ended       bool             // the process has ended
	version     int              // version of the endpoint list that it has
	subscribed  bool             // whether it has subscribed to the endpoint list
	watching    bool             // whether a watch call is open
	known       []logic.Endpoint // the endpoint list that it has
	rng         *rand.Rand
}

// newProcess returns a process of the i-th agent, without a balancer or Chooser.
func (s *simulation) newProcess(i int) *simAgent {
	return &simAgent{number: i, zone: s.scenario.AgentZone(i), conns: map[int]int{}, connsInUse: map[int]int{},
		rng: rand.New(rand.NewPCG(s.scenario.Seed*64+uint64(i)+1, 0x6c697374))}
}

// notifiedOf reports whether the agent has been notified of a node's current incarnation. Choosers always are, as they read the endpoint
// list directly.
func (a *simAgent) notifiedOf(n *simNode) bool {
	return a.balancer == nil || n.Started < 0 || slices.ContainsFunc(a.known, func(e logic.Endpoint) bool {
		return e.ID == n.ID && e.StartedAt == n.Started+moduleStart
	})
}

// newBalancer creates the balancer of a process and, if enabled, its budget.
func (s *simulation) newBalancer(a *simAgent) error {
	text, err := json.Marshal(s.scenario.Settings(a.number))
	if err != nil {
		return err
	}
	site, err := wire.DecodeSettings(text)
	if err != nil {
		return fmt.Errorf("decoding the settings of agent %d: %w", a.number, err)
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

// maxShutdown is how long a process that is shut down gracefully waits for the requests in flight.
const maxShutdown = 3 * time.Second

// faultAgent kills an agent's process or shuts it down gracefully, and starts a new one after the fault's duration. The new process gets
// the endpoint list of the old one and no other state.
func (s *simulation) faultAgent(fault emulator.AgentFault) {
	previous := s.agents[fault.Agent]
	if previous.balancer == nil || previous.unavailable {
		return // choosers have no processes; a fault during another fault of the same agent is skipped
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
	s.faultEvents = append(s.faultEvents, emulator.Event{At: s.now, To: s.now + fault.Duration, Node: name, Text: text})
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

// endAgent ends a process: its connections to clients and nodes are closed.
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

// reconnectLater has a client connect again after reconnectDelay, as no process listens. This does not count as an attempt.
func (s *simulation) reconnectLater(call *callers.Call, tried []string) {
	s.schedule(s.now+reconnectDelay, func() { s.beginAttempt(call, tried) })
}
