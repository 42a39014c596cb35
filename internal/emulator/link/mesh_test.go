package link

import (
	"io"
	"net"
	"testing"
	"time"
)

// meshHost is a host of a mesh with its sockets.
type meshHost struct {
	ip      string
	packets net.PacketConn
	streams net.Listener
	front   string
}

func addHost(t *testing.T, m *Mesh, name, ip string) meshHost {
	t.Helper()
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	p, err := net.ListenPacket("udp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { p.Close() })
	front, err := m.Add(name, ip, l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	return meshHost{ip, p, l, front}
}

// sendDatagram sends a datagram through a mesh and waits until it has arrived. It returns false if the mesh lost it.
func sendDatagram(t *testing.T, m *Mesh, from, to meshHost) bool {
	t.Helper()
	addr, err := net.ResolveUDPAddr("udp", to.front)
	if err != nil {
		t.Fatal(err)
	}
	before := m.Counts()
	if _, err := from.packets.WriteTo([]byte(from.ip), addr); err != nil {
		t.Fatal(err)
	}
	for { // until the mesh has lost or forwarded it
		if c := m.Counts(); c.Lost > before.Lost {
			return false
		} else if c.Packets > before.Packets {
			break
		}
		time.Sleep(time.Millisecond)
	}
	buf := make([]byte, 20)
	to.packets.SetReadDeadline(time.Now().Add(10 * time.Second))
	n, _, err := to.packets.ReadFrom(buf)
	if err != nil || string(buf[:n]) != from.ip {
		t.Fatalf("read %q, %v, want %q", buf[:n], err, from.ip)
	}
	return true
}

// The conditions of a datagram are those of the direction from its sender: if one direction is cut, the other must still pass.
func TestMeshShapesDatagramsByTheirSender(t *testing.T) {
	m := NewMesh(1)
	defer m.Close()
	a, b := addHost(t, m, "a", "127.0.91.1"), addHost(t, m, "b", "127.0.91.2")
	if !sendDatagram(t, m, a, b) || !sendDatagram(t, m, b, a) {
		t.Fatal("a datagram was lost without a fault")
	}
	m.Set("a", "b", Conditions{Cut: true})
	if sendDatagram(t, m, a, b) || !sendDatagram(t, m, b, a) {
		t.Error("with a to b cut, a datagram from a to b arrived or one from b to a was lost")
	}
}

// On a stream from a to b whose direction from b is cut, b receives what a sends, and a receives nothing until the cut is over.
func TestMeshCutsOneDirectionOfStream(t *testing.T) {
	m := NewMesh(1)
	defer m.Close()
	a, b := addHost(t, m, "a", "127.0.91.1"), addHost(t, m, "b", "127.0.91.2")
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(a.ip)}}
	c, err := d.Dial("tcp", b.front)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	s, err := b.streams.Accept()
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
		t.Error("a read during the cut succeeded")
	}
	m.Set("b", "a", Conditions{})
	c.SetReadDeadline(time.Now().Add(10 * time.Second))
	if _, err := io.ReadFull(c, buf); err != nil || buf[0] != 'y' {
		t.Errorf("after the cut: read %q, %v, want \"y\"", buf, err)
	}
}
