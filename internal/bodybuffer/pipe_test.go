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

// noise returns n bytes without a pattern, the same each time.
func noise(n int) []byte {
	rng := rand.New(rand.NewPCG(1, 2))
	b := make([]byte, n)
	for i := range b {
		b[i] = byte(rng.Uint32())
	}
	return b
}

// What goes in comes out, complete and in order, in pieces of any size, through a buffer that is far smaller.
func TestPipeDeliversAllInOrder(t *testing.T) {
	budget := NewBudget(1 << 20)
	for _, size := range []int{0, 1, 99, 100, 101, 64 << 10, 1 << 20} {
		for name, in := range map[string]func(io.Reader) io.Reader{"whole": func(r io.Reader) io.Reader { return r },
			"halves": iotest.HalfReader, "end with data": iotest.DataErrReader} {
			want := noise(size)
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
				t.Errorf("%d, %s: %d came, %v", size, name, n, err)
			}
			filling.Wait()
			p.Close()
		}
	}
	if left := budget.left.Load(); left != 1<<20 {
		t.Errorf("%d left of the budget", left)
	}
}

// A full pipe reports that once, and reads no further until there is free space.
func TestFullPipeStopsReading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		in := bytes.NewReader(noise(300))
		p := NewPipe(NewBudget(1<<20), 100)
		full, done := 0, make(chan error, 1)
		go func() { done <- p.Fill(in, func() { full++ }, nil) }()
		synctest.Wait()
		if in.Len() != 200 || full != 1 {
			t.Errorf("%d unread, reported full %d times", in.Len(), full)
		}
		if n, complete := p.Complete(); n != 100 || complete {
			t.Errorf("%d buffered, complete: %v", n, complete)
		}
		p.Close()
		if err := <-done; !errors.Is(err, ErrClosed) {
			t.Error(err)
		}
	})
}

// Content that fits exactly, and comes with its end, is complete without a wait for free space.
func TestExactFitIsComplete(t *testing.T) {
	p := NewPipe(NewBudget(1<<20), 100)
	if err := p.Fill(iotest.DataErrReader(bytes.NewReader(noise(100))), func() { t.Error("waited") }, nil); err != nil {
		t.Error(err)
	}
	if n, complete := p.Complete(); n != 100 || !complete {
		t.Errorf("%d buffered, complete: %v", n, complete)
	}
}

// A body breaks off. The writer gets what has come and then the error, so that it can't take a part for the complete body.
func TestWriterGetsTheReadersError(t *testing.T) {
	broke := errors.New("broke")
	p := NewPipe(NewBudget(1<<20), 100)
	if err := p.Fill(io.MultiReader(bytes.NewReader(noise(10)), iotest.ErrReader(broke)), nil, nil); err != broke {
		t.Error(err)
	}
	var got bytes.Buffer
	if n, err := p.WriteTo(&got); n != 10 || err != broke {
		t.Errorf("%d, %v", n, err)
	}
}

// A close ends a writer that waits for content, and a second close does no harm.
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
