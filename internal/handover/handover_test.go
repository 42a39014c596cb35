package handover

import (
	"io"
	"net"
	"strconv"
	"testing"
	"time"
)

// environment returns a getenv function that reports the given descriptor number, or no inherited socket if fd is empty.
func environment(fd string) func(string) string {
	return func(name string) string {
		if name == descriptorEnv {
			return fd
		}
		return ""
	}
}

// Two processes accept from one inherited socket. After the old one has closed it, the new one accepts new connections.
func TestInheritedSocketOutlivesAProcess(t *testing.T) {
	platformSocket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer platformSocket.Close()
	inherit := func() net.Listener {
		t.Helper()
		file, err := platformSocket.(*net.TCPListener).File()
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
	client, err := net.Dial("tcp", platformSocket.Addr().String())
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

// Without an inherited socket the agent opens its own.
func TestListensOnTheAddressWithoutAnInheritedSocket(t *testing.T) {
	l, inherited, err := Listen(environment(""), "127.0.0.1:0")
	if err != nil || inherited {
		t.Fatal(inherited, err)
	}
	l.Close()
}

// An invalid descriptor, or one that is not a socket, causes an error rather than a crash.
func TestUnusableDescriptorIsAnError(t *testing.T) {
	for _, fd := range []string{"x", "-1", "99999999", "65000"} {
		if l, _, err := Listen(environment(fd), "127.0.0.1:0"); err == nil {
			l.Close()
			t.Errorf("descriptor %q: got a listener, want an error", fd)
		}
	}
}

// The previous process may hold the address for a moment, so the agent tries again until it can listen. An address that can't be
// parsed causes an error at once, because trying again would not help.
func TestListenIsRetriedWhileTheAddressIsInUse(t *testing.T) {
	holder, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := holder.Addr().String()
	noEnv := func(string) string { return "" }
	time.AfterFunc(300*time.Millisecond, func() { holder.Close() })
	l, _, err := Listen(noEnv, addr)
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	started := time.Now()
	if l, _, err := Listen(noEnv, "127.0.0.1:no-port"); err == nil {
		l.Close()
		t.Error("no error for an address with an invalid port")
	}
	if took := time.Since(started); took > time.Second {
		t.Errorf("the error was returned after %v, want at most 1 s", took)
	}
}
