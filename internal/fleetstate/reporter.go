package fleetstate

import "time"

// FailureReporter counts an agent's own failed attempts and decides which suspicions to send to peers.
//
// An incarnation is reported with its number of consecutive failures, up to maxSuspicionWeight, when that number changes, and again if
// attempts still fail after the report has expired. A success withdraws the report.
//
// An agent whose attempts fail at more than maxSuspectedFraction of its endpoints suspects itself, because a fault of its own network is
// likelier than a failure of most endpoints. It reports none and withdraws what it has reported.
type FailureReporter struct {
	WithheldScans int64 // calls of Reports in which the agent suspected itself

	maxIncarnations int
	incarnations    map[Incarnation]*failures
}

// failures counts the failed attempts on one incarnation.
type failures struct {
	consecutive  int64
	lastScanned  int64     // value of consecutive at the last scan
	changedAt    time.Time // time of the scan that last found consecutive changed
	reported     int64     // value of the last report; 0 if none, withdrawn or expired
	lastReportAt time.Time
}

// FailureReport is a suspicion to send.
type FailureReport struct {
	Incarnation
	Failures int64 // consecutive, up to maxSuspicionWeight; 0 withdraws the suspicion
}

// NewFailureReporter returns a reporter that counts up to maxIncarnations incarnations. Others are ignored until one of these is dropped.
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

// Reports scans the counts and returns the reports to send now. endpoints is the number of known endpoints, and lifetime is how long a
// suspicion lives at peers. An incarnation is dropped once an attempt has succeeded or its count has not changed for a lifetime.
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

// scan records which counts have changed, drops those that have not for a lifetime, and returns the number of suspected incarnations.
func (r *FailureReporter) scan(now time.Time, lifetime time.Duration) (suspected int) {
	for incarnation, failed := range r.incarnations {
		if failed.consecutive != failed.lastScanned {
			failed.lastScanned, failed.changedAt = failed.consecutive, now
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

// LastReported returns the number of failures last reported for an incarnation; 0 for none.
func (r *FailureReporter) LastReported(incarnation Incarnation) int64 {
	if failed, known := r.incarnations[incarnation]; known {
		return failed.reported
	}
	return 0
}
