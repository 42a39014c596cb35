package connlimit

import (
	"bufio"
	"io"
	"testing"
	"time"

	"ryeweir/internal/testkit"
)

// Bytes that follow a request, in pieces of any size, are later read as the next requests: completely and in order.
func TestReadAheadKeepsPipelinedRequestsInOrder(t *testing.T) {
	s := newBlockingServer(t)
	c := dial(t, s.l)
	in := bufio.NewReader(c)
	io.WriteString(c, get("/a"))
	<-s.started
	for _, piece := range []string{get("/b")[:1], get("/b")[1:5], get("/b")[5:] + get("/c")} {
		io.WriteString(c, piece)
	}
	for _, want := range []string{"/a", "/b", "/c"} {
		select {
		case s.release <- struct{}{}:
		case <-time.After(testTimeout):
			t.Fatalf("no handler is waiting for the release of the request for %s", want)
		}
		wantAnswer(t, in, want)
		if want == "/c" {
			break
		}
		receive(t, "a request follows "+want, s.started)
	}
}

// A client floods the connection after its request. Only a limited number of bytes is kept, the rest is discarded, the request is answered, and
// nothing that was sent behind it is taken for a request: the connection ends after the answer.
func TestReadAheadIsBounded(t *testing.T) {
	s := newBlockingServer(t)
	c := dial(t, s.l)
	io.WriteString(c, get("/a"))
	<-s.started
	if n, err := io.CopyN(c, zeros{}, 64*maxReadAhead); err != nil {
		t.Fatalf("only %d bytes were read behind the request: %v", n, err)
	}
	testkit.Eventually(t, "bytes are discarded", func() bool {
		return s.l.anyConn(func(c *Conn) bool {
			if len(c.readAhead.buffered) > maxReadAhead {
				t.Errorf("%d bytes are kept", len(c.readAhead.buffered))
			}
			return c.readAhead.overrun
		})
	})
	s.release <- struct{}{}
	in := bufio.NewReader(c)
	wantAnswer(t, in, "/a")
	c.SetReadDeadline(time.Now().Add(testTimeout))
	if n, err := in.Read(make([]byte, 1)); err == nil || timedOut(err) {
		t.Errorf("%d bytes after the answer, %v", n, err)
	}
}
