package snapshot

import (
	"context"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"ryeweir/logic"
)

// The agent saves its knowledge at intervals if it has changed, and once more at shutdown. A directory that is not writable does not stop
// the agent.
func TestPersistSavesChangesAtIntervalsAndAtTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := FileIn(t.TempDir(), "n", nil)
		log := slog.New(slog.DiscardHandler)
		var calls atomic.Int64
		var changed atomic.Bool
		changed.Store(true)
		knowledge := func() (logic.Knowledge, bool) {
			calls.Add(1)
			return sampleKnowledge(), changed.Swap(false)
		}
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			Persist(ctx, f, time.Second, time.Now, knowledge, log)
			close(ended)
		}()
		time.Sleep(2500 * time.Millisecond)
		if _, err := os.Stat(f.Path); err != nil || calls.Load() != 2 {
			t.Fatalf("knowledge was read %d times, %v", calls.Load(), err)
		}
		if err := os.Remove(f.Path); err != nil {
			t.Fatal(err)
		}
		changed.Store(true)
		stop()
		<-ended
		if _, err := os.Stat(f.Path); err != nil || calls.Load() != 3 {
			t.Errorf("at the end: knowledge was read %d times, %v", calls.Load(), err)
		}
		ctx, stop = context.WithCancel(t.Context())
		changed.Store(true)
		stop()
		Persist(ctx, File{Path: "/nowhere/at/all"}, time.Second, time.Now, knowledge, log)
	})
}

// A process was killed during a write and left a temporary file. The next start removes that file, but not the snapshot itself, a recent
// temporary file that another process may still be writing, or a file of another agent.
func TestStartRemovesTemporaryFilesOfKilledProcesses(t *testing.T) {
	f := FileIn(t.TempDir(), "n", nil)
	mustSave(t, f, sampleKnowledge(), time.Now())
	abandoned := []string{f.Path + ".1", f.Path + ".2"}
	recent := f.Path + ".3"
	ofAnotherAgent := FileIn(filepath.Dir(f.Path), "m", nil).Path + ".77"
	for _, path := range append(abandoned, recent, ofAnotherAgent) {
		if err := os.WriteFile(path, []byte("RYW"), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	longAgo := time.Now().Add(-time.Hour)
	for _, path := range append(abandoned, ofAnotherAgent, f.Path) {
		if err := os.Chtimes(path, longAgo, longAgo); err != nil {
			t.Fatal(err)
		}
	}
	ctx, stop := context.WithCancel(t.Context())
	stop()
	unchanged := func() (logic.Knowledge, bool) { return logic.Knowledge{}, false }
	Persist(ctx, f, time.Hour, time.Now, unchanged, slog.New(slog.DiscardHandler))
	got, want := filesIn(t, filepath.Dir(f.Path)), []string{f.Path, recent, ofAnotherAgent}
	slices.Sort(got)
	slices.Sort(want)
	if !slices.Equal(got, want) {
		t.Errorf("files are %v, want %v", got, want)
	}
}
