package soak

import (
	"time"
)

// span is a period of time, such as that of a pause or an outage. One that has not ended has to = 0.
type span struct{ from, to time.Duration }

// overlaps reports whether the span, extended by margin at its end, overlaps the time between from and to.
func (s span) overlaps(from, to, margin time.Duration) bool {
	end := s.to
	if end == 0 {
		end = 1<<62 - 1 - margin
	}
	return s.from <= to && from <= end+margin
}
