package connlimit

import (
	"bufio"
	"io"
	"net/http"
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

// A client floods the connection after its request. Only a limited number of bytes is read ahead, and the request is answered.
func TestReadAheadIsBounded(t *testing.T) {
	s := newBlockingServer(t)
	c := dial(t, s.l)
	io.WriteString(c, get("/a"))
	<-s.started
	flooding := make(chan struct{})
	go func() { defer close(flooding); io.CopyN(c, zeros{}, 64*maxReadAhead) }()
	testkit.Eventually(t, "the read-ahead limit is reached", func() bool {
		return s.l.anyConn(func(c *Conn) bool {
			select {
			case <-c.readAhead.done:
				return len(c.readAhead.buffered) == maxReadAhead
			default:
				return false
			}
		})
	})
	s.release <- struct{}{}
	if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || resp.StatusCode != http.StatusOK {
		t.Error(resp, err)
	}
	c.Close()
	<-flooding
}
