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

func noise(n int) []byte {
	rng := rand.New(rand.NewPCG(1, 2))
	b := make([]byte, n)
	for i := range b {
		b[i] = byte(rng.Uint32())
	}
	return b
}

// What goes in comes out, whole and in order, in pieces of any size, through a buffer that is far smaller.
func TestPipeCarriesAll(t *testing.T) {
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

// A full pipe says so once, reads no further until there is room, and has its end by the last byte.
func TestFullPipeStopsReading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		in := bytes.NewReader(noise(300))
		p := NewPipe(NewBudget(1<<20), 100)
		full, done := 0, make(chan error, 1)
		go func() { done <- p.Fill(in, func() { full++ }, nil) }()
		synctest.Wait()
		if in.Len() != 200 || full != 1 {
			t.Errorf("%d unread, said to be full %d times", in.Len(), full)
		}
		if n, whole := p.Complete(); n != 100 || whole {
			t.Errorf("holds %d, whole: %v", n, whole)
		}
		p.Close()
		if err := <-done; !errors.Is(err, ErrClosed) {
			t.Error(err)
		}
	})
}

func TestExactFitIsWhole(t *testing.T) {
	p := NewPipe(NewBudget(1<<20), 100)
	if err := p.Fill(iotest.DataErrReader(bytes.NewReader(noise(100))), func() { t.Error("waited") }, nil); err != nil {
		t.Error(err)
	}
	if n, whole := p.Complete(); n != 100 || !whole {
		t.Errorf("%d, %v", n, whole)
	}
}

// What breaks off does so behind what has come: it must not look whole.
func TestBreakShows(t *testing.T) {
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

// The writer's error ends its side, and a close frees a reader that waits.
func TestClosedEnds(t *testing.T) {
	p := NewPipe(NewBudget(1<<20), 100)
	done := make(chan error)
	go func() { _, err := p.WriteTo(io.Discard); done <- err }()
	p.Close()
	p.Close()
	if err := <-done; !errors.Is(err, ErrClosed) {
		t.Error(err)
	}
}

// A budget that is used up still grants a little, and takes back what it gave.
func TestBudget(t *testing.T) {
	b := NewBudget(100 << 10)
	if got := []int{b.Reserve(64 << 10), b.Reserve(64 << 10), b.Reserve(64 << 10), b.Reserve(10)}; got[0] != 64<<10 || got[1] != 36<<10 ||
		got[2] != least || got[3] != 10 {
		t.Errorf("granted %v", got)
	}
	for _, n := range []int{64 << 10, 36 << 10, least, 10} {
		b.Release(n)
	}
	if b.left.Load() != 100<<10 {
		t.Errorf("%d left", b.left.Load())
	}
}
