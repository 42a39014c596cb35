package http

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"ryeweir/internal/testkit"
)

// Guards against a response that is given up although it arrived in time: the process was held up, and the deadline passed before anybody had read it.
func TestWhatHasArrivedIsReadAfterTheDeadline(t *testing.T) {
	t.Parallel()
	listener := testkit.Listen(t)
	endpoint := make(chan net.Conn, 1)
	go func() {
		conn, _ := listener.Accept()
		endpoint <- conn
	}()
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	reader := &deadlineReader{conn: conn}
	reader.start(func(time.Time) time.Time { return time.Now().Add(-time.Second) }, func() {})
	if reader.responseBegun() {
		t.Error("a response has begun of which nothing was sent")
	}
	buffer := make([]byte, 10)
	other := <-endpoint
	defer other.Close()
	io.WriteString(other, "HTTP")
	testkit.Eventually(t, "the response has begun", reader.responseBegun)
	if n, err := reader.Read(buffer); string(buffer[:n]) != "HTTP" || err != nil {
		t.Errorf("read %q, error %v", buffer[:n], err)
	}
	if _, err := reader.Read(buffer); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("error %v of a read that nothing arrived for", err)
	}
}
