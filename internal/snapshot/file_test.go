package snapshot

import (
	"errors"
	"io"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"ryeweir/logic"
)

// sampleKnowledge returns knowledge about two endpoints.
func sampleKnowledge() logic.Knowledge {
	return logic.Knowledge{
		BaselineLatency: []time.Duration{30 * time.Millisecond},
		MeanPriority:    12,
		Endpoints: []logic.EndpointKnowledge{
			{ID: "s-1", MeanLatency: 0.03, Samples: 9, LogCapacity: 3.2, LogCapacityVariance: 0.04},
			{ID: "s-2", Age: time.Minute, FailureRate: 0.4, EjectionRemaining: time.Second},
		},
	}
}

// mustSave saves a snapshot and fails the test on an error.
func mustSave(t *testing.T, f File, knowledge logic.Knowledge, now time.Time) {
	t.Helper()
	if err := f.Save(knowledge, now); err != nil {
		t.Fatal(err)
	}
}

// filesIn returns the paths of all files in a directory.
func filesIn(t *testing.T, dir string) []string {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(dir, "*"))
	if err != nil {
		t.Fatal(err)
	}
	return paths
}

func TestLoadReturnsWhatWasSaved(t *testing.T) {
	f := FileIn(t.TempDir(), "n3/../x", []string{"pay"})
	now := time.Now()
	if _, _, err := f.Load(now, time.Minute); !errors.Is(err, ErrNotFound) {
		t.Errorf("before the first save: %v, want ErrNotFound", err)
	}
	mustSave(t, f, sampleKnowledge(), now)
	knowledge, age, err := f.Load(now.Add(5*time.Second), time.Minute)
	if err != nil || age.Round(time.Second) != 5*time.Second || !reflect.DeepEqual(knowledge, sampleKnowledge()) {
		t.Errorf("loaded %+v, saved %v ago, error %v", knowledge, age, err)
	}
	if paths := filesIn(t, filepath.Dir(f.Path)); len(paths) != 1 {
		t.Errorf("directory contains %v, want one file", paths)
	}
}

// A snapshot that is too old, or that was saved by another agent or under other settings, does not describe the current endpoints. One with
// a save time in the future was saved before the wall clock was stepped back, so its age is unknown.
func TestLoadRejectsSnapshotsThatDoNotApply(t *testing.T) {
	f := FileIn(t.TempDir(), "n3/../x", []string{"pay"})
	now := time.Now()
	mustSave(t, f, sampleKnowledge(), now)
	otherSettings := FileIn(filepath.Dir(f.Path), "n3/../x", []string{"pay", "ask"})
	otherAgent := File{Path: f.Path, Agent: "n4", Classes: f.Classes}
	for name, c := range map[string]struct {
		file File
		now  time.Time
		want error
		text string
	}{
		"too old":         {f, now.Add(2 * time.Minute), ErrExpired, "saved 2m0s ago, limit 1m0s"},
		"from the future": {f, now.Add(-time.Minute), ErrExpired, "saved 1m0s in the future, limit 1s"},
		"other settings":  {otherSettings, now, ErrMismatch, f.Path},
		"other agent":     {otherAgent, now, ErrMismatch, f.Path},
	} {
		if _, _, err := c.file.Load(c.now, time.Minute); !errors.Is(err, c.want) || !strings.Contains(err.Error(), c.text) {
			t.Errorf("%s: %v, want %v with %q", name, err, c.want, c.text)
		}
	}
}

// There may be more endpoints than fit into a file. Some of them are saved, so that the file is valid and within MaxSize. A larger file is
// not loaded.
func TestFileSizeIsBounded(t *testing.T) {
	f := FileIn(t.TempDir(), "n", []string{"pay"})
	now := time.Now()
	large := logic.Knowledge{Endpoints: make([]logic.EndpointKnowledge, 20000)}
	mustSave(t, f, large, now)
	info, err := os.Stat(f.Path)
	if err != nil {
		t.Fatal(err)
	}
	knowledge, _, err := f.Load(now, time.Minute)
	if err != nil || info.Size() > MaxSize || len(knowledge.Endpoints) < 5000 {
		t.Errorf("%d endpoints, %d of them saved in %d bytes, error %v", len(large.Endpoints), len(knowledge.Endpoints), info.Size(), err)
	}
	if err := (File{Path: f.Path, Agent: strings.Repeat("n", MaxSize)}).Save(sampleKnowledge(), now); err == nil {
		t.Error("a snapshot over MaxSize was saved")
	}
	if err := os.WriteFile(f.Path, make([]byte, MaxSize+1), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, _, err := f.Load(now, time.Minute); !errors.Is(err, ErrCorrupt) {
		t.Errorf("file over MaxSize: %v, want ErrCorrupt", err)
	}
}

// During a handover the next process reads the file while this one writes it. The file must be replaced, not overwritten: a reader that has
// opened the old file can read all of it.
func TestReaderOfAReplacedFileReadsTheOldOne(t *testing.T) {
	f := FileIn(t.TempDir(), "n", nil)
	mustSave(t, f, sampleKnowledge(), time.Now())
	old, err := os.Open(f.Path)
	if err != nil {
		t.Fatal(err)
	}
	defer old.Close()
	mustSave(t, f, logic.Knowledge{}, time.Now())
	data, err := io.ReadAll(old)
	if err != nil {
		t.Fatal(err)
	}
	if doc, err := decode(data); err != nil || !reflect.DeepEqual(doc.Knowledge.toKnowledge(), sampleKnowledge()) {
		t.Errorf("%+v, %v", doc, err)
	}
}
