package experiment

import (
	"fmt"
	"slices"
	"time"

	"ryeweir/internal/emulator"
	"ryeweir/internal/emulator/node"
	"ryeweir/logic"
)

type ticket struct {
	node   int
	number uint64
}

type simNode struct {
	*node.Node
	number              int
	up                  bool
	wake                time.Duration // when it is looked at next; below 0 when not
	earlierIncarnations node.Figures
	overloadReported    bool // that it toppled
	offeredBefore       int  // what had been offered at the latest look
	workBefore          time.Duration
}

func (s *simulation) entry(i int, state logic.EndpointState) logic.Endpoint {
	spec := s.nodes[i].Spec
	e := logic.Endpoint{ID: spec.ID, State: state, Zone: slices.Index(s.day.Spec.Zones, spec.Zone), Cell: i / 8, Weight: 1}
	if spec.Started >= 0 {
		e.StartedAt = spec.Started + moduleStart
	}
	return e
}

func (s *simulation) scheduleFault(p emulator.NodeFault) {
	list := s.day.Spec.Discovery
	n := s.nodes[p.Node]
	name := n.ID
	s.schedule(p.From, func() {
		s.marks = append(s.marks, emulator.Event{At: p.From, To: p.To, Node: name, Text: string(p.Kind)})
		switch p.Kind {
		case node.Drain:
			n.AddFault(p.Fault)
			s.changeList(list.RemovalDelay.D(), s.entry(p.Node, logic.Draining))
		case node.Restart, node.Replace:
			s.killNode(n)
			if p.Kind == node.Replace || list.RemovalDelay.D() < p.To-p.From+list.AdditionDelay.D() {
				s.changeList(list.RemovalDelay.D(), s.entry(p.Node, logic.Removed))
			}
		default:
			n.AddFault(p.Fault)
			s.advanceNode(n)
		}
	})
	s.schedule(p.To, func() {
		switch p.Kind {
		case node.Drain:
			s.killNode(n)
			s.changeList(list.RemovalDelay.D(), s.entry(p.Node, logic.Removed))
		case node.Restart, node.Replace:
			spec := n.Spec
			s.incarnations++
			if p.Kind == node.Replace {
				spec.ID = fmt.Sprintf("%s-%d", spec.ID, s.incarnations)
			}
			spec.Started = s.now
			n.earlierIncarnations = n.earlierIncarnations.Add(n.Figures())
			delete(s.byID, n.ID)
			n.Node, n.up, n.overloadReported, n.offeredBefore, n.workBefore = node.New(spec, s.day.Seed*1000+uint64(len(s.nodes)+n.number)), true, false, 0, 0
			s.byID[n.ID] = n
			n.Advance(s.now)
			s.advanceNode(n)
			s.changeList(list.AdditionDelay.D(), s.entry(p.Node, logic.Ready))
		}
	})
}

// killNode ends a node's process: what it had is reset.
func (s *simulation) killNode(n *simNode) {
	n.up = false
	var had []*simAttempt
	for _, t := range s.waiting {
		if t.node == n {
			had = append(had, t)
		}
	}
	slices.SortFunc(had, func(a, b *simAttempt) int { return int(a.ticket.number) - int(b.ticket.number) })
	for _, t := range had {
		s.sendBack(t, logic.Reset, 0)
	}
	for _, a := range s.agents {
		delete(a.conns, n.number)
	}
}

// advanceNode looks at a node, and books the next look.
func (s *simulation) advanceNode(n *simNode) {
	s.settleNode(n)
	next := n.NextEvent()
	if n.wake >= 0 && n.wake <= next && n.wake > s.now {
		return
	}
	n.wake = next
	life := n.Node
	s.schedule(next, func() {
		if n.Node == life && n.wake == s.now {
			n.wake = -1
			s.advanceNode(n)
		}
	})
}

// settleNode lets a node's time pass and hands out what ended.
func (s *simulation) settleNode(n *simNode) {
	done := n.Advance(s.now)
	for _, number := range n.TakeStarted() {
		if t := s.waiting[ticket{n.number, number}]; t != nil {
			s.referee.ExecutionStarted(t.client.id, n.ID, s.now)
		}
	}
	if n.Overloaded() && !n.overloadReported {
		n.overloadReported = true
		if n.OverloadWasAvoidable() {
			s.referee.SlowStartOverloaded(n.ID, s.now)
		}
	}
	for _, d := range done {
		t := s.waiting[ticket{n.number, d.Ticket}]
		if t == nil {
			continue
		}
		delete(s.waiting, t.ticket)
		late := max(0, d.At-s.now)
		switch {
		case n.Unresponsive():
		case d.Expired:
			s.sendBack(t, logic.Rejected, late)
		case !d.OK:
			s.sendBack(t, logic.Failed, late)
		case d.Form != node.Intact:
			s.sendBack(t, logic.Reset, late)
		default:
			s.referee.ResponseProduced(t.client.id, d.Ticket)
			s.sendBack(t, logic.OK, late)
		}
	}
}

func (s *simulation) oneWay(a *simAgent, n *simNode) time.Duration {
	c := s.day.LinkTo(a.zone, n.Zone)
	d := c.Delay
	if c.Jitter > 0 {
		d += time.Duration(s.rng.Int64N(int64(c.Jitter)))
	}
	return d
}
