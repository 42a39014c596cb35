package membership

import (
	"fmt"
	"log/slog"
	"net"
	"strconv"
	"time"

	"github.com/hashicorp/memberlist"

	"ryeweir/internal/budget"
	"ryeweir/internal/fleetstate"
)

// Handler receives what peers send. Its methods are called from several goroutines, also before Start returns, and must not block.
type Handler interface {
	// MergeFacts merges facts and returns those that were new, to be forwarded.
	MergeFacts(facts []fleetstate.Fact) (accepted []fleetstate.Fact)
	// Facts returns all facts of the replica.
	Facts() []fleetstate.Fact
	// UpdatePeerState receives a peer's budget state with the peer's sequence number, because packets may arrive out of order.
	UpdatePeerState(from string, sequence uint64, state budget.PeerState)
}

// Config configures a Member. Each address is an IP address with a port.
type Config struct {
	Name          string   // of the agent, unique in the fleet
	Bind          string   // for packets and streams; port 0 for any free one
	Advertise     string   // address that peers use; empty for that of Bind
	Seeds         []string // addresses of some peers, for joining and rejoining
	Label         string   // of the fleet; messages with another label are ignored
	EncryptionKey []byte   // 16, 24 or 32 bytes; nil for no encryption
	Timing        Timing
	Handler       Handler
	Logger        *slog.Logger
}

// Timing configures intervals and time-outs. See DefaultTiming.
type Timing struct {
	ProbeInterval    time.Duration // between probes of a random peer
	ProbeTimeout     time.Duration // for a peer's answer, before other peers are asked to probe it
	GossipInterval   time.Duration // between packets of new facts to GossipFanout peers
	GossipFanout     int
	PushPullInterval time.Duration // between exchanges of the whole replica with one random peer
	RejoinInterval   time.Duration // between attempts to reach a failed peer or a seed
	FailedPeerTTL    time.Duration // after which a failed peer is no longer tried
}

// DefaultTiming returns a timing that detects a failed peer within about 3 s in a fleet of 50.
func DefaultTiming() Timing {
	return Timing{
		ProbeInterval:    500 * time.Millisecond,
		ProbeTimeout:     200 * time.Millisecond,
		GossipInterval:   50 * time.Millisecond,
		GossipFanout:     3,
		PushPullInterval: 3 * time.Second,
		RejoinInterval:   time.Second,
		FailedPeerTTL:    10 * time.Minute,
	}
}

const (
	suspicionMult  = 3 // memberlist's SuspicionMult
	retransmitMult = 4 // memberlist's RetransmitMult
	streamTimeout  = 2 * time.Second
	packetBytes    = 1400
)

// memberlistConfig returns memberlist's configuration, without its delegates.
func (c Config) memberlistConfig(transport *transport, bindHost string) (*memberlist.Config, error) {
	list := memberlist.DefaultLANConfig()
	list.Name = c.Name
	list.Label = c.Label
	list.SecretKey = c.EncryptionKey
	list.Transport = transport
	list.BindAddr, list.BindPort = bindHost, transport.port()
	list.AdvertiseAddr, list.AdvertisePort = bindHost, transport.port()
	if c.Advertise != "" {
		var err error
		if list.AdvertiseAddr, list.AdvertisePort, err = splitAddr(c.Advertise); err != nil {
			return nil, fmt.Errorf("advertise: %w", err)
		}
	}
	list.ProbeInterval, list.ProbeTimeout = c.Timing.ProbeInterval, c.Timing.ProbeTimeout
	list.GossipInterval, list.GossipNodes = c.Timing.GossipInterval, c.Timing.GossipFanout
	list.PushPullInterval = c.Timing.PushPullInterval
	list.TCPTimeout = streamTimeout
	list.SuspicionMult, list.RetransmitMult = suspicionMult, retransmitMult
	list.UDPBufferSize = packetBytes
	list.EnableCompression = false // a fact is shorter than the overhead of compression
	return list, nil
}

// splitAddr splits an address into its IP address and port.
func splitAddr(addr string) (host string, port int, err error) {
	host, text, err := net.SplitHostPort(addr)
	if err != nil {
		return "", 0, err
	}
	if net.ParseIP(host) == nil {
		return "", 0, fmt.Errorf("%q is not an IP address", host)
	}
	port, err = strconv.Atoi(text)
	if err != nil || port < 0 || port > 65535 {
		return "", 0, fmt.Errorf("%q is not a port number", text)
	}
	return host, port, nil
}
