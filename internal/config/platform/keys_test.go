package platform

import (
	"os"
	"slices"
	"strings"
	"testing"

	"ryeweir/internal/testkit"
)

// A key that is renamed in the struct but not in its tag reads as zero from then on, and nothing fails. The golden list holds every key
// of the configuration file that the release of 2 December 2026 read; those of its settings are held in internal/wire.
func TestConfigurationKeysStay(t *testing.T) {
	golden, err := os.ReadFile("testdata/config-keys.txt")
	if err != nil {
		t.Fatal(err)
	}
	want := strings.Fields(string(golden))
	if got := testkit.EncodedKeys(configFile{}, "json"); !slices.Equal(got, want) {
		t.Errorf("keys of the configuration: %v, want %v", got, want)
	}
}
