package fleetstate

import "time"

// FailureReporter counts an agent's own failed attempts and decides which suspicions to send to peers.
//
// Rule: an incarnation is reported by its failures in a row, up to maxSuspicionWeight, when that number changes, and again when the report has expired
// while attempts go on to fail. A success withdraws the report.
//
// An agent whose attempts fail at more than maxSuspectedFraction of its endpoints suspects itself: its own network is likelier to be
// cut than most of the endpoints to fail. It reports none and withdraws what it has reported.
type FailureReporter struct {
	WithheldScans int64 // calls of Reports in which the agent suspected itself

	maxIncarnations int
	incarnations    map[Incarnation]*failures
}

// failures are those of one incarnation.
type failures struct {
	consecutive  int64
	scanned      int64     // consecutive, at the last scan
	changedAt    time.Time // scan at which consecutive had last changed
	reported     int64     // last reported; 0 for none or withdrawn
	lastReportAt time.Time
}

// FailureReport is a suspicion to be sent.
type FailureReport struct {
	Incarnation
	Failures int64 // in a row, up to maxSuspicionWeight; 0 withdraws
}

// NewFailureReporter returns a reporter that counts a number of incarnations at most. Further ones are ignored until others are dropped.
func NewFailureReporter(maxIncarnations int) *FailureReporter {
	return &FailureReporter{maxIncarnations: maxIncarnations, incarnations: map[Incarnation]*failures{}}
}

// AttemptEnded counts an attempt that succeeded or failed.
func (r *FailureReporter) AttemptEnded(incarnation Incarnation, succeeded bool) {
	failed, known := r.incarnations[incarnation]
	switch {
	case known && succeeded:
		failed.consecutive = 0
	case known:
		failed.consecutive++
	case !succeeded && len(r.incarnations) < r.maxIncarnations:
		r.incarnations[incarnation] = &failures{consecutive: 1}
	}
}

// Reports scans the counts and returns what is to be sent now, where so many endpoints are known. lifetime is how long a suspicion
// lives at peers. An incarnation is forgotten once its report is withdrawn or its count hasn't changed for a lifetime.
func (r *FailureReporter) Reports(now time.Time, endpoints int, lifetime time.Duration) (reports []FailureReport) {
	selfSuspected := suspectsTooMany(r.scan(now, lifetime), endpoints)
	if selfSuspected {
		r.WithheldScans++
	}
	for incarnation, failed := range r.incarnations {
		weight := min(failed.consecutive, maxSuspicionWeight)
		if selfSuspected {
			weight = 0
		}
		if weight != failed.reported {
			reports = append(reports, FailureReport{incarnation, weight})
			failed.reported, failed.lastReportAt = weight, now
		}
		if failed.consecutive == 0 {
			delete(r.incarnations, incarnation)
		}
	}
	return reports
}

// scan notes which counts have changed, drops those that haven't for a lifetime, and returns how many incarnations are suspected.
func (r *FailureReporter) scan(now time.Time, lifetime time.Duration) (suspected int) {
	for incarnation, failed := range r.incarnations {
		if failed.consecutive != failed.scanned {
			failed.scanned, failed.changedAt = failed.consecutive, now
		}
		if now.Sub(failed.lastReportAt) >= lifetime {
			failed.reported = 0 // it has expired at all peers
		}
		if now.Sub(failed.changedAt) >= lifetime {
			delete(r.incarnations, incarnation)
		} else if failed.consecutive >= maxSuspicionWeight {
			suspected++
		}
	}
	return suspected
}

// LastReported returns the failures last reported of an incarnation; 0 for none.
func (r *FailureReporter) LastReported(incarnation Incarnation) int64 {
	if failed, known := r.incarnations[incarnation]; known {
		return failed.reported
	}
	return 0
}
