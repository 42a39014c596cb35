package wire

import (
	"os"
	"slices"
	"strings"
	"testing"

	"ryeweir/internal/testkit"
)

// If a struct field were renamed without a tag that keeps its key, the value would silently be decoded as zero: an agent would run without
// slow start, for example. The golden file contains every key of the settings object that the release of 2 December 2026 read.
func TestSettingsKeysAreUnchanged(t *testing.T) {
	golden, err := os.ReadFile("testdata/settings-keys.txt")
	if err != nil {
		t.Fatal(err)
	}
	want := strings.Fields(string(golden))
	if got := testkit.EncodedKeys(settingsObject{}, "json"); !slices.Equal(got, want) {
		t.Errorf("keys in the settings object: %v, want %v", got, want)
	}
}
