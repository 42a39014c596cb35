package bodybuffer

import (
	"bytes"
	"errors"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/iotest"
	"testing/synctest"
)

// randomBytes returns n pseudo-random bytes, the same ones on each call.
func randomBytes(n int) []byte {
	rng := rand.New(rand.NewPCG(1, 2))
	b := make([]byte, n)
	for i := range b {
		b[i] = byte(rng.Uint32())
	}
	return b
}

// All data must pass through a much smaller buffer completely and in order, whatever the size of the reads.
func TestPipeDeliversAllInOrder(t *testing.T) {
	budget := NewBudget(1 << 20)
	for _, size := range []int{0, 1, 99, 100, 101, 64 << 10, 1 << 20} {
		for name, in := range map[string]func(io.Reader) io.Reader{"whole": func(r io.Reader) io.Reader { return r },
			"halves": iotest.HalfReader, "end with data": iotest.DataErrReader} {
			want := randomBytes(size)
			p := NewPipe(budget, 100)
			var filling sync.WaitGroup
			filling.Go(func() {
				if err := p.Fill(in(bytes.NewReader(want)), nil, nil); err != nil {
					t.Error(err)
				}
			})
			var got bytes.Buffer
			n, err := p.WriteTo(&got)
			if err != nil || n != int64(size) || !bytes.Equal(got.Bytes(), want) {
				t.Errorf("size %d, reads %s: %d bytes written, error %v", size, name, n, err)
			}
			filling.Wait()
			p.Close()
		}
	}
	if available := budget.available.Load(); available != 1<<20 {
		t.Errorf("%d bytes of the budget available at the end", available)
	}
}

// A full pipe must report that once, and must not read further until there is free space.
func TestFullPipeStopsReading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		in := bytes.NewReader(randomBytes(300))
		p := NewPipe(NewBudget(1<<20), 100)
		full, done := 0, make(chan error, 1)
		go func() { done <- p.Fill(in, func() { full++ }, nil) }()
		synctest.Wait()
		if in.Len() != 200 || full != 1 {
			t.Errorf("%d bytes unread, onFull called %d times", in.Len(), full)
		}
		if n, complete := p.Complete(); n != 100 || complete {
			t.Errorf("%d bytes buffered, complete: %v", n, complete)
		}
		p.Close()
		if err := <-done; !errors.Is(err, ErrClosed) {
			t.Error(err)
		}
	})
}

// Data that exactly fits the buffer and arrives together with its end must be complete without waiting for free space.
func TestExactFitIsComplete(t *testing.T) {
	p := NewPipe(NewBudget(1<<20), 100)
	if err := p.Fill(iotest.DataErrReader(bytes.NewReader(randomBytes(100))), func() { t.Error("waited") }, nil); err != nil {
		t.Error(err)
	}
	if n, complete := p.Complete(); n != 100 || !complete {
		t.Errorf("%d bytes buffered, complete: %v", n, complete)
	}
}

// A body breaks off. The writer must get the data that arrived and then the error, so that it does not take part of a body for the
// whole.
func TestWriterGetsTheReadersError(t *testing.T) {
	broke := errors.New("broke")
	p := NewPipe(NewBudget(1<<20), 100)
	if err := p.Fill(io.MultiReader(bytes.NewReader(randomBytes(10)), iotest.ErrReader(broke)), nil, nil); err != broke {
		t.Error(err)
	}
	var got bytes.Buffer
	if n, err := p.WriteTo(&got); n != 10 || err != broke {
		t.Errorf("%d, %v", n, err)
	}
}

// Close must end a writer that waits for data. A second Close must have no effect.
func TestCloseEndsAWaitingWriter(t *testing.T) {
	p := NewPipe(NewBudget(1<<20), 100)
	done := make(chan error)
	go func() { _, err := p.WriteTo(io.Discard); done <- err }()
	p.Close()
	p.Close()
	if err := <-done; !errors.Is(err, ErrClosed) {
		t.Error(err)
	}
}
