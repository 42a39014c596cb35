package handover

import (
	"io"
	"net"
	"strconv"
	"testing"
	"time"
)

// environment is one that names a descriptor; an empty one for none.
func environment(fd string) func(string) string {
	return func(name string) string {
		if name == descriptorEnv {
			return fd
		}
		return ""
	}
}

// Two processes accept from one inherited socket. When the old one closes it, what comes is accepted by the new one.
func TestInheritedSocketOutlivesAProcess(t *testing.T) {
	platform, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer platform.Close()
	inherit := func() net.Listener {
		t.Helper()
		file, err := platform.(*net.TCPListener).File()
		if err != nil {
			t.Fatal(err)
		}
		l, inherited, err := Listen(environment(strconv.Itoa(int(file.Fd()))), "127.0.0.1:1")
		if err != nil || !inherited {
			t.Fatal(inherited, err)
		}
		return l
	}
	old, next := inherit(), inherit()
	defer next.Close()
	old.Close()
	client, err := net.Dial("tcp", platform.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	accepted, err := next.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer accepted.Close()
	io.WriteString(client, "x")
	if n, err := accepted.Read(make([]byte, 1)); n != 1 {
		t.Error(err)
	}
}

// Without a socket in the environment the agent binds one of its own.
func TestListensOnTheAddressWithoutAnInheritedSocket(t *testing.T) {
	l, inherited, err := Listen(environment(""), "127.0.0.1:0")
	if err != nil || inherited {
		t.Fatal(inherited, err)
	}
	l.Close()
}

// A descriptor that is none, or no socket, is an error and no crash.
func TestUnusableDescriptorIsAnError(t *testing.T) {
	for _, fd := range []string{"x", "-1", "99999999", "65000"} {
		if l, _, err := Listen(environment(fd), "127.0.0.1:0"); err == nil {
			l.Close()
			t.Errorf("%q gives a listener", fd)
		}
	}
}

// The process before still holds the address for a moment. The agent retries and starts. An address that can't be parsed is an error
// at once: there is nothing to wait for.
func TestListenIsRetriedWhileTheAddressIsInUse(t *testing.T) {
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
	started := time.Now()
	if l, _, err := Listen(none, "127.0.0.1:no-port"); err == nil {
		l.Close()
		t.Error("no error for an address without a port")
	}
	if took := time.Since(started); took > time.Second {
		t.Errorf("the error took %v", took)
	}
}
