// Package membership is an agent's place among its peers: it finds the other agents, notices which have left, failed or come back,
// and carries the replica's facts between them. Membership is memberlist's (SWIM with Lifeguard); what is here is the facts'
// way: a fresh one is told on by gossip, the whole replica is exchanged in turn with one peer after the other, and with each
// that comes back.
package membership

import (
	"context"
	"errors"
	"fmt"
	"log"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-msgpack/v2/codec"
	"github.com/hashicorp/memberlist"

	"ryeweir/internal/budget"
	"ryeweir/internal/fleetstate"
)

// Handler is who hears what peers tell. Its methods must not block, and are called by several goroutines.
type Handler interface {
	// Heard takes facts in and returns those that were new, to be told on.
	MergeFacts(facts []fleetstate.Fact) (fresh []fleetstate.Fact)
	// Whole is the whole replica.
	Facts() []fleetstate.Fact
	// Part is a peer's part of the fleet's level, and the peer's own count of the parts that it has sent.
	UpdatePeerState(from string, number uint64, p budget.PeerState)
}

// Config is what a Member works with.
type Config struct {
	Name          string   // the agent's, unique in the fleet
	Bind          string   // IP address and port, for packets and streams
	Advertise     string   // where the others reach it; empty: at Bind
	Seeds         []string // addresses of some others, to begin with and to come back by
	Label         string   // of the fleet: what is labelled otherwise is passed over
	EncryptionKey []byte   // 16, 24 or 32 bytes encrypt all that is told; nil for none
	Timing        Timing
	Handler       Handler
	Logger        *slog.Logger
}

// Timing is how often things are done. See DefaultTiming.
type Timing struct {
	ProbeInterval    time.Duration // a random peer is asked whether it is there
	ProbeTimeout     time.Duration // and has so long to answer before others ask it
	GossipInterval   time.Duration // fresh facts go to Fanout peers
	GossipFanout     int
	PushPullInterval time.Duration // the whole replica is exchanged with one peer
	RejoinInterval   time.Duration // one that was lost, or a seed, is tried again
	FailedPeerTTL    time.Duration // one that was lost is tried no more
}

// DefaultTiming notices a peer that fails within about 3 s in a fleet of 50.
func DefaultTiming() Timing {
	return Timing{ProbeInterval: 500 * time.Millisecond, ProbeTimeout: 200 * time.Millisecond, GossipInterval: 50 * time.Millisecond, GossipFanout: 3,
		PushPullInterval: 3 * time.Second, RejoinInterval: time.Second, FailedPeerTTL: 10 * time.Minute}
}

const (
	suspicionMult  = 3
	retransmitMult = 4
	streamTimeout  = 2 * time.Second
	leaveIn        = 500 * time.Millisecond
	mostQueued     = 2048 // facts that wait to be told on; the oldest go first
	mostLost       = 1024
	packetBytes    = 1400
	// mostWhole bounds a whole replica as it is read, bytes: that of the largest limits, with room.
	mostWhole = 4 << 20
)

// Member is one agent among its peers.
type Member struct {
	cfg   Config
	list  *memberlist.Memberlist
	queue memberlist.TransmitLimitedQueue
	net   *transport
	own   string // the address that the others are told
	parts atomic.Uint64

	mu    sync.Mutex
	rng   *rand.Rand
	there map[string]string // peers' addresses by name: memberlist's own nodes change under those who read them
	lost  map[string]lost   // by name: peers that were there and failed

	malformed, joins, failures, rejoined, dropped atomic.Int64
}

type lost struct {
	addr string
	at   time.Time
}

// message is what goes between peers besides memberlist's own.
type message struct {
	Facts  []fleetstate.Fact `codec:"f,omitempty"`
	From   string            `codec:"n,omitempty"`
	Number uint64            `codec:"i,omitempty"`
	Part   *budget.PeerState `codec:"p,omitempty"`
}

// Start listens and begins to answer peers; Run finds them.
func Start(cfg Config) (*Member, error) {
	host, port, err := split(cfg.Bind)
	if err != nil {
		return nil, fmt.Errorf("peers: bind: %w", err)
	}
	m := &Member{cfg: cfg, there: map[string]string{}, lost: map[string]lost{}, rng: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))}
	logger := log.New(logWriter{cfg.Logger}, "", 0)
	if m.net, err = listen(host, port, logger); err != nil {
		return nil, fmt.Errorf("peers: listening: %w", err)
	}
	set := memberlist.DefaultLANConfig()
	set.Name, set.Label, set.SecretKey = cfg.Name, cfg.Label, cfg.EncryptionKey
	set.Transport, set.BindAddr, set.BindPort, set.AdvertisePort = m.net, host, m.net.port(), m.net.port()
	set.AdvertiseAddr = host
	if cfg.Advertise != "" {
		if set.AdvertiseAddr, set.AdvertisePort, err = split(cfg.Advertise); err != nil {
			return nil, errors.Join(fmt.Errorf("peers: advertise: %w", err), m.net.Shutdown())
		}
	}
	m.own = net.JoinHostPort(set.AdvertiseAddr, strconv.Itoa(set.AdvertisePort))
	t := cfg.Timing
	set.ProbeInterval, set.ProbeTimeout, set.GossipInterval, set.GossipNodes = t.ProbeInterval, t.ProbeTimeout, t.GossipInterval, t.GossipFanout
	set.PushPullInterval, set.TCPTimeout, set.SuspicionMult, set.RetransmitMult = t.PushPullInterval, streamTimeout, suspicionMult, retransmitMult
	set.UDPBufferSize, set.Logger, set.Delegate, set.Events = packetBytes, logger, delegate{m}, events{m}
	set.EnableCompression = false // a fact is shorter than what compression adds
	m.queue.RetransmitMult = retransmitMult
	m.parts.Store(uint64(time.Now().UnixMilli()) << 16) // later than any that an earlier life of this agent sent
	// Peers are answered from within Create on, before m.list is set: nothing that they bring about may use it.
	m.queue.NumNodes = func() int { return int(max(1, m.joins.Load()-m.failures.Load())) }
	if m.list, err = memberlist.Create(set); err != nil {
		return nil, errors.Join(fmt.Errorf("peers: %w", err), m.net.Shutdown())
	}
	return m, nil
}

func split(addr string) (host string, port int, err error) {
	host, text, err := net.SplitHostPort(addr)
	if err != nil {
		return "", 0, err
	}
	if net.ParseIP(host) == nil {
		return "", 0, fmt.Errorf("%q is no IP address", host)
	}
	port, err = strconv.Atoi(text)
	if err != nil || port < 0 || port > 65535 {
		return "", 0, fmt.Errorf("%q is no port", text)
	}
	return host, port, nil
}

// Run finds the others, and those again that were lost, until the context ends; then it says that it leaves. Membership by
// itself does not heal a partition that lasted: each side takes the other for dead and asks it no more.
func (m *Member) Run(ctx context.Context) {
	defer context.AfterFunc(ctx, m.net.endStreams)() // an exchange with one that does not answer must not keep the agent from ending
	m.join(m.cfg.Seeds)
	tick := time.NewTicker(m.cfg.Timing.RejoinInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			if err := m.list.Leave(leaveIn); err != nil {
				m.cfg.Logger.Debug("peers were not told of the leaving", "error", err)
			}
			if err := m.list.Shutdown(); err != nil {
				m.cfg.Logger.Warn("peers: ending", "error", err)
			}
			return
		case <-tick.C:
			if addr := m.missing(); addr != "" {
				m.join([]string{addr})
			}
		}
	}
}

func (m *Member) join(addrs []string) {
	if len(addrs) == 0 {
		return
	}
	if n, err := m.list.Join(addrs); err != nil {
		m.cfg.Logger.Debug("peers not reached", "reached", n, "error", err)
	} else {
		m.rejoined.Add(1)
	}
}

// missing is the address of one that was lost, or of a seed that is not among the peers; empty where all are there.
func (m *Member) missing() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	there := map[string]bool{m.own: true}
	for _, addr := range m.there {
		there[addr] = true
	}
	var addrs []string
	for name, l := range m.lost {
		if time.Since(l.at) > m.cfg.Timing.FailedPeerTTL {
			delete(m.lost, name)
		} else if !there[l.addr] {
			addrs = append(addrs, l.addr)
		}
	}
	for _, s := range m.cfg.Seeds {
		if !there[s] && !slices.Contains(addrs, s) {
			addrs = append(addrs, s)
		}
	}
	if len(addrs) == 0 {
		return ""
	}
	return addrs[m.rng.IntN(len(addrs))]
}

// Broadcast tells facts on to all peers, by gossip.
func (m *Member) Broadcast(facts []fleetstate.Fact) {
	for _, f := range facts {
		m.queue.QueueBroadcast(telling{f, encode(message{Facts: []fleetstate.Fact{f}})})
	}
	if n := m.queue.NumQueued() - mostQueued; n > 0 {
		m.queue.Prune(mostQueued)
		m.dropped.Add(int64(n))
	}
}

// SendPeerState sends this agent's part of the fleet's level to so many peers, drawn anew each time: what that costs does not grow
// with the fleet.
func (m *Member) SendPeerState(p budget.PeerState, to int) {
	text := encode(message{From: m.cfg.Name, Number: m.parts.Add(1), Part: &p})
	m.mu.Lock()
	peers := make([]memberlist.Address, 0, len(m.there))
	for name, addr := range m.there {
		peers = append(peers, memberlist.Address{Addr: addr, Name: name})
	}
	m.rng.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	m.mu.Unlock()
	for _, a := range peers[:min(to, len(peers))] {
		if err := m.list.SendToAddress(a, text); err != nil {
			m.cfg.Logger.Debug("a peer was not reached", "peer", a.Name, "error", err)
		}
	}
}

// Peers are the names of the others that are there, in order.
func (m *Member) Peers() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Sorted(maps.Keys(m.there))
}

// Addr is where it listens.
func (m *Member) Addr() string { return m.net.addr() }

// Stats are what a Member has done, for operators.
type Stats struct {
	Peers       int   `json:"peers"`    // there at present
	Joined      int64 `json:"joined"`   // peers that came, or came back
	Departed    int64 `json:"lost"`     // that failed or left
	Rejoined    int64 `json:"rejoined"` // times that seeds or lost ones were reached
	Malformed   int64 `json:"malformed"`
	Dropped     int64 `json:"dropped"` // facts not told on, as too many waited
	BytesSent   int64 `json:"bytes_sent"`
	PacketsSent int64 `json:"packets_sent"`
	HealthScore int   `json:"awareness"` // how slow it takes itself to be; 0: not at all
}

// Stats returns them.
func (m *Member) Stats() Stats {
	return Stats{Peers: len(m.Peers()), Joined: m.joins.Load(), Departed: m.failures.Load(), Rejoined: m.rejoined.Load(), Malformed: m.malformed.Load(),
		Dropped: m.dropped.Load(), BytesSent: m.net.bytes.Load(), PacketsSent: m.net.packets.Load(), HealthScore: m.list.GetHealthScore()}
}

func handle() *codec.MsgpackHandle {
	h := &codec.MsgpackHandle{}
	h.MaxDepth = 16
	return h
}

func encode(msg message) (out []byte) {
	if err := codec.NewEncoderBytes(&out, handle()).Encode(msg); err != nil {
		panic(fmt.Sprintf("peers: a message of our own types: %v", err)) // only a type that can't be written does this
	}
	return out
}

// hear reads a peer's message and tells on what is new.
func (m *Member) hear(text []byte) {
	var msg message
	if err := codec.NewDecoderBytes(text, handle()).Decode(&msg); err != nil {
		m.malformed.Add(1)
		return
	}
	if len(msg.Facts) > 0 {
		m.Broadcast(m.cfg.Handler.MergeFacts(msg.Facts))
	}
	if msg.Part != nil && msg.From != "" && msg.From != m.cfg.Name {
		m.cfg.Handler.UpdatePeerState(msg.From, msg.Number, *msg.Part)
	}
}

// telling is a fact on its way; a later copy of it takes its place.
type telling struct {
	fact fleetstate.Fact
	text []byte
}

func (t telling) Invalidates(b memberlist.Broadcast) bool {
	other, ok := b.(telling)
	return ok && other.fact.Key == t.fact.Key
}
func (t telling) Message() []byte { return t.text }
func (t telling) Finished()       {}

// delegate is what memberlist asks.
type delegate struct{ m *Member }

func (delegate) NodeMeta(int) []byte      { return nil }
func (d delegate) NotifyMsg(text []byte)  { d.m.hear(text) } // decoded at once: the buffer is memberlist's
func (d delegate) LocalState(bool) []byte { return encode(message{Facts: d.m.cfg.Handler.Facts()}) }
func (d delegate) GetBroadcasts(overhead, limit int) [][]byte {
	return d.m.queue.GetBroadcasts(overhead, limit)
}
func (d delegate) MergeRemoteState(text []byte, _ bool) {
	if len(text) > mostWhole {
		d.m.malformed.Add(1)
		return
	}
	d.m.hear(text)
}

// events keeps who was lost.
type events struct{ m *Member }

func (e events) NotifyJoin(n *memberlist.Node) {
	e.m.joins.Add(1)
	if n.Name == e.m.cfg.Name {
		return // from within Create
	}
	e.NotifyUpdate(n)
	e.m.cfg.Logger.Info("a peer is there", "peer", n.Name)
}

func (e events) NotifyUpdate(n *memberlist.Node) {
	e.m.mu.Lock()
	defer e.m.mu.Unlock()
	if n.Name != e.m.cfg.Name {
		delete(e.m.lost, n.Name)
		e.m.there[n.Name] = n.Address()
	}
}

func (e events) NotifyLeave(n *memberlist.Node) {
	e.m.failures.Add(1)
	e.m.cfg.Logger.Info("a peer has gone", "peer", n.Name, "left", n.State == memberlist.StateLeft)
	e.m.mu.Lock()
	defer e.m.mu.Unlock()
	delete(e.m.there, n.Name)
	if n.State != memberlist.StateLeft && n.Name != e.m.cfg.Name && len(e.m.lost) < mostLost {
		e.m.lost[n.Name] = lost{n.Address(), time.Now()}
	}
}

// logWriter passes memberlist's lines on: what it calls a warning or an error is ours to know of only in detail, as a fleet in
// trouble brings one for each peer.
type logWriter struct{ log *slog.Logger }

func (w logWriter) Write(line []byte) (int, error) {
	w.log.Debug(strings.TrimSpace(string(line)))
	return len(line), nil
}
