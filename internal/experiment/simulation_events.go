package experiment

import (
	"container/heap"
	"time"
)

// simEvent is a function that is called at a time.
type simEvent struct {
	at  time.Duration
	seq int // orders events with equal times
	do  func()
}

// simEvents is a heap of events, ordered by time and then by the order in which they were scheduled.
type simEvents []simEvent

func (e simEvents) Len() int { return len(e) }

func (e simEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}

func (e simEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *simEvents) Push(x any) { *e = append(*e, x.(simEvent)) }

func (e *simEvents) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	(*e)[last] = simEvent{}
	*e = (*e)[:last]
	return x
}

// schedule schedules an event at the time t, or now if t has passed.
func (s *simulation) schedule(t time.Duration, do func()) {
	s.scheduled++
	heap.Push(&s.events, simEvent{max(t, s.now), s.scheduled, do})
}
