package link

import (
	"io"
	"net"
	"testing"
	"time"
)

// A partition may have one direction only. Datagrams and streams pass by the conditions from their sender: with one direction
// cut, the other must still pass.
func TestMeshShapesEachDirectionByItsSender(t *testing.T) {
	m := NewMesh(1)
	defer m.Close()
	type host struct {
		packets net.PacketConn
		streams net.Listener
		front   string
	}
	hosts := map[string]host{}
	for name, ip := range map[string]string{"a": "127.0.91.1", "b": "127.0.91.2"} {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		p, err := net.ListenPacket("udp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer p.Close()
		front, err := m.Add(name, ip, l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		hosts[name] = host{p, l, front}
	}
	send := func(from, to string) bool {
		t.Helper()
		addr, err := net.ResolveUDPAddr("udp", hosts[to].front)
		if err != nil {
			t.Fatal(err)
		}
		before := m.Counts()
		if _, err := hosts[from].packets.WriteTo([]byte(from), addr); err != nil {
			t.Fatal(err)
		}
		for { // until it is lost or passed on
			if c := m.Counts(); c.Lost > before.Lost {
				return false
			} else if c.Packets > before.Packets {
				break
			}
			time.Sleep(time.Millisecond)
		}
		buf := make([]byte, 10)
		hosts[to].packets.SetReadDeadline(time.Now().Add(10 * time.Second))
		n, _, err := hosts[to].packets.ReadFrom(buf)
		if err != nil || string(buf[:n]) != from {
			t.Fatalf("%q, %v", buf[:n], err)
		}
		return true
	}
	if !send("a", "b") || !send("b", "a") {
		t.Fatal("datagrams are lost without a fault")
	}
	m.Set("a", "b", Conditions{Cut: true})
	if send("a", "b") || !send("b", "a") {
		t.Error("a cut one way")
	}
	m.Set("a", "b", Conditions{})

	// A stream from a to b whose direction from b is cut: a receives nothing until the cut is over.
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP("127.0.91.1")}}
	c, err := d.Dial("tcp", hosts["b"].front)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	s, err := hosts["b"].streams.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	m.Set("b", "a", Conditions{Cut: true})
	io.WriteString(c, "x")
	buf := make([]byte, 1)
	if _, err := io.ReadFull(s, buf); err != nil {
		t.Fatal(err)
	}
	io.WriteString(s, "y")
	c.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	if _, err := c.Read(buf); err == nil {
		t.Error("an answer through a cut")
	}
	m.Set("b", "a", Conditions{})
	c.SetReadDeadline(time.Now().Add(10 * time.Second))
	if _, err := io.ReadFull(c, buf); err != nil || buf[0] != 'y' {
		t.Errorf("after the cut: %q, %v", buf, err)
	}
}
