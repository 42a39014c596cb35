package snapshot

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"testing"
	"time"

	"ryeweir/logic"
)

// releasedFile is a snapshot written by the program of commit 53b3d21.
var releasedFile = filepath.Join("testdata", "released.knowledge")

// After an upgrade the new version loads the snapshot of the old one. Every value in it must be restored.
func TestSnapshotOfReleasedVersionIsRestored(t *testing.T) {
	savedAt := time.Date(2026, 1, 2, 3, 4, 5, 600_000_000, time.UTC)
	f := File{Path: releasedFile, Agent: "agent-1", Classes: []string{"pay", "form-check"}}
	knowledge, age, err := f.Load(savedAt.Add(3*time.Second), time.Minute)
	if err != nil || age != 3*time.Second {
		t.Fatalf("saved %v ago, error %v", age, err)
	}
	want := logic.Knowledge{
		BaselineLatency: []time.Duration{30 * time.Millisecond, 70 * time.Millisecond},
		MeanPriority:    12.5,
		Endpoints: []logic.EndpointKnowledge{
			{ID: "s-1", Age: time.Minute, MeanLatency: 0.03, Samples: 9, FailureRate: 0.25, EjectionRemaining: 1500 * time.Millisecond, LogCapacity: 3.2, LogCapacityVariance: 0.04},
			{ID: "s-2", MeanLatency: 0.07, Samples: 41.5},
		},
	}
	if !reflect.DeepEqual(knowledge, want) {
		t.Errorf("%+v, want %+v", knowledge, want)
	}
}

// After a rollback the old version loads the snapshot of the new one. A new file must therefore be byte for byte identical to the file that
// the old version writes for the same knowledge.
func TestSnapshotIsWrittenInTheReleasedFormat(t *testing.T) {
	released, err := os.ReadFile(releasedFile)
	if err != nil {
		t.Fatal(err)
	}
	doc, err := decode(released)
	if err != nil {
		t.Fatal(err)
	}
	written, err := encode(doc)
	if err != nil {
		t.Fatal(err)
	}
	if !slices.Equal(written, released) {
		t.Errorf("written %q, released %q", written, released)
	}
	requireKeys(t, written[headerSize:], "agent", "classes", "knowledge", "taken")
}

// The new version finds the snapshot of the old one only if the file name is unchanged.
func TestFileHasTheReleasedName(t *testing.T) {
	if got, want := filepath.Base(FileIn("/", "agent-1", nil).Path), "ryeweir-9c3f9a8a5ba8d740.knowledge"; got != want {
		t.Errorf("file %s, want %s", got, want)
	}
}

// requireKeys fails the test unless a JSON object has exactly these keys.
func requireKeys(t *testing.T, text []byte, want ...string) {
	t.Helper()
	var object map[string]json.RawMessage
	if err := json.Unmarshal(text, &object); err != nil {
		t.Fatal(err)
	}
	var keys []string
	for key := range object {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	if !slices.Equal(keys, want) {
		t.Errorf("keys %v, want %v", keys, want)
	}
}

// A disk may return corrupt data, and a killed process may leave a truncated file. Any changed byte and any truncation must be detected.
func TestDamagedFileIsDetected(t *testing.T) {
	f := FileIn(t.TempDir(), "n", nil)
	mustSave(t, f, sampleKnowledge(), time.Now())
	intact, err := os.ReadFile(f.Path)
	if err != nil {
		t.Fatal(err)
	}
	for i := range intact {
		damaged := slices.Clone(intact)
		damaged[i] ^= 0x20
		if _, err := decode(damaged); !errors.Is(err, ErrCorrupt) {
			t.Fatalf("with byte %d changed: %v", i, err)
		}
		if _, err := decode(intact[:i]); !errors.Is(err, ErrCorrupt) {
			t.Fatalf("truncated to %d bytes: %v", i, err)
		}
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(magic + "\x00\x00\x00\x00{}"))
	f.Fuzz(func(t *testing.T, data []byte) {
		if _, err := decode(data); err != nil && !errors.Is(err, ErrCorrupt) {
			t.Error(err)
		}
	})
}
