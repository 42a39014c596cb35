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
	peerStates  map[int]peerState // that other agents told, by their number
	chooser     Chooser
	conns       map[int]int // to each node
	connsInUse  map[int]int // of those, in use
	away        bool        // it takes no clients
	ended       bool        // it has ended
	version     int         // of the list that it was told
	subscribed  bool        // for the list, once
	watching    bool        // a call of its own waits for news
	known       []logic.Endpoint
	rng         *rand.Rand
}

func (s *simulation) newProcess(i int) *simAgent {
	return &simAgent{number: i, zone: s.day.AgentZone(i), conns: map[int]int{}, connsInUse: map[int]int{},
		rng: rand.New(rand.NewPCG(s.day.Seed*64+uint64(i)+1, 0x6c697374))}
}

// notifiedOf reports whether the agent has been told of a node's present life. Choosers go by the list itself.
func (a *simAgent) notifiedOf(n *simNode) bool {
	return a.balancer == nil || n.Started < 0 || slices.ContainsFunc(a.known, func(e logic.Endpoint) bool {
		return e.ID == n.ID && e.StartedAt == n.Started+moduleStart
	})
}

// newBalancer gives a process its decisions.
func (s *simulation) newBalancer(a *simAgent) error {
	text, err := json.Marshal(s.day.Settings(a.number))
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
	seed := (s.day.Seed*64 + uint64(a.number) + 1) ^ uint64(a.incarnation)<<48
	if a.balancer, err = logic.New(site.Logic, seed); err != nil {
		return err
	}
	a.budget, a.order, err = s.operators.Overload.Budget(site.Logic, site.MaxRetryAfter, seed)
	return err
}

// maxShutdown is how long a process that ends as planned has for what it took.
const maxShutdown = 3 * time.Second

// faultAgent ends an agent's process, planned or not, and begins the next, which knows the list that the one before it had and
// nothing else.
func (s *simulation) faultAgent(t emulator.AgentFault) {
	old := s.agents[t.Agent]
	if old.balancer == nil || old.away {
		return // choosers have no processes; one that is away is not befallen again
	}
	old.away = true
	name := s.day.Agents[t.Agent]
	text := emulator.AgentRestart
	if t.Kind == emulator.AgentKill {
		text = emulator.AgentKill
		s.referee.AgentKilled(name, s.now, s.now+t.Duration)
		s.endAgent(old)
	} else {
		s.schedule(s.now+maxShutdown, func() { s.endAgent(old) })
	}
	s.marks = append(s.marks, emulator.Event{At: s.now, To: s.now + t.Duration, Node: name, Text: text})
	s.schedule(s.now+t.Duration, func() {
		a := s.newProcess(t.Agent)
		a.incarnation, a.version = old.incarnation+1, old.version
		if s.err = s.newBalancer(a); s.err != nil {
			return
		}
		s.agents[t.Agent] = a
		s.carryOut(a, a.balancer.Start(s.clock()))
		s.sendFullList(a, old.known)
		s.startGossip(a)
	})
}

// endAgent ends a process: its connections break, at both sides.
func (s *simulation) endAgent(a *simAgent) {
	a.ended = true
	var had []*simAttempt
	for _, at := range s.waiting {
		if at.client.agent == a {
			had = append(had, at)
		}
	}
	slices.SortFunc(had, func(x, y *simAttempt) int { return int(x.ticket.number) - int(y.ticket.number) })
	for _, at := range had {
		delete(s.waiting, at.ticket)
		if at.node.Node == at.incarnation {
			at.node.Cancel(s.now, at.ticket.number)
			s.advanceNode(at.node)
		}
		s.endAttempt(at, logic.Cancelled)
	}
	for i, n := range s.nodes {
		for range a.conns[i] {
			if n.up {
				n.Disconnect(s.now)
			}
		}
	}
	a.conns = map[int]int{}
	var open []*clientAttempt
	for _, t := range s.open {
		if t.agent == a && !t.ended {
			open = append(open, t)
		}
	}
	slices.SortFunc(open, func(x, y *clientAttempt) int { return x.journey.Number - y.journey.Number })
	for _, t := range open {
		s.answer(t, referee.ConnectionClosed, 0, 0)
	}
}

// reconnectDelay is how soon a client comes again whose connection was refused.
const reconnectDelay = 50 * time.Millisecond

// reconnectLater lets a client come again that nobody listens to. It has not been heard, so it is no try.
func (s *simulation) reconnectLater(j *callers.Call, tried []string) {
	s.schedule(s.now+reconnectDelay, func() { s.beginAttempt(j, tried) })
}
