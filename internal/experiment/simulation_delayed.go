package experiment

import (
	"slices"
	"time"
)

// delayedViewAge is the age of the state that the delayed oracle sees.
const delayedViewAge = 500 * time.Millisecond

// snapshotInterval is how often the state is recorded for it.
const snapshotInterval = 100 * time.Millisecond

// delayedView holds the recorded states of the delayed oracle.
type delayedView struct {
	on        bool
	snapshots []stateSnapshot // the latest, oldest first
	sent      []float64       // seconds of work that were sent so far, a node each
}

type stateSnapshot struct {
	at    time.Duration
	truth []TrueState // a node each
	ids   []string
	sent  []float64
}

// state is a node's state now.
func (n *simNode) state() TrueState {
	return TrueState{Capacity: n.Capacity(), Cores: n.Cores, Backlog: n.Backlog(), HasCapacity: n.HasCapacity(), FailureFraction: n.FailureFraction()}
}

// recordState records the state of all nodes, and schedules the next record.
func (s *simulation) recordState() {
	view := &s.delayed
	snapshot := stateSnapshot{at: s.now, sent: slices.Clone(view.sent)}
	for _, n := range s.nodes {
		snapshot.truth, snapshot.ids = append(snapshot.truth, n.state()), append(snapshot.ids, n.ID)
	}
	view.snapshots = append(view.snapshots, snapshot)
	for len(view.snapshots) > 1 && view.snapshots[1].at <= s.now-delayedViewAge {
		view.snapshots = view.snapshots[1:]
	}
	if s.now < s.scenario.Length+maxTail {
		s.schedule(s.now+snapshotInterval, s.recordState)
	}
}

// visibleState is a node's state as the variant sees it: the present one, or a delayed one with the work that was sent there since.
func (s *simulation) visibleState(n *simNode) TrueState {
	if !s.delayed.on {
		return n.state()
	}
	snapshot := s.delayed.snapshots[0]
	if snapshot.ids[n.number] != n.ID { // it has started since: all that is known is that the list has it
		return n.state()
	}
	truth := snapshot.truth[n.number]
	if work := s.delayed.sent[n.number] - snapshot.sent[n.number]; truth.Capacity > 0 {
		truth.Backlog += max(0, time.Duration(work/truth.Capacity*1e9)-(s.now-snapshot.at))
	}
	return truth
}
