package operator

import (
	"os"
	"slices"
	"strings"
	"testing"

	"ryeweir/internal/testkit"
)

// An operator's file sets a key that a new version no longer has: with unknown keys as errors the agent doesn't start, or, where the key is
// only renamed in the struct, the value is lost. The golden list holds every key and table that the release of 2 December
// 2026 read, made from its source.
func TestFileKeysStay(t *testing.T) {
	golden, err := os.ReadFile("testdata/operator-keys.txt")
	if err != nil {
		t.Fatal(err)
	}
	want := strings.Fields(string(golden))
	if got := testkit.EncodedKeys(File{}, "toml"); !slices.Equal(got, want) {
		t.Errorf("keys of the operators' file: %v, want %v", got, want)
	}
	for _, key := range want {
		// A value of a wrong type is an error of its own; here only an unknown key counts.
		_, err := Parse("op.toml", []byte(key+" = [[]]\n"))
		if err != nil && strings.Contains(err.Error(), "no such key") {
			t.Errorf("%s: %v", key, err)
		}
	}
}
