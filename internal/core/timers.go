package core

import "time"

// timer is a timer that the balancer requested, or the core's timer for the periodic check.
type timer struct {
	due             time.Duration
	token           uint64 // identifies a timer of the balancer
	isPeriodicCheck bool
}

// timers is a min-heap (container/heap) by due time: the next timer is at index 0.
type timers []timer

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].due < t[j].due }
func (t timers) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }

// Push implements heap.Interface.
func (t *timers) Push(x any) { *t = append(*t, x.(timer)) }

// Pop implements heap.Interface.
func (t *timers) Pop() any {
	last := len(*t) - 1
	x := (*t)[last]
	*t = (*t)[:last]
	return x
}
