package fleetstate

import (
	"testing"
	"time"
)

// Failures must be reported when their number changes, withdrawn after a success, and dropped once they have not changed for a lifetime.
// The number of incarnations must stay within its limit.
func TestFailuresAreReportedOnChangeAndDroppedWhenOld(t *testing.T) {
	reporter, incarnation, lifetime := NewFailureReporter(2), Incarnation{"a", 1}, 5*time.Second
	reports := func(at time.Duration) []FailureReport { return reporter.Reports(epoch.Add(at), 10, lifetime) }
	reporter.AttemptEnded(incarnation, false)
	if x := reports(0); len(x) != 1 || x[0] != (FailureReport{incarnation, 1}) {
		t.Errorf("%v", x)
	}
	for range 5 {
		reporter.AttemptEnded(incarnation, false)
	}
	if x := reports(time.Second); len(x) != 1 || x[0].Failures != maxSuspicionWeight {
		t.Errorf("%v", x)
	}
	if x := reports(2 * time.Second); len(x) != 0 {
		t.Errorf("reported again without a change: %v", x)
	}
	reporter.AttemptEnded(incarnation, true)
	if x := reports(3 * time.Second); len(x) != 1 || x[0].Failures != 0 {
		t.Errorf("not withdrawn: %v", x)
	}
	for _, server := range []string{"a", "b", "c"} {
		reporter.AttemptEnded(Incarnation{server, 1}, false)
	}
	if x := reports(4 * time.Second); len(x) != 2 {
		t.Errorf("reports for more or fewer than the limit of two incarnations: %v", x)
	}
	if reports(20 * time.Second); len(reporter.incarnations) != 0 {
		t.Errorf("old failures are not dropped: %v", reporter.incarnations)
	}
}

// An agent whose attempts fail at most of its endpoints is probably cut off itself. It must withdraw what it has reported, report nothing
// while attempts fail at most endpoints, and report again when they fail at few.
func TestAgentThatSuspectsMostReportsNone(t *testing.T) {
	reporter, lifetime := NewFailureReporter(100), 5*time.Second
	scan := func(at time.Duration, failing ...string) (reported map[string]int64) {
		reported = map[string]int64{}
		for _, server := range failing {
			reporter.AttemptEnded(Incarnation{server, 1}, false)
			reporter.AttemptEnded(Incarnation{server, 1}, false)
		}
		for _, x := range reporter.Reports(epoch.Add(at), 4, lifetime) {
			reported[x.Server] = x.Failures
		}
		return reported
	}
	if x := scan(0, "a", "b"); x["a"] != maxSuspicionWeight || x["b"] != maxSuspicionWeight {
		t.Errorf("with two of four endpoints failing it reports %v", x)
	}
	if x := scan(time.Second, "c"); len(x) != 2 || x["a"] != 0 || x["b"] != 0 || reporter.LastReported(Incarnation{"a", 1}) != 0 {
		t.Errorf("with three of four endpoints failing it reports %v", x)
	}
	for at := 2 * time.Second; at < 20*time.Second; at += time.Second {
		if x := scan(at, "a", "b", "c"); len(x) != 0 {
			t.Fatalf("with three of four endpoints failing, at %v, it reports %v", at, x)
		}
	}
	reporter.AttemptEnded(Incarnation{"a", 1}, true)
	reporter.AttemptEnded(Incarnation{"b", 1}, true)
	if x := scan(20 * time.Second); len(x) != 1 || x["c"] != maxSuspicionWeight {
		t.Errorf("after two endpoints have recovered it reports %v", x)
	}
}
