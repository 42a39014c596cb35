package requestrecord

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	retention = 5 * time.Second
	window    = time.Second
)

// withClock returns a record whose time the test sets.
func withClock(t *testing.T) (r *Record, now *time.Duration) {
	t.Helper()
	now = new(time.Duration)
	*now = time.Hour
	r = New(retention)
	r.now = func() time.Duration { return *now }
	return r, now
}

// Failure: an ID that came again after its client had left was executed twice. It must be denied while the first request is worked on and, if that
// may have been executed, for the retention; within its window a request with an idempotency key may be repeated.
func TestClaimedIDIsDeniedWhileItMayHaveBeenExecuted(t *testing.T) {
	for _, c := range []struct {
		name            string
		mayHaveExecuted bool
		window, after   time.Duration
		want            bool
	}{
		{"never to be repeated, at once", true, 0, 0, false},
		{"never to be repeated, within the retention", true, 0, retention - time.Second, false},
		{"never to be repeated, after the retention", true, 0, retention + time.Second, true},
		{"not executed", false, 0, 0, true},
		{"with a key, within its window", true, window, window / 2, true},
		{"with a key, after its window", true, window, 2 * window, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			r, now := withClock(t)
			if !r.Claim("a", c.window) || !r.Claim("b", c.window) {
				t.Fatal("a new ID is denied")
			}
			if r.Claim("a", c.window) {
				t.Error("an ID is claimed twice at a time")
			}
			r.Settle("a", c.mayHaveExecuted)
			*now += c.after
			if got := r.Claim("a", c.window); got != c.want {
				t.Errorf("the second claim: %v, want %v", got, c.want)
			}
		})
	}
}

// Failure: the two processes of an upgrade executed the same ID. Of claims on one ID through two maps of the file at the same time, one may win, and
// a claim must outlast the map that made it, as it does a process that is killed.
func TestProcessesShareOneRecord(t *testing.T) {
	dir := t.TempDir()
	open := func() *Record {
		t.Helper()
		r, err := Open(dir, time.Minute)
		if err != nil {
			t.Fatal(err)
		}
		return r
	}
	first, second := open(), open()
	defer second.Close()
	for i := range 500 {
		var won atomic.Int32
		var both sync.WaitGroup
		for _, r := range []*Record{first, second} {
			both.Go(func() {
				if r.Claim(fmt.Sprint("id-", i), 0) {
					won.Add(1)
				}
			})
		}
		both.Wait()
		if won.Load() > 1 {
			t.Fatalf("claim %d was won twice", i)
		}
	}
	first.Claim("pending", 0)
	first.Claim("settled", 0)
	first.Settle("settled", true)
	first.Close()
	if second.Claim("pending", 0) || second.Claim("settled", 0) {
		t.Error("a claim ended with the process that made it")
	}
}

// A file that a kill left half written must be replaced, and a folder that can't be used must give an error.
func TestIncompleteFileIsReplaced(t *testing.T) {
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, fileName), []byte("half"), 0o600); err != nil {
		t.Fatal(err)
	}
	r, err := Open(dir, retention)
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	if !r.Claim("a", 0) || r.Claim("a", 0) {
		t.Error("the record does not work")
	}
	if _, err := Open(filepath.Join(dir, "none"), retention); err == nil {
		t.Error("a folder that is not there gives no error")
	}
}

// Ever new IDs must not make the table grow or deny new ones; the oldest claims go.
func TestRecordIsBounded(t *testing.T) {
	r, _ := withClock(t)
	for i := range 4 * slotCount {
		if !r.Claim(fmt.Sprint(i), 0) {
			t.Fatalf("new ID %d is denied", i)
		}
	}
	if len(r.words) != slotCount*slotWords {
		t.Errorf("the table has %d words", len(r.words))
	}
}
