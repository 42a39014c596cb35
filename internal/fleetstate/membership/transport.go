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

// transport is memberlist's network transport with two additions. It counts what is sent, and it opens streams from the IP address from
// which packets are sent, so that peers and relays see a single address for an agent.
type transport struct {
	*memberlist.NetTransport
	ip           net.IP
	bytesSent    atomic.Int64
	packetsSent  atomic.Int64
	streams      context.Context // when it ends, the streams that this agent opened are closed
	closeStreams context.CancelFunc
}

// listen opens the sockets for packets and streams on one port; 0 selects a free one.
func listen(host string, port int, logger *log.Logger) (*transport, error) {
	sockets, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{BindAddrs: []string{host}, BindPort: port, Logger: logger})
	if err != nil {
		return nil, err
	}
	streams, closeStreams := context.WithCancel(context.Background())
	return &transport{NetTransport: sockets, ip: net.ParseIP(host), streams: streams, closeStreams: closeStreams}, nil
}

func (t *transport) port() int { return t.GetAutoBindPort() }

func (t *transport) addr() string { return net.JoinHostPort(t.ip.String(), strconv.Itoa(t.port())) }

// WriteTo sends a packet.
func (t *transport) WriteTo(packet []byte, addr string) (time.Time, error) {
	return t.WriteToAddress(packet, memberlist.Address{Addr: addr})
}

// WriteToAddress sends a packet.
func (t *transport) WriteToAddress(packet []byte, addr memberlist.Address) (time.Time, error) {
	t.bytesSent.Add(int64(len(packet)))
	t.packetsSent.Add(1)
	return t.NetTransport.WriteToAddress(packet, addr)
}

// DialTimeout opens a stream.
func (t *transport) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	return t.DialAddressTimeout(memberlist.Address{Addr: addr}, timeout)
}

// DialAddressTimeout opens a stream. The stream is closed when the streams context of the transport ends.
func (t *transport) DialAddressTimeout(addr memberlist.Address, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout}
	if !t.ip.IsUnspecified() {
		dialer.LocalAddr = &net.TCPAddr{IP: t.ip}
	}
	conn, err := dialer.DialContext(t.streams, "tcp", addr.Addr)
	if err != nil {
		return nil, err
	}
	stopWatching := context.AfterFunc(t.streams, func() { conn.Close() })
	return stream{conn, &t.bytesSent, stopWatching}, nil
}

// Shutdown closes the listeners and the streams that this agent opened.
func (t *transport) Shutdown() error {
	t.closeStreams()
	return t.NetTransport.Shutdown()
}

// stream is a connection that counts the bytes sent on it.
type stream struct {
	net.Conn
	bytesSent    *atomic.Int64
	stopWatching func() bool // stops waiting for the end of the streams context
}

// Close closes the connection.
func (s stream) Close() error {
	s.stopWatching()
	return s.Conn.Close()
}

// Write sends bytes and counts them.
func (s stream) Write(data []byte) (int, error) {
	n, err := s.Conn.Write(data)
	s.bytesSent.Add(int64(n))
	return n, err
}
