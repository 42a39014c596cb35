package httpmsg

import (
	"bytes"
	"io"
	"sync"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"ryeweir/internal/bodybuffer"
)

// patternBytes returns n bytes in which a lost, repeated or reordered part shows.
func patternBytes(n int) []byte {
	b := make([]byte, n)
	for i := range b {
		b[i] = byte(i * i >> 7)
	}
	return b
}

// Whatever the order of reads by the attempt, reads ahead of it and the end of the request, the attempt must get the body's bytes once and in order, and
// nothing may be left on the budget.
func TestReadAheadKeepsOrderAndReturnsItsBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const budgetBytes = 1 << 20
		want := patternBytes(rapid.IntRange(0, 3*budgetBytes/2).Draw(t, "length"))
		var source io.Reader = bytes.NewReader(want)
		if rapid.Bool().Draw(t, "small reads") {
			source = iotest.HalfReader(source)
		}
		budget := bodybuffer.NewBudget(budgetBytes)
		completed := 0
		r := &Remainder{Budget: budget, OnComplete: func() error { completed++; return nil },
			Upload: &Upload{Source: source, Length: -1, SetReadDeadline: func(time.Time) error { return nil }}}
		var got []byte
		var err error
		ended := false
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			switch rapid.SampledFrom([]string{"read", "read", "ahead", "end"}).Draw(t, "event") {
			case "read":
				p := make([]byte, rapid.IntRange(1, 200<<10).Draw(t, "buffer"))
				var n int
				n, err = r.Read(p)
				got = append(got, p[:n]...)
				if ended && n > 0 {
					t.Fatalf("read %d bytes after the end of the request", n)
				}
			case "ahead":
				r.ReadAhead()
			case "end":
				ended = rapid.Bool().Draw(t, "ends")
				if ended {
					r.Close()
				}
			}
		}
		if !bytes.HasPrefix(want, got) || err == io.EOF && len(got) != len(want) || completed > 1 {
			t.Fatalf("got %d of %d bytes, error %v, completed %d times", len(got), len(want), err, completed)
		}
		r.Discard()
		if !budget.TryReserve(budgetBytes) {
			t.Fatal("bytes of the budget are missing at the end")
		}
	})
}

// An attempt reads while another goroutine reads ahead: each of them may find the end, and no byte may be lost between them.
func TestReadAheadBesideAnAttempt(t *testing.T) {
	for i := range 400 {
		want := patternBytes(10<<10 + i%10*(100<<10))
		r := &Remainder{Budget: bodybuffer.NewBudget(64 << 20), OnComplete: func() error { return nil },
			Upload: &Upload{Source: iotest.DataErrReader(bytes.NewReader(want)), Length: -1, SetReadDeadline: func(time.Time) error { return nil }}}
		var ahead sync.WaitGroup
		ahead.Go(func() {
			for !r.Complete() {
				r.ReadAhead()
			}
		})
		if got, err := io.ReadAll(iotest.HalfReader(r)); err != nil || !bytes.Equal(got, want) {
			t.Errorf("got %d of %d bytes, error %v", len(got), len(want), err)
		}
		ahead.Wait()
	}
}

// A look ahead must end as soon as the client is seen to be unfinished, and leave half of the budget to others.
func TestReadAheadIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, budgetBytes := range []int64{2 * aheadPieceBytes, 1 << 20, 64 << 20} {
			reader, writer := io.Pipe()
			go writer.Write(make([]byte, 32<<20))
			budget := bodybuffer.NewBudget(budgetBytes)
			r := &Remainder{Budget: budget, OnComplete: func() error { return nil }, Upload: &Upload{Source: reader, Length: -1, SetReadDeadline: func(time.Time) error { return nil }}}
			r.ReadAhead()
			if r.Upload.received.Load() > 0 {
				t.Error("read ahead before an attempt has begun to read")
			}
			r.Read(make([]byte, 1))
			r.ReadAhead()
			if read := r.Upload.received.Load(); read > maxAheadBytes+aheadPieceBytes || read > 1+budgetBytes/2 {
				t.Errorf("budget %d: %d bytes read ahead", budgetBytes, read)
			}
			if !budget.TryReserve(int(budgetBytes / 2)) {
				t.Errorf("budget %d: less than half is left", budgetBytes)
			}
			reader.Close()
		}
	})
}
