package link

import (
	"io"
	"net"
	"testing"
	"time"
)

// meshHost is a host behind a mesh.
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

// sendDatagram sends a datagram through a mesh and waits until it has arrived; false when the mesh lost it.
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
	for { // until it is lost or passed on
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
		t.Fatalf("%q, %v", buf[:n], err)
	}
	return true
}

// A partition may have one direction only. Datagrams pass by the conditions from their sender: with one direction cut, the other
// must still pass.
func TestMeshShapesDatagramsByTheirSender(t *testing.T) {
	m := NewMesh(1)
	defer m.Close()
	a, b := addHost(t, m, "a", "127.0.91.1"), addHost(t, m, "b", "127.0.91.2")
	if !sendDatagram(t, m, a, b) || !sendDatagram(t, m, b, a) {
		t.Fatal("datagrams are lost without a fault")
	}
	m.Set("a", "b", Conditions{Cut: true})
	if sendDatagram(t, m, a, b) || !sendDatagram(t, m, b, a) {
		t.Error("a cut of one direction")
	}
}

// A stream from a to b whose direction from b is cut: b gets what a sends, and a gets nothing until the cut is over.
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
		t.Error("a response through a cut")
	}
	m.Set("b", "a", Conditions{})
	c.SetReadDeadline(time.Now().Add(10 * time.Second))
	if _, err := io.ReadFull(c, buf); err != nil || buf[0] != 'y' {
		t.Errorf("after the cut: %q, %v", buf, err)
	}
}
