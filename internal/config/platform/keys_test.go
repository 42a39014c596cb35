package platform

import (
	"os"
	"slices"
	"strings"
	"testing"

	"ryeweir/internal/testkit"
)

// If a struct field were renamed without a tag that keeps its key, the value would silently be decoded as zero. The golden file contains
// every key of the configuration file that the release of 2 December 2026 read. A test in internal/wire covers the keys of the settings.
func TestConfigurationKeysAreUnchanged(t *testing.T) {
	golden, err := os.ReadFile("testdata/config-keys.txt")
	if err != nil {
		t.Fatal(err)
	}
	want := strings.Fields(string(golden))
	if got := testkit.EncodedKeys(configFile{}, "json"); !slices.Equal(got, want) {
		t.Errorf("keys in the configuration: %v, want %v", got, want)
	}
}
