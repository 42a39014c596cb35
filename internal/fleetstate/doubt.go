package fleetstate

import "time"

// FailureReporter counts what went wrong with an agent's own attempts, for it to tell as its suspicions. It is not safe for concurrent
// use.
type FailureReporter struct {
	WithheldScans int64 // looks at which most servers were doubted, and none was told of

	most  int
	lives map[Incarnation]*doubt
}

type doubt struct {
	wrong  int64 // in a row
	seen   int64 // of them, at the last look
	rose   time.Time
	told   int64 // what was told last
	toldAt time.Time
}

// NewFailureReporter returns an empty count, of so many lives at most: further ones are passed over until there is room.
func NewFailureReporter(most int) *FailureReporter {
	return &FailureReporter{most: most, lives: map[Incarnation]*doubt{}}
}

// AttemptEnded counts an attempt that went well or wrong.
func (d *FailureReporter) AttemptEnded(l Incarnation, well bool) {
	x := d.lives[l]
	switch {
	case x == nil && (well || len(d.lives) >= d.most):
	case x == nil:
		d.lives[l] = &doubt{wrong: 1}
	case well:
		x.wrong = 0
	default:
		x.wrong++
	}
}

// FailureReport is a suspicion as it is to be told: 0 withdraws it.
type FailureReport struct {
	Incarnation
	Failures int64
}

// Reports is what is to be told now: counts that have changed, as far as they count, and those that have expired while attempts go on
// to fail. What was withdrawn is forgotten, and so is a doubt that is not renewed for as long as a suspicion lives. Who doubts
// most of so many servers doubts itself: its own ways are likelier to be cut than most of the servers to fail, so it tells of none
// and withdraws what it has told.
func (d *FailureReporter) Reports(now time.Time, servers int, lifetime time.Duration) (out []FailureReport) {
	doubted := 0
	for l, x := range d.lives {
		if x.wrong != x.seen {
			x.seen, x.rose = x.wrong, now
		}
		if now.Sub(x.toldAt) >= lifetime {
			x.told = 0 // it has expired everywhere
		}
		if now.Sub(x.rose) >= lifetime {
			delete(d.lives, l)
		} else if x.wrong >= countedEach {
			doubted++
		}
	}
	lost := float64(doubted) > mostDoubted*float64(servers)
	if lost {
		d.WithheldScans++
	}
	for l, x := range d.lives {
		counts := min(x.wrong, countedEach)
		if lost {
			counts = 0
		}
		if counts != x.told {
			out = append(out, FailureReport{l, counts})
			x.told, x.toldAt = counts, now
		}
		if x.wrong == 0 {
			delete(d.lives, l)
		}
	}
	return out
}

// mostDoubted is the share of its servers that an agent may doubt before it doubts itself.
const mostDoubted = 0.5

// LastReported is what was told last of a life: 0 where nothing is.
func (d *FailureReporter) LastReported(l Incarnation) int64 {
	if x := d.lives[l]; x != nil {
		return x.told
	}
	return 0
}
