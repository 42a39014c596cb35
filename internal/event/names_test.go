package event

import (
	"bufio"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Every kind and every reason has a name of its own: events that share one could not be told apart in the log and the metrics.
func TestEveryKindAndReasonHasADistinctName(t *testing.T) {
	kindsSeen := map[string]bool{}
	for kind := range Kind(kinds) {
		if kind.String() == "" || kindsSeen[kind.String()] {
			t.Errorf("kind %d has the name %q", kind, kind)
		}
		kindsSeen[kind.String()] = true
	}
	reasonsSeen := map[string]bool{}
	for reason := range Reason(reasons) {
		if reason.String() == "" || reasonsSeen[reason.String()] {
			t.Errorf("reason %d has the name %q", reason, reason)
		}
		reasonsSeen[reason.String()] = true
	}
}

// Operators' dashboards and alerts search for the names of kinds and reasons. A name that was released must not go away when its
// constant is renamed: testdata/names.txt has those that commit 53b3d21 wrote.
func TestReleasedNamesAreStillThere(t *testing.T) {
	present := map[string]bool{}
	for kind := range Kind(kinds) {
		present["kind "+kind.String()] = true
	}
	for reason := range Reason(reasons) {
		present["reason "+reason.String()] = true
	}
	released, err := os.Open(filepath.Join("testdata", "names.txt"))
	if err != nil {
		t.Fatal(err)
	}
	defer released.Close()
	count := 0
	for lines := bufio.NewScanner(released); lines.Scan(); count++ {
		if name := strings.TrimSpace(lines.Text()); !present[name] {
			t.Errorf("%s is gone", name)
		}
	}
	if count != 60 {
		t.Errorf("%d released names were read, want 60", count)
	}
}
