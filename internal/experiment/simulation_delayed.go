package experiment

import (
	"slices"
	"time"
)

// delayedViewAge is the age of the state that the delayed oracle sees.
const delayedViewAge = 500 * time.Millisecond

// snapshotInterval is how often the state is recorded for the delayed oracle.
const snapshotInterval = 100 * time.Millisecond

// delayedView holds the recorded states for the delayed oracle.
type delayedView struct {
	on        bool
	snapshots []stateSnapshot // oldest first; the first one is the state that the oracle sees
	sent      []float64       // by number of the node: seconds of work sent to it so far
}

// stateSnapshot is the state of all nodes at a time. Its slices have an element for each node.
type stateSnapshot struct {
	at    time.Duration
	truth []TrueState
	ids   []string
	sent  []float64 // see delayedView
}

// state returns a node's current state.
func (n *simNode) state() TrueState {
	return TrueState{Capacity: n.Capacity(), Cores: n.Cores, Backlog: n.Backlog(), HasCapacity: n.HasCapacity(), FailureFraction: n.FailureFraction()}
}

// recordState records the state of all nodes, drops states that are no longer needed, and schedules the next record.
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

// visibleState returns a node's state as the variant sees it: the current state or, for the delayed oracle, the delayed state with the work
// that was sent to the node since.
func (s *simulation) visibleState(n *simNode) TrueState {
	if !s.delayed.on {
		return n.state()
	}
	snapshot := s.delayed.snapshots[0]
	if snapshot.ids[n.number] != n.ID { // the node started after the snapshot, which does not have its state
		return n.state()
	}
	truth := snapshot.truth[n.number]
	if work := s.delayed.sent[n.number] - snapshot.sent[n.number]; truth.Capacity > 0 {
		truth.Backlog += max(0, time.Duration(work/truth.Capacity*1e9)-(s.now-snapshot.at))
	}
	return truth
}
