package socket

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

var testStallLimit = StallLimit{Timeout: 10 * time.Second, MinRate: 1 << 10}

// readAtRate reads n bytes at a time, in steps of one interval, until a read fails.
func readAtRate(c net.Conn, n int64, interval time.Duration) {
	for {
		time.Sleep(interval)
		if _, err := io.CopyN(io.Discard, c, n); err != nil {
			return
		}
	}
}

// Guards against a limit that ends a peer that reads slowly, and against one that a peer escapes by taking a byte now and then.
func TestSenderGivesUpOnlyPeersThatTakeTooLittle(t *testing.T) {
	for name, c := range map[string]struct {
		bytes    int64
		interval time.Duration
		givenUp  time.Duration // 0 for never
	}{
		"takes nothing":                   {1, time.Hour, testStallLimit.Timeout},
		"takes a byte each second":        {1, time.Second, testStallLimit.Timeout},
		"takes half of the rate":          {512, time.Second, 2 * testStallLimit.Timeout},
		"takes the rate, in small pieces": {128, time.Second / 8, 0},
		"takes the rate, in long steps":   {9 << 10, 9 * time.Second, 0},
		"takes more, in long steps":       {64 << 10, 9 * time.Second, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ours, theirs := net.Pipe()
				var reading sync.WaitGroup
				reading.Go(func() { readAtRate(theirs, c.bytes, c.interval) })
				defer reading.Wait()
				sender, began := NewSender(ours, testStallLimit), time.Now()
				var err error
				for err == nil && time.Since(began) < 5*time.Minute {
					_, err = sender.Write(make([]byte, 8<<10))
				}
				took := time.Since(began)
				const tolerance = 2 * stallCheckInterval // a check may come just before the peer takes something
				ours.Close()
				theirs.Close()
				switch {
				case c.givenUp == 0 && err != nil:
					t.Errorf("given up after %v: %v", took, err)
				case c.givenUp > 0 && (!errors.Is(err, ErrPeerStalled) || !errors.Is(err, os.ErrDeadlineExceeded)):
					t.Errorf("after %v: error %v, want a stall", took, err)
				case c.givenUp > 0 && (took < c.givenUp-tolerance || took > c.givenUp+tolerance):
					t.Errorf("given up after %v, want %v", took, c.givenUp)
				}
			})
		})
	}
}

// A write that is interrupted ends with the error of the interruption, also if a wait for the peer is in progress.
func TestInterruptedSenderEndsWithItsError(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ours, theirs := net.Pipe()
		defer theirs.Close()
		interrupted := errors.New("interrupted")
		var interrupt atomic.Bool
		sender := NewSender(ours, testStallLimit)
		sender.Interrupted = func() error {
			if interrupt.Load() {
				return interrupted
			}
			return nil
		}
		time.AfterFunc(1500*time.Millisecond, func() {
			interrupt.Store(true)
			ours.SetWriteDeadline(time.Now())
		})
		if n, err := sender.Write([]byte("request")); n != 0 || err != interrupted {
			t.Errorf("%d bytes, %v", n, err)
		}
	})
}

// Guards against a count of what the kernel has buffered in place of what the peer has taken.
func TestUnacknowledgedBytesAreThoseThePeerHasNotTaken(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	ours, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer ours.Close()
	theirs, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer theirs.Close()
	ours.SetWriteDeadline(time.Now().Add(200 * time.Millisecond))
	written, _ := ours.Write(make([]byte, 64<<20)) // more than any buffer holds, so that the deadline ends it
	if queued := unacknowledged(ours); queued <= 0 || queued > written {
		t.Fatalf("%d of %d bytes are unacknowledged while the peer reads nothing", queued, written)
	}
	if _, err := io.CopyN(io.Discard, theirs, int64(written)); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(10 * time.Second); unacknowledged(ours) > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d bytes are unacknowledged after the peer has read all", unacknowledged(ours))
		}
	}
}
