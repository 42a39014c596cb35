package wire

import (
	"os"
	"slices"
	"strings"
	"testing"

	"ryeweir/internal/testkit"
)

// A key that is renamed in the struct but not in its tag reads as zero from then on, and nothing fails: an agent would run without its
// slow start. The golden list holds every key of the settings object that the release of 2 December 2026 read.
func TestSettingsKeysStay(t *testing.T) {
	golden, err := os.ReadFile("testdata/settings-keys.txt")
	if err != nil {
		t.Fatal(err)
	}
	want := strings.Fields(string(golden))
	if got := testkit.EncodedKeys(settingsObject{}, "json"); !slices.Equal(got, want) {
		t.Errorf("keys of the settings object: %v, want %v", got, want)
	}
}
