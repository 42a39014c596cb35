package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"ryeweir/internal/crowd"
	"ryeweir/internal/testkit"
)

// longAnswerBytes is the length of the answers that slow readers read.
const longAnswerBytes = 8 << 20

// answerAtLength is a script of an endpoint that answers a GET with longAnswerBytes and a POST with a short body.
func answerAtLength(c net.Conn, r *http.Request, _ int) bool {
	if r.Method == http.MethodPost {
		return testkit.RespondWith(testkit.OKResponse)(c, r, 0)
	}
	if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", longAnswerBytes); err != nil {
		return false
	}
	piece := []byte(strings.Repeat("x", 64<<10))
	for range longAnswerBytes / len(piece) {
		if _, err := c.Write(piece); err != nil {
			return false
		}
	}
	return true
}

// crowdSize and crowdTime are how many clients a crowd has, and how long it stays.
const (
	crowdSize = 330
	crowdTime = 4 * time.Second
)

// promptWrite is how soon after its connect a client that behaves has sent its request, unless this process was held up in between.
const promptWrite = 50 * time.Millisecond

// honestPause is the time between two requests of the clients that behave while a crowd is there, and honestLimit the longest that one waits
// for its answer before the test fails.
const (
	honestPause = 50 * time.Millisecond
	honestLimit = 10 * time.Second
)

// strain keeps a crowd and some honest clients connected to addr. Each honest one must get an answer.
func strain(t *testing.T, addr string, deployed site, behavior crowd.Behavior) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), crowdTime)
	defer cancel()
	var crowded sync.WaitGroup
	crowded.Go(func() { crowd.Hold(ctx, addr, crowdSize, behavior, deployed.read, deployed.upload) })
	answers, slowest := map[int]int{}, time.Duration(0)
	for ctx.Err() == nil {
		got := send(addr, deployed.upload, crowd.NewID(), honestLimit)
		if got.err != nil && got.sentAfter < promptWrite {
			t.Errorf("a client that behaves got no answer after %v: %v", got.took, got.err)
		}
		answers[got.status]++
		slowest = max(slowest, got.took)
		time.Sleep(honestPause)
	}
	crowded.Wait()
	t.Logf("answers by status: %v, the slowest after %v", answers, slowest)
}

// Failure: hundreds of clients that write slowly, stop half way, send heads of very many fields or read slowly made an agent pass its memory
// limit.
func TestCrowdsStayBelowTheMemoryLimit(t *testing.T) {
	for _, c := range []struct {
		name                  string
		site                  site
		memoryMB, descriptors int
		behavior              crowd.Behavior
	}{
		{"order-core", orderCore, 32, 1024, crowd.ManyFields},
		{"order-core", orderCore, 32, 1024, crowd.StalledUpload},
		{"order-core", orderCore, 32, 1024, crowd.SlowHead},
		{"order-core", orderCore, 32, 1024, crowd.SlowReader},
		{"order-core", orderCore, 32, 1024, crowd.Mixed},
		{"order-core", orderCore, 32, 256, crowd.Mixed},
		{"airport", airport, 32, 1024, crowd.Mixed},
		{"airport", airport, 48, 512, crowd.StalledUpload},
	} {
		t.Run(fmt.Sprintf("%s/%dMB/%d/%s", c.name, c.memoryMB, c.descriptors, c.behavior), func(t *testing.T) {
			t.Parallel()
			endpoint := testkit.NewBackend(t, answerAtLength)
			a := startAgent(t, agentOptions{site: c.site, memoryMB: c.memoryMB, descriptors: c.descriptors}, "", endpoint.Addr().String())
			ready := a.memoryKB("VmHWM")
			strain(t, a.addr, c.site, c.behavior)
			peak := a.memoryKB("VmHWM")
			t.Logf("%d kB when ready, %d kB at most", ready, peak)
			if !a.running() || peak > c.memoryMB<<10 {
				t.Errorf("resident memory reached %d kB of %d MB, running: %v", peak, c.memoryMB, a.running())
			}
		})
	}
}

// Failure: the two processes of an upgrade took the memory limit each for itself. Under a crowd that moves from one to the other, what they
// hold together must stay below it, with the pages of the program counted once, as they are the same.
func TestBothProcessesOfAnUpgradeStayBelowTheMemoryLimit(t *testing.T) {
	const memoryMB, descriptors = 32, 1024
	endpoint := testkit.NewBackend(t, answerAtLength)
	addr, socket := inheritedListener(t)
	options := agentOptions{site: orderCore, memoryMB: memoryMB, descriptors: descriptors, listener: socket, tmp: t.TempDir()}
	old := startAgent(t, options, addr, endpoint.Addr().String())
	together := watchMemory(t, old)
	var strained sync.WaitGroup
	strained.Go(func() { strain(t, addr, orderCore, crowd.Mixed) })
	time.Sleep(crowdTime / 4)
	next := startAgent(t, options, addr, endpoint.Addr().String())
	together.add(next)
	old.terminate()
	strained.Wait()
	peak := together.stop()
	t.Logf("%d kB at most in both processes", peak)
	if !next.running() || peak > memoryMB<<10 {
		t.Errorf("the processes held %d kB of %d MB, the new one runs: %v", peak, memoryMB, next.running())
	}
}

// memoryWatch samples what processes hold together.
type memoryWatch struct {
	mu        sync.Mutex
	processes []*agentProcess
	peakKB    int
	end       chan struct{}
	ended     sync.WaitGroup
}

// memorySampleInterval is the time between two samples of a memoryWatch.
const memorySampleInterval = 10 * time.Millisecond

// watchMemory samples until stop is called.
func watchMemory(t *testing.T, processes ...*agentProcess) *memoryWatch {
	w := &memoryWatch{processes: processes, end: make(chan struct{})}
	w.ended.Go(func() {
		for {
			select {
			case <-time.After(memorySampleInterval):
				w.sample()
			case <-w.end:
				return
			case <-t.Context().Done():
				return
			}
		}
	})
	return w
}

func (w *memoryWatch) add(a *agentProcess) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.processes = append(w.processes, a)
}

// sample adds up the private memory of all processes and the largest share of the program's file.
func (w *memoryWatch) sample() {
	w.mu.Lock()
	defer w.mu.Unlock()
	private, file := 0, 0
	for _, a := range w.processes {
		private += a.memoryKB("RssAnon")
		file = max(file, a.memoryKB("RssFile"))
	}
	w.peakKB = max(w.peakKB, private+file)
}

// stop ends the sampling and returns the highest sum, in kB.
func (w *memoryWatch) stop() int {
	close(w.end)
	w.ended.Wait()
	return w.peakKB
}
