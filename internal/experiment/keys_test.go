package experiment

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"ryeweir/internal/testkit"
)

// Renaming a Go field without a tag changes a key of reports or of users' files, which no other test notices: the old key then is an error
// or reads as zero. The golden lists have all keys that the release of 2 December 2026 read from TOML files and wrote to JSON reports.
func TestKeysOfFilesAndReportsStay(t *testing.T) {
	for name, got := range map[string][]string{
		"findings":      testkit.EncodedKeys(Findings{}, "json"),
		"outcome":       testkit.EncodedKeys(Outcome{}, "json"),
		"drilled":       testkit.EncodedKeys(DrillResult{}, "json"),
		"fleet-figures": testkit.EncodedKeys(FleetFigures{}, "json"),
		"cost":          testkit.EncodedKeys(Cost{}, "json"),
		"experiment":    testkit.EncodedKeys(Spec{}, "toml"),
		"drill":         testkit.EncodedKeys(DrillSpec{}, "toml"),
		"world":         testkit.EncodedKeys(WorldSpec{}, "toml"),
		"load":          testkit.EncodedKeys(LoadSpec{}, "toml"),
		"fleet":         testkit.EncodedKeys(DefaultFleet(), "toml"),
	} {
		t.Run(name, func(t *testing.T) {
			golden, err := os.ReadFile(filepath.Join("testdata", "keys", name+".txt"))
			if err != nil {
				t.Fatal(err)
			}
			for _, key := range strings.Fields(string(golden)) {
				if !slices.Contains(got, key) {
					t.Errorf("the key %q is missing", key)
				}
			}
			if want := len(strings.Fields(string(golden))); len(got) != want {
				t.Errorf("%d keys, want %d", len(got), want)
			}
		})
	}
}
