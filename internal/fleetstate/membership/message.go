package membership

import (
	"fmt"

	"github.com/hashicorp/go-msgpack/v2/codec"
	"github.com/hashicorp/memberlist"

	"ryeweir/internal/budget"
	"ryeweir/internal/fleetstate"
)

const (
	// maxQueuedFacts limits the facts that are queued for gossip; the oldest ones are dropped.
	maxQueuedFacts = 2048
	// maxReplicaBytes limits the size of a whole replica before it is decoded. It is above the size of a replica with the largest limits.
	maxReplicaBytes = 4 << 20
	// maxDecodeDepth limits the nesting of received messages.
	maxDecodeDepth = 16
)

// message is what agents send each other besides memberlist's own messages: facts, or a budget state with its sender and sequence
// number.
type message struct {
	Facts    []fleetstate.Fact `codec:"f,omitempty"`
	From     string            `codec:"n,omitempty"`
	Sequence uint64            `codec:"i,omitempty"`
	State    *budget.PeerState `codec:"p,omitempty"`
}

func codecHandle() *codec.MsgpackHandle {
	handle := &codec.MsgpackHandle{}
	handle.MaxDepth = maxDecodeDepth
	return handle
}

// encode panics if the types above cannot be encoded. Whether they can depends on the types alone: no data can cause the panic.
func encode(msg message) (data []byte) {
	if err := codec.NewEncoderBytes(&data, codecHandle()).Encode(msg); err != nil {
		panic(fmt.Sprintf("peers: cannot encode a message: %v", err))
	}
	return data
}

// Broadcast queues facts for gossip to all peers.
func (m *Member) Broadcast(facts []fleetstate.Fact) {
	for _, fact := range facts {
		m.broadcasts.QueueBroadcast(factBroadcast{fact, encode(message{Facts: []fleetstate.Fact{fact}})})
	}
	if excess := m.broadcasts.NumQueued() - maxQueuedFacts; excess > 0 {
		m.broadcasts.Prune(maxQueuedFacts)
		m.counters.dropped.Add(int64(excess))
	}
}

// SendPeerState sends this agent's budget state to fanout random peers, drawn anew each time, so that the cost does not grow with the size
// of the fleet. If a peer cannot be reached, that is logged and the peer is skipped.
func (m *Member) SendPeerState(state budget.PeerState, fanout int) {
	data := encode(message{From: m.config.Name, Sequence: m.sequence.Add(1), State: &state})
	for _, peer := range m.randomPeers(fanout) {
		if err := m.list.SendToAddress(peer, data); err != nil {
			m.config.Logger.Debug("budget state not sent: peer unreachable", "peer", peer.Name, "error", err)
		}
	}
}

// randomPeers draws up to n of the live peers.
func (m *Member) randomPeers(n int) []memberlist.Address {
	m.mu.Lock()
	defer m.mu.Unlock()
	peers := make([]memberlist.Address, 0, len(m.live))
	for name, addr := range m.live {
		peers = append(peers, memberlist.Address{Addr: addr, Name: name})
	}
	m.rng.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(n, len(peers))]
}

// receive decodes a peer's message, passes it to the handler and forwards the facts that were new.
func (m *Member) receive(data []byte) {
	var msg message
	if err := codec.NewDecoderBytes(data, codecHandle()).Decode(&msg); err != nil {
		m.counters.malformed.Add(1)
		return
	}
	if len(msg.Facts) > 0 {
		m.Broadcast(m.config.Handler.MergeFacts(msg.Facts))
	}
	if msg.State != nil && msg.From != "" && msg.From != m.config.Name {
		m.config.Handler.UpdatePeerState(msg.From, msg.Sequence, *msg.State)
	}
}

// factBroadcast is a fact queued for gossip. A later copy with the same key replaces it. It implements memberlist.Broadcast.
type factBroadcast struct {
	fact fleetstate.Fact
	data []byte
}

func (b factBroadcast) Invalidates(other memberlist.Broadcast) bool {
	broadcast, ok := other.(factBroadcast)
	return ok && broadcast.fact.Key == b.fact.Key
}

func (b factBroadcast) Message() []byte { return b.data }
func (b factBroadcast) Finished()       {}
