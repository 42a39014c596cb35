package membership

import (
	"context"
	"log"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
)

// transport is memberlist's on sockets, with two things added: it counts what goes out, and streams leave from the address
// that packets leave from, so that all that an agent says comes from one.
type transport struct {
	*memberlist.NetTransport
	ip             net.IP
	bytes, packets atomic.Int64
	streams        context.Context // those that we opened end with it: memberlist's own calls heed no context
	endStreams     context.CancelFunc
}

// listen binds packets and streams to one port; 0 is any free one.
func listen(host string, port int, logger *log.Logger) (*transport, error) {
	t, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{BindAddrs: []string{host}, BindPort: port, Logger: logger})
	if err != nil {
		return nil, err
	}
	streams, end := context.WithCancel(context.Background())
	return &transport{NetTransport: t, ip: net.ParseIP(host), streams: streams, endStreams: end}, nil
}

func (t *transport) port() int { return t.GetAutoBindPort() }

func (t *transport) addr() string { return net.JoinHostPort(t.ip.String(), strconv.Itoa(t.port())) }

// WriteTo sends a packet.
func (t *transport) WriteTo(b []byte, addr string) (time.Time, error) {
	return t.WriteToAddress(b, memberlist.Address{Addr: addr})
}

// WriteToAddress sends a packet.
func (t *transport) WriteToAddress(b []byte, addr memberlist.Address) (time.Time, error) {
	t.bytes.Add(int64(len(b)))
	t.packets.Add(1)
	return t.NetTransport.WriteToAddress(b, addr)
}

// DialTimeout opens a stream.
func (t *transport) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	return t.DialAddressTimeout(memberlist.Address{Addr: addr}, timeout)
}

// DialAddressTimeout opens a stream.
func (t *transport) DialAddressTimeout(addr memberlist.Address, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout}
	if !t.ip.IsUnspecified() {
		d.LocalAddr = &net.TCPAddr{IP: t.ip}
	}
	c, err := d.DialContext(t.streams, "tcp", addr.Addr)
	if err != nil {
		return nil, err
	}
	return stream{c, &t.bytes, context.AfterFunc(t.streams, func() { c.Close() })}, nil
}

// Shutdown ends what listens and the streams that we opened.
func (t *transport) Shutdown() error {
	t.endStreams()
	return t.NetTransport.Shutdown()
}

type stream struct {
	net.Conn
	bytes   *atomic.Int64
	unwatch func() bool
}

func (c stream) Close() error {
	c.unwatch()
	return c.Conn.Close()
}

func (c stream) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}
