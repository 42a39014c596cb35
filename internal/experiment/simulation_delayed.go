package experiment

import (
	"slices"
	"time"
)

// delayedViewAge is how old what the late chooser sees is.
const delayedViewAge = 500 * time.Millisecond

// snapshotInterval is how often it is noted.
const snapshotInterval = 100 * time.Millisecond

// delayedView is what a chooser that sees the state late goes by.
type delayedView struct {
	on        bool
	snapshots []stateSnapshot // the latest, oldest first
	sent      []float64       // seconds of work that were sent so far, a node each
}

type stateSnapshot struct {
	at    time.Duration
	truth []Truth // a node each
	ids   []string
	sent  []float64
}

// state is a node's state now.
func (n *simNode) state() Truth {
	return Truth{Capacity: n.Capacity(), Cores: n.Cores, Backlog: n.Backlog(), Room: n.HasCapacity(), Failing: n.FailureFraction()}
}

// recordState notes the state of all nodes again and again.
func (s *simulation) recordState() {
	v := &s.delayed
	l := stateSnapshot{at: s.now, sent: slices.Clone(v.sent)}
	for _, n := range s.nodes {
		l.truth, l.ids = append(l.truth, n.state()), append(l.ids, n.ID)
	}
	v.snapshots = append(v.snapshots, l)
	for len(v.snapshots) > 1 && v.snapshots[1].at <= s.now-delayedViewAge {
		v.snapshots = v.snapshots[1:]
	}
	if s.now < s.day.Length+maxTail {
		s.schedule(s.now+snapshotInterval, s.recordState)
	}
}

// visibleState is a node's state as the arm sees it: at present or, late, with what has been sent there since.
func (s *simulation) visibleState(n *simNode) Truth {
	if !s.delayed.on {
		return n.state()
	}
	l := s.delayed.snapshots[0]
	if l.ids[n.number] != n.ID { // it has started since: all that is known is that the list has it
		return n.state()
	}
	t := l.truth[n.number]
	if work := s.delayed.sent[n.number] - l.sent[n.number]; t.Capacity > 0 {
		t.Backlog += max(0, time.Duration(work/t.Capacity*1e9)-(s.now-l.at))
	}
	return t
}
