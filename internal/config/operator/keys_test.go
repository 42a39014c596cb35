package operator

import (
	"os"
	"slices"
	"strings"
	"testing"

	"ryeweir/internal/testkit"
)

// If a key that operators use were removed or renamed, the agent would not start, because unknown keys are errors, or the value would be
// lost. The golden file was made from the source of the release of 2 December 2026 and contains every key and table that it read.
func TestFileKeysAreUnchanged(t *testing.T) {
	golden, err := os.ReadFile("testdata/operator-keys.txt")
	if err != nil {
		t.Fatal(err)
	}
	want := strings.Fields(string(golden))
	if got := testkit.EncodedKeys(File{}, "toml"); !slices.Equal(got, want) {
		t.Errorf("keys in the operators' file: %v, want %v", got, want)
	}
	for _, key := range want {
		// Most keys have another type, which is a different error. Only an unknown key fails the test.
		_, err := Parse("op.toml", []byte(key+" = [[]]\n"))
		if err != nil && strings.Contains(err.Error(), "no such key") {
			t.Errorf("%s: %v", key, err)
		}
	}
}
