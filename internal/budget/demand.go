package budget

import (
	"cmp"
	"slices"
	"time"
)

// MaxPriorities limits the number of priorities that are counted separately. Requests of further priorities are counted with the
// lowest one in the table.
const MaxPriorities = 64

// recentWindow is the time constant of the counter that detects the onset and the end of a surge.
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

// add counts an arriving request. since is the time at which the budget began to count. The counter of a new priority starts at that
// time and not at its own first request, which would otherwise be read as a high rate.
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

// countShed counts a shed request whose arrival add has already counted.
func (t *demandTable) countShed(priority float64) {
	i, found := t.find(priority)
	if !found {
		i = len(t.classes) - 1
	}
	t.classes[i].shed++
}

// find returns the index of a priority, or the index at which to insert it.
func (t *demandTable) find(priority float64) (index int, found bool) {
	return slices.BinarySearchFunc(t.classes, priority, func(class priorityDemand, priority float64) int {
		return cmp.Compare(priority, class.priority)
	})
}

// total returns the demand of all priorities together, requests a second.
func (t *demandTable) total(now time.Duration) (sum float64) {
	for i := range t.classes {
		sum += t.classes[i].perSecond(now)
	}
	return sum
}

// onsetFactor is the factor by which the recent demand exceeds the demand over the averaging window; 1 where the difference may be
// chance. It matters in the first second of a surge: until the counters of the averaging window have followed, they show far too
// little demand of the highest priorities, and lower priorities would use up the rate.
func (t *demandTable) onsetFactor(now time.Duration) float64 {
	total, recent := t.total(now), t.recent.perSecond(now)
	if recent > total && !withinPoissonNoise(total, recent) {
		return recent / max(1, total)
	}
	return 1
}

// each calls visit for each priority, highest first, with its demand in requests a second times onsetFactor.
func (t *demandTable) each(now time.Duration, visit func(priority, rate float64)) {
	onset := t.onsetFactor(now)
	for i := range t.classes {
		visit(t.classes[i].priority, onset*t.classes[i].perSecond(now))
	}
}
