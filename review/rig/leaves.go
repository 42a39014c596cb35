package main

import (
	"bytes"
	"io"
	"net"
	"syscall"
	"time"
)

func init() { cases["leaves"] = leaves }

// silentAddr returns the address of a listener to which no further connection comes up: its queue is full and nobody accepts.
func (r *rig) silentAddr() string {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		cannot("%v", err)
	}
	r.atEnd(func() { syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		cannot("%v", err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		cannot("%v", err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		cannot("%v", err)
	}
	addr := (&net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: name.(*syscall.SockaddrInet4).Port}).String()
	for range 8 {
		c, err := net.DialTimeout("tcp", addr, 100*time.Millisecond)
		if err != nil {
			return addr
		}
		r.atEnd(func() { c.Close() })
	}
	cannot("the queue of a listener does not fill")
	return ""
}

// leaves: connections to two of six order nodes do not come up. Clients send long orders and close their connections right after the last
// byte. No attempt may begin over 0.1 s after the close.
func leaves(r *rig) int {
	const (
		clients = 40
		size    = 100_000
		bound   = 150 * time.Millisecond // 0.1 s and 50 ms
	)
	nodes := r.startNodes(6, func(s *node, c net.Conn, call *call) bool {
		return respond(c, "200 OK", "", []byte("accepted "+call.id))
	})
	list := entries(nodes)
	if r.trouble {
		for i := range 2 {
			list[i].Addr = r.silentAddr()
			r.logf("%s: no connection comes up", list[i].ID)
		}
	}
	d := r.startDiscovery(list)
	a := r.startAgent(d.addr, d.known(), otherSettings)
	closed := map[string]time.Time{}
	for range clients {
		id := newID()
		c := r.dial(a.addr)
		io.WriteString(c, headFor("seat-accept", "delta-univ", id, 3*time.Second, size))
		c.Write(bytes.Repeat([]byte("s"), size))
		c.Close()
		closed[id] = time.Now()
		r.logf("client: id %s: sent %d bytes and closed", id, size)
		time.Sleep(250 * time.Millisecond)
	}
	time.Sleep(4 * time.Second)
	late := 0
	for _, s := range nodes {
		s.mu.Lock()
		for _, call := range s.calls {
			if after := call.first.Sub(closed[call.id]); after > bound {
				late++
				r.logf("BROKEN: %s: id %s: a whole request, begun %v after its client had closed", s.ID, call.id, after)
			}
		}
		s.mu.Unlock()
	}
	r.logf("figures: %s", a.metrics())
	return verdict(late)
}
