package handover

import (
	"io"
	"net"
	"strconv"
	"testing"
	"time"
)

func env(fd string) func(string) string {
	return func(name string) string {
		if name == "PROXY_ACCEPT_FD" {
			return fd
		}
		return ""
	}
}

// Two processes accept from one inherited socket. When the one lets go of it, what comes is accepted by the other.
func TestInheritedSocketOutlivesAProcess(t *testing.T) {
	held, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer held.Close()
	inherit := func() net.Listener {
		t.Helper()
		file, err := held.(*net.TCPListener).File()
		if err != nil {
			t.Fatal(err)
		}
		l, inherited, err := Listen(env(strconv.Itoa(int(file.Fd()))), "127.0.0.1:1")
		if err != nil || !inherited {
			t.Fatal(inherited, err)
		}
		return l
	}
	old, fresh := inherit(), inherit()
	defer fresh.Close()
	old.Close()
	c, err := net.Dial("tcp", held.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	near, err := fresh.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer near.Close()
	io.WriteString(c, "x")
	if n, err := near.Read(make([]byte, 1)); n != 1 {
		t.Error(err)
	}
}

func TestBindsWithoutOne(t *testing.T) {
	l, inherited, err := Listen(env(""), "127.0.0.1:0")
	if err != nil || inherited {
		t.Fatal(inherited, err)
	}
	l.Close()
}

// A descriptor that is none, or no socket, is an error in words and no crash.
func TestBadDescriptor(t *testing.T) {
	for _, fd := range []string{"x", "-1", "99999999", "65000"} {
		if l, _, err := Listen(env(fd), "127.0.0.1:0"); err == nil {
			l.Close()
			t.Errorf("%q gives a listener", fd)
		}
	}
}

// A socket that can't be had for a moment, or an address that the process before still holds, keeps no agent from starting: it is tried
// again for a while. What never comes is an error that says why.
func TestListensOnceItCan(t *testing.T) {
	holder, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := holder.Addr().String()
	none := func(string) string { return "" }
	time.AfterFunc(300*time.Millisecond, func() { holder.Close() })
	l, _, err := Listen(none, addr)
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	began := time.Now()
	if l, _, err := Listen(none, "127.0.0.1:no-port"); err == nil {
		l.Close()
		t.Error("it listens nowhere")
	}
	if took := time.Since(began); took > time.Second { // no system call has failed: there is nothing to wait for
		t.Errorf("it took %v to say so", took)
	}
}
