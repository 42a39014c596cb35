package event

import (
	"bufio"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Events with the same name could not be told apart in the log and the metrics.
func TestEveryKindAndReasonHasADistinctName(t *testing.T) {
	kindsSeen := map[string]bool{}
	for kind := range Kind(numKinds) {
		if kind.String() == "" || kindsSeen[kind.String()] {
			t.Errorf("kind %d has the name %q", kind, kind)
		}
		kindsSeen[kind.String()] = true
	}
	reasonsSeen := map[string]bool{}
	for reason := range Reason(numReasons) {
		if reason.String() == "" || reasonsSeen[reason.String()] {
			t.Errorf("reason %d has the name %q", reason, reason)
		}
		reasonsSeen[reason.String()] = true
	}
}

// Dashboards and alerts of operators search for the names of kinds and reasons. A released name must stay when its constant is
// renamed. testdata/names.txt lists the names as of commit 53b3d21.
func TestReleasedNamesStillExist(t *testing.T) {
	present := map[string]bool{}
	for kind := range Kind(numKinds) {
		present["kind "+kind.String()] = true
	}
	for reason := range Reason(numReasons) {
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
			t.Errorf("the released name of %s no longer exists", name)
		}
	}
	if count != 60 {
		t.Errorf("testdata/names.txt has %d names, want 60", count)
	}
}
