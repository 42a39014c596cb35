package faultshim

import (
	"errors"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// connect returns both ends of a connection, each of which injects the machine's faults: the end that an agent accepts and the end that it
// dials.
func connect(t *testing.T, m *Machine) (accepted, dialed net.Conn) {
	t.Helper()
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { raw.Close() })
	l := m.Listen(raw)
	dialed, err = m.Dial("127.9.9.9")(t.Context(), "tcp", raw.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if accepted, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { accepted.Close(); dialed.Close() })
	return accepted, dialed
}

// Calls must fail exactly as often, and with the errors, that commands say, and succeed after that, because the soak excuses what these
// faults explain. A malformed or unknown command must return an error, or the soak would run without its fault.
func TestCallsFailAsOftenAsCommanded(t *testing.T) {
	m := New(1)
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer raw.Close()
	m.Run(strings.NewReader("accept ENOBUFS 2\nconnect EMFILE 1\n"), func(line string, err error) { t.Error(line, err) })
	l := m.Listen(raw)
	for range 2 {
		if _, err := l.Accept(); !errors.Is(err, syscall.ENOBUFS) {
			t.Error(err)
		}
	}
	if _, err := m.Dial("")(t.Context(), "tcp", raw.Addr().String()); !errors.Is(err, syscall.EMFILE) {
		t.Error(err)
	}
	accepted, dialed := connect(t, m)
	for point, conn := range map[string]net.Conn{"clientread": accepted, "serverread": dialed} {
		if err := m.Execute(point + " ETIMEDOUT 1"); err != nil {
			t.Fatal(err)
		}
		if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, syscall.ETIMEDOUT) {
			t.Errorf("%s: %v", point, err)
		}
	}
	_, dialed = connect(t, m)
	m.Execute("serverwrite EPIPE 1")
	if _, err := dialed.Write([]byte("x")); !errors.Is(err, syscall.EPIPE) {
		t.Error(err)
	}
	for _, wrong := range []string{"accept", "accept ENONE", "fly away", "clock soon", "hold 1s many", "plant duplicate"} {
		if m.Execute(wrong) == nil {
			t.Errorf("command %q returned no error", wrong)
		}
	}
}

// The clock command must step the machine's wall clock, which timers do not use. hold must delay a write by at least its time, and that
// write must still succeed. During shortread each read must return from 1 to maxShortRead bytes without an error.
func TestClockStepsWritesAreHeldAndReadsAreShort(t *testing.T) {
	m := New(1)
	m.Execute("clock -1h")
	if got := time.Until(m.Now()); got > -59*time.Minute {
		t.Errorf("the clock is off by %v, not by -1h", got)
	}
	m.Execute("hold 60ms 1")
	accepted, dialed := connect(t, m)
	for _, least := range []time.Duration{60 * time.Millisecond, 0} {
		before := time.Now()
		dialed.Write([]byte("x"))
		if took := time.Since(before); took < least {
			t.Errorf("the write took %v, less than %v", took, least)
		}
	}
	m.Execute("shortread 1m")
	dialed.Write(make([]byte, 10*maxShortRead))
	for range 8 {
		if n, err := accepted.Read(make([]byte, 9*maxShortRead)); n < 1 || n > maxShortRead || err != nil {
			t.Errorf("%d bytes, %v", n, err)
		}
	}
}

// A write to a full disk must leave the file unchanged, or the agent would lose its persisted state. After "disk ok" the file must be
// replaced again.
func TestFailingDiskLeavesFileAsItWas(t *testing.T) {
	m := New(1)
	path := filepath.Join(t.TempDir(), "file")
	if err := m.Replace(path, []byte("first")); err != nil {
		t.Fatal(err)
	}
	m.Execute("disk ENOSPC")
	if err := m.Replace(path, []byte("second")); !errors.Is(err, syscall.ENOSPC) {
		t.Error(err)
	}
	if text, _ := os.ReadFile(path); string(text) != "first" {
		t.Errorf("%q", text)
	}
	m.Execute("disk ok")
	m.Replace(path, []byte("third"))
	if text, _ := os.ReadFile(path); string(text) != "third" {
		t.Errorf("%q", text)
	}
}

// Planted faults test that the soak notices bugs of the agent, so they must really occur. Of those faults the test covers two: a changed
// response, and a request that is sent twice.
func TestPlantedFaultsOccur(t *testing.T) {
	m := New(1)
	accepted, dialed := connect(t, m)
	m.Execute("plant wrong 1")
	io.WriteString(accepted, "answer")
	buf := make([]byte, 6)
	if io.ReadFull(dialed, buf); string(buf) == "answer" {
		t.Error("the response is unchanged")
	}
	m.Execute("plant duplicate 1")
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer raw.Close()
	c, err := m.Dial("")(t.Context(), "tcp", raw.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	io.WriteString(c, "request")
	for range 2 {
		got, err := raw.Accept()
		if err != nil {
			t.Fatal(err)
		}
		text := make([]byte, 7)
		if io.ReadFull(got, text); string(text) != "request" {
			t.Errorf("%q", text)
		}
		got.Close()
	}
}
