package peer

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"
)

// A test whose script was not followed must not pass for one whose agent behaved: the step that failed is reported, and the end of
// a script is no failure.
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
		t.Errorf("%v", err)
	}
	if p.Conns() != 2 {
		t.Errorf("%d connections", p.Conns())
	}
}
