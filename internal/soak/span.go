package soak

import (
	"time"
)

// span is a time in which something was so.
type span struct{ from, to time.Duration }

// overlaps reports whether the span has a part of the time between two moments, with a margin behind it.
func (s span) overlaps(from, to, margin time.Duration) bool {
	end := s.to
	if end == 0 {
		end = 1<<62 - 1 - margin
	}
	return s.from <= to && from <= end+margin
}
