package operator

import (
	"errors"
	"time"

	"ryeweir/internal/config"
)

// Bounds that several tables use.
const (
	maxDuration         = 24 * time.Hour
	maxPerSecond        = 1e6
	minSnapshotInterval = 100 * time.Millisecond
)

// problems collects the validation errors of a file.
type problems struct{ errs []error }

// require adds an error for a key unless the condition holds.
func (p *problems) require(holds bool, key, format string, args ...any) {
	if !holds {
		p.errs = append(p.errs, config.Wrong(key, format, args...))
	}
}

func (p *problems) requireDuration(key string, value config.Duration) {
	p.require(value >= 0 && value.D() <= maxDuration, key, "must be from 0s to %v", maxDuration)
}

// requireRatio rejects NaN, as does requireRate.
func (p *problems) requireRatio(key string, value float64) {
	p.require(value >= 0 && value <= 1, key, "must be from 0 to 1")
}

func (p *problems) requireRate(key string, value float64) {
	p.require(value >= 0 && value <= maxPerSecond, key, "must be from 0 to 1000000")
}

// Check returns a config.KeyError for each invalid value, joined by errors.Join.
func (f *File) Check() error {
	var p problems
	f.Connections.check(&p)
	f.HealthChecks.check(&p)
	f.Snapshot.check(&p)
	p.requireDuration("drain.longest", f.Drain.MaxDuration)
	f.Peers.check(&p)
	f.Overload.check(&p)
	return errors.Join(p.errs...)
}

func (s *Snapshot) check(p *problems) {
	interval := s.Interval.D()
	p.require(interval == 0 || interval >= minSnapshotInterval && interval <= maxDuration,
		"snapshot.every", "must be 0s, or from %v to %v", minSnapshotInterval, maxDuration)
	p.requireDuration("snapshot.oldest", s.MaxAge)
}
