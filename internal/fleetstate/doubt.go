package fleetstate

import "time"

// Doubts counts what went wrong with an agent's own attempts, for it to tell as its suspicions. It is not safe for concurrent
// use.
type Doubts struct {
	most  int
	lives map[Life]*doubt
}

type doubt struct {
	wrong int64     // in a row
	told  int64     // what was told last
	at    time.Time // when
}

// NewDoubts returns an empty count, of so many lives at most: further ones are passed over until there is room.
func NewDoubts(most int) *Doubts { return &Doubts{most: most, lives: map[Life]*doubt{}} }

// Ended counts an attempt that went well or wrong.
func (d *Doubts) Ended(l Life, well bool) {
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

// Telling is a suspicion as it is to be told: 0 withdraws it.
type Telling struct {
	Life
	Wrong int64
}

// Tell is what is to be told now: counts that have changed, as far as they count, and those that would expire unless they are
// told again. What was withdrawn is forgotten, and so is a doubt that is not renewed for as long as a suspicion lives.
func (d *Doubts) Tell(now time.Time, lifetime time.Duration) (out []Telling) {
	for l, x := range d.lives {
		counts := min(x.wrong, countedEach)
		switch {
		case counts == 0 && x.told == 0:
			delete(d.lives, l)
		case counts == 0:
			out = append(out, Telling{l, 0})
			delete(d.lives, l)
		case counts != x.told:
			out = append(out, Telling{l, counts})
			x.told, x.at = counts, now
		case now.Sub(x.at) >= lifetime:
			delete(d.lives, l) // it has expired everywhere: what goes wrong from now on is told anew
		}
	}
	return out
}
