package experiment

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"ryeweir/internal/budget"
	"ryeweir/internal/discovery"
	"ryeweir/internal/emulator"
	"ryeweir/internal/emulator/callers"
	"ryeweir/internal/emulator/referee"
	"ryeweir/internal/wire"
	"ryeweir/logic"
)

// simAgent is one process of an agent. The next process in its place is another.
type simAgent struct {
	number   int
	life     int
	zone     string
	balancer *logic.Balancer
	budget   *budget.Budget // the fleet's, where the operators' file switches it on
	order    *budget.PriorityOrder
	parts    map[int]heard // that other agents told, by their number
	chooser  Chooser
	conns    map[int]int // to each node
	busy     map[int]int // of those, in use
	away     bool        // it takes no clients
	gone     bool        // it has ended
	version  int         // of the list that it was told
	asked    bool        // for the list, once
	watching bool        // a call of its own waits for news
	known    []logic.Endpoint
	rng      *rand.Rand
}

func (s *sim) process(i int) *simAgent {
	return &simAgent{number: i, zone: s.day.AgentZone(i), conns: map[int]int{}, busy: map[int]int{},
		rng: rand.New(rand.NewPCG(s.day.Seed*64+uint64(i)+1, 0x6c697374))}
}

// toldOf reports whether the agent has been told of a node's present life. Choosers go by the list itself.
func (a *simAgent) toldOf(n *simNode) bool {
	return a.balancer == nil || n.Started < 0 || slices.ContainsFunc(a.known, func(e logic.Endpoint) bool {
		return e.ID == n.ID && e.StartedAt == n.Started+moduleStart
	})
}

// module gives a process its decisions.
func (s *sim) module(a *simAgent) error {
	text, err := json.Marshal(s.day.Settings(a.number))
	if err != nil {
		return err
	}
	site, err := wire.DecodeSettings(text)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	site.Logic.MaxRetryAfter = site.MaxRetryAfter
	s.ops.HealthChecks.Apply(&site.Logic)
	site.Logic.ExternalAdmission = s.ops.Overload.Enabled
	seed := (s.day.Seed*64 + uint64(a.number) + 1) ^ uint64(a.life)<<48
	if a.balancer, err = logic.New(site.Logic, seed); err != nil {
		return err
	}
	a.budget, a.order, err = s.ops.Overload.Budget(site.Logic, site.MaxRetryAfter, seed)
	return err
}

// longestEnd is how long a process that ends as planned has for what it took.
const longestEnd = 3 * time.Second

// befallAgent ends an agent's process, planned or not, and begins the next, which knows the list that the one before it had and
// nothing else.
func (s *sim) befallAgent(t emulator.AgentFault) {
	old := s.agents[t.Agent]
	if old.balancer == nil || old.away {
		return // choosers have no processes; one that is away is not befallen again
	}
	old.away = true
	name := s.day.Agents[t.Agent]
	text := emulator.AgentRestart
	if t.Kind == emulator.AgentKill {
		text = emulator.AgentKill
		s.referee.Killed(name, s.now, s.now+t.Away)
		s.endAgent(old)
	} else {
		s.at(s.now+longestEnd, func() { s.endAgent(old) })
	}
	s.marks = append(s.marks, emulator.Mark{At: s.now, To: s.now + t.Away, Node: name, Text: text})
	s.at(s.now+t.Away, func() {
		a := s.process(t.Agent)
		a.life, a.version = old.life+1, old.version
		if s.err = s.module(a); s.err != nil {
			return
		}
		s.agents[t.Agent] = a
		s.do(a, a.balancer.Start(s.clock()))
		s.tellList(a, old.known)
		s.talk(a)
	})
}

// endAgent ends a process: its connections break, at both sides.
func (s *sim) endAgent(a *simAgent) {
	a.gone = true
	var had []*simAttempt
	for _, at := range s.waiting {
		if at.try.agent == a {
			had = append(had, at)
		}
	}
	slices.SortFunc(had, func(x, y *simAttempt) int { return int(x.ticket.number) - int(y.ticket.number) })
	for _, at := range had {
		delete(s.waiting, at.ticket)
		if at.node.Node == at.life {
			at.node.Cancel(s.now, at.ticket.number)
			s.rouse(at.node)
		}
		s.outcome(at, logic.Cancelled)
	}
	for i, n := range s.nodes {
		for range a.conns[i] {
			if n.up {
				n.Disconnect(s.now)
			}
		}
	}
	a.conns = map[int]int{}
	var open []*simTry
	for _, t := range s.open {
		if t.agent == a && !t.ended {
			open = append(open, t)
		}
	}
	slices.SortFunc(open, func(x, y *simTry) int { return x.journey.Number - y.journey.Number })
	for _, t := range open {
		s.answer(t, referee.Closed, 0, 0)
	}
}

// unheardPause is how soon a client comes again whose connection was refused.
const unheardPause = 50 * time.Millisecond

// unheard lets a client come again that nobody listens to. It has not been heard, so it is no try.
func (s *sim) unheard(j *callers.Journey, tried []string) {
	s.at(s.now+unheardPause, func() { s.try(j, tried) })
}

// The list.

// registry is discovery: the list, what has changed in it, and the calls that wait their turn.
type registry struct {
	entries []logic.Endpoint // in the order of the nodes
	changes []logic.Endpoint // the list's version is their number
	down    bool
	free    time.Duration // when the call that is handled last will be through
	calls   int
}

// discoveryPatience is how long a call waits its turn at most.
const discoveryPatience = time.Second

// change changes the list, so much later, and tells those who watch.
func (s *sim) change(late time.Duration, e logic.Endpoint) {
	s.at(s.now+late+s.day.ListDelay(s.now), func() {
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
			s.news(a)
		}
	})
}

// turn gives a call its turn: all take the same time, one after the other, and one that would wait for too long is turned away.
func (s *sim) turn(then func(ok bool)) {
	s.list.calls++
	if s.list.down {
		s.at(s.now+watchDelay, func() { then(false) })
		return
	}
	wait := time.Duration(0)
	if rate := s.day.Spec.List.Rate; rate > 0 {
		wait = max(s.list.free, s.now) + time.Duration(float64(time.Second)/rate) - s.now
		if wait > discoveryPatience {
			s.at(s.now+discoveryPatience, func() { then(false) })
			return
		}
		s.list.free = s.now + wait
	}
	s.at(s.now+max(wait, watchDelay), func() { then(!s.list.down) })
}

// subscribe lets an agent follow the list, as the agent's client of discovery does: in a large fleet the first call of a process that
// has a list comes within a while, and a watch that brought nothing is made anew.
func (s *sim) subscribe(a *simAgent) {
	pace := discovery.FleetTimingFor(len(s.day.Agents))
	spread := time.Duration(0)
	if !a.asked {
		a.asked = true
		spread = time.Duration(a.rng.Float64() * float64(pace.StartSpread))
	}
	s.at(s.now+spread, func() { s.watch(a, pace) })
}

func (s *sim) watch(a *simAgent, pace discovery.FleetTiming) {
	if a.gone {
		return
	}
	s.turn(func(ok bool) {
		switch {
		case a.gone:
		case !ok:
			rush := time.Duration(a.rng.Float64() * float64(pace.RetrySpread))
			s.at(s.now+rush, func() { s.tell(a, logic.DiscoveryUnavailable{}) })
		default:
			a.watching = true
			s.news(a)
			since := a.version
			s.at(s.now+discovery.WatchTimeout, func() {
				if a.watching && a.version == since && !a.gone {
					a.watching = false
					s.watch(a, pace)
				}
			})
		}
	})
}

// news tells an agent that watches what has changed since it was told last, and lets it watch on.
func (s *sim) news(a *simAgent) {
	if !a.watching || s.list.down || a.version == len(s.list.changes) || a.balancer == nil {
		return
	}
	a.watching = false
	s.at(s.now+watchDelay, func() {
		if a.gone {
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
		s.tell(a, logic.EndpointList{Endpoints: entries})
		s.watch(a, discovery.FleetTimingFor(len(s.day.Agents)))
	})
}

// tellList gives an agent a whole list, as one that it has from before.
func (s *sim) tellList(a *simAgent, entries []logic.Endpoint) {
	a.known = slices.Clone(entries)
	for _, e := range entries {
		s.referee.Notified(s.day.Agents[a.number], e.ID, e.State == logic.Ready, s.now)
	}
	s.tell(a, logic.EndpointList{Full: true, Endpoints: slices.Clone(entries)})
}

// lost breaks an agent's watch.
func (s *sim) lost(a *simAgent) {
	if a.watching {
		a.watching = false
		s.at(s.now+watchDelay, func() { s.tell(a, logic.DiscoveryUnavailable{}) })
	}
}

// The truth, late.

// lateBy is how old what the late chooser sees is.
const lateBy = 500 * time.Millisecond

// lookEach is how often it is noted.
const lookEach = 100 * time.Millisecond

// sight is what a chooser that sees the state late goes by.
type sight struct {
	on    bool
	looks []look    // the latest, oldest first
	sent  []float64 // seconds of work that were sent so far, a node each
}

type look struct {
	at    time.Duration
	truth []Truth // a node each
	ids   []string
	sent  []float64
}

// present is a node's state now.
func (n *simNode) present() Truth {
	return Truth{Capacity: n.Capacity(), Cores: n.Cores, Backlog: n.Backlog(), Room: n.Room(), Failing: n.Failing()}
}

// watchTruth notes the state of all nodes again and again.
func (s *sim) watchTruth() {
	v := &s.sight
	l := look{at: s.now, sent: slices.Clone(v.sent)}
	for _, n := range s.nodes {
		l.truth, l.ids = append(l.truth, n.present()), append(l.ids, n.ID)
	}
	v.looks = append(v.looks, l)
	for len(v.looks) > 1 && v.looks[1].at <= s.now-lateBy {
		v.looks = v.looks[1:]
	}
	if s.now < s.day.Length+longestTail {
		s.at(s.now+lookEach, s.watchTruth)
	}
}

// truthOf is a node's state as the arm sees it: at present or, late, with what has been sent there since.
func (s *sim) truthOf(n *simNode) Truth {
	if !s.sight.on {
		return n.present()
	}
	l := s.sight.looks[0]
	if l.ids[n.number] != n.ID { // it has started since: all that is known is that the list has it
		return n.present()
	}
	t := l.truth[n.number]
	if work := s.sight.sent[n.number] - l.sent[n.number]; t.Capacity > 0 {
		t.Backlog += max(0, time.Duration(work/t.Capacity*1e9)-(s.now-l.at))
	}
	return t
}
