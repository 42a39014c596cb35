package peer

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"
)

// A test must be able to detect that a script was not executed as written: Err must report the step that failed. The regular end of
// a script is not a failure.
func TestFailedStepIsReported(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := New(l, []Step{Bytes("hello"), Send("hi"), Close()}, []Step{Bytes("hello"), Bytes("again")})
	for _, text := range []string{"hello", "helloAGAIN"} {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		c.SetDeadline(time.Now().Add(10 * time.Second))
		io.WriteString(c, text)
		io.Copy(io.Discard, c)
		c.Close()
	}
	p.Close()
	var failed *StepError
	if err := p.Err(); !errors.As(err, &failed) || failed.Conn != 1 || failed.Step != 1 {
		t.Errorf("got error %v, want a StepError of connection 1, step 1", err)
	}
	if p.Conns() != 2 {
		t.Errorf("%d connections, want 2", p.Conns())
	}
}
