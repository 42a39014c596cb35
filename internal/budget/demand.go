package budget

import (
	"cmp"
	"slices"
	"time"
)

// MaxPriorities bounds the table of demand: requests of further priorities are counted with the lowest one in it.
const MaxPriorities = 64

// recentWindow is the time constant of the count that shows the onset of a surge, and its end.
const recentWindow = 250 * time.Millisecond

// demandTable counts the requests that arrive, by priority.
type demandTable struct {
	window  time.Duration
	classes []priorityDemand // highest priority first, at most MaxPriorities
	recent  decayingCounter  // of all priorities, over recentWindow
}

type priorityDemand struct {
	priority float64
	decayingCounter
	shed int64
}

func newDemandTable(window time.Duration) demandTable {
	return demandTable{window: window, recent: newDecayingCounter(recentWindow)}
}

// add counts an arrival. since is when the budget began to count: a priority that comes for the first time is read by the whole
// window, not by its own age, which would make its first request a high rate.
func (t *demandTable) add(now time.Duration, priority float64, since time.Duration) {
	i, found := t.find(priority)
	switch {
	case found:
	case len(t.classes) >= MaxPriorities:
		i = len(t.classes) - 1
	default:
		counter := decayingCounter{window: t.window, startedAt: since, updatedAt: now}
		t.classes = slices.Insert(t.classes, i, priorityDemand{priority: priority, decayingCounter: counter})
	}
	t.classes[i].add(now)
}

// countShed counts a shed request of a priority that add has counted.
func (t *demandTable) countShed(priority float64) {
	i, found := t.find(priority)
	if !found {
		i = len(t.classes) - 1
	}
	t.classes[i].shed++
}

// find returns the index of a priority, or where it belongs.
func (t *demandTable) find(priority float64) (index int, found bool) {
	return slices.BinarySearchFunc(t.classes, priority, func(class priorityDemand, priority float64) int {
		return cmp.Compare(priority, class.priority)
	})
}

// total returns the demand of all priorities, requests a second.
func (t *demandTable) total(now time.Duration) (sum float64) {
	for i := range t.classes {
		sum += t.classes[i].perSecond(now)
	}
	return sum
}

// onsetFactor is by how many times the recent demand exceeds the count over the window; 1 where chance alone may bring it. It
// guards the first second of a surge: until the counts have followed, the demand of the highest priorities reads far too small,
// and lower ones would take the rate.
func (t *demandTable) onsetFactor(now time.Duration) float64 {
	total, recent := t.total(now), t.recent.perSecond(now)
	if recent > total && !withinChance(total, recent) {
		return recent / max(1, total)
	}
	return 1
}

// each calls a function for each priority, highest first, with its demand in requests a second, corrected by onsetFactor.
func (t *demandTable) each(now time.Duration, visit func(priority, rate float64)) {
	onset := t.onsetFactor(now)
	for i := range t.classes {
		visit(t.classes[i].priority, onset*t.classes[i].perSecond(now))
	}
}
