package membership

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"ryeweir/internal/budget"
	"ryeweir/internal/emulator/link"
	"ryeweir/internal/fleetstate"
)

// replica is a Handler backed by a fleetstate.Replica.
type replica struct {
	mu     sync.Mutex
	state  *fleetstate.Replica
	states map[string]budget.PeerState // by sender
}

func newReplica() *replica {
	return &replica{state: fleetstate.NewReplica(fleetstate.DefaultLimits()), states: map[string]budget.PeerState{}}
}

func (r *replica) MergeFacts(facts []fleetstate.Fact) []fleetstate.Fact {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Merge(time.Now(), facts)
}

func (r *replica) Facts() []fleetstate.Fact {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Facts()
}

func (r *replica) UpdatePeerState(from string, _ uint64, state budget.PeerState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.states[from] = state
}

func (r *replica) budgetState(from string) budget.PeerState {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.states[from]
}

// put writes a draining notice and returns it for broadcasting.
func (r *replica) put(server, origin string) []fleetstate.Fact {
	r.mu.Lock()
	defer r.mu.Unlock()
	fact, _ := r.state.Put(time.Now(), fleetstate.Key{Kind: fleetstate.Notice, Server: server, Origin: origin}, fleetstate.Draining, origin)
	return []fleetstate.Fact{fact}
}

type peer struct {
	*Member
	*replica
}

// eventually waits until the condition holds, which normally takes a few seconds at most. It fails the test after 30 s.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("not within 30 s: ", what)
		}
	}
}

// cluster is a set of peers on loopback. Each is behind a relay of a mesh that can cut the connection between any two of them.
type cluster struct {
	mesh  *link.Mesh
	peers []peer
}

// startCluster starts peers with the first one as their seed, and stops them at the end of the test.
func startCluster(t *testing.T, size int) *cluster {
	t.Helper()
	c := &cluster{mesh: link.NewMesh(1)}
	t.Cleanup(func() { c.mesh.Close() })
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	t.Cleanup(func() { stop(); running.Wait() })
	seed := ""
	for i := range size {
		member, state, advertised := c.start(t, i, seed)
		if seed == "" {
			seed = advertised
		}
		c.peers = append(c.peers, peer{member, state})
		running.Go(func() { member.Run(ctx) })
	}
	return c
}

// start starts the peer with the given number, without running it.
func (c *cluster) start(t *testing.T, number int, seed string) (*Member, *replica, string) {
	t.Helper()
	name, ip := fmt.Sprint("p", number), fmt.Sprint("127.0.92.", number+1)
	free, err := listen(ip, 0, slog.NewLogLogger(slog.DiscardHandler, slog.LevelDebug))
	if err != nil {
		t.Fatal(err)
	}
	bind := free.addr()
	free.Shutdown()
	advertised, err := c.mesh.Add(name, ip, bind)
	if err != nil {
		t.Fatal(err)
	}
	timing := DefaultTiming()
	timing.ProbeInterval, timing.ProbeTimeout, timing.RejoinInterval = 100*time.Millisecond, 50*time.Millisecond, 200*time.Millisecond
	state := newReplica()
	config := Config{
		Name: name, Bind: bind, Advertise: advertised, Label: "test", EncryptionKey: []byte("0123456789abcdef"),
		Timing: timing, Handler: state, Logger: slog.New(slog.DiscardHandler),
	}
	if seed != "" {
		config.Seeds = []string{seed}
	}
	member, err := Start(config)
	if err != nil {
		t.Fatal(err)
	}
	return member, state, advertised
}

// setPartition cuts or restores all connections between the first two peers and the others.
func (c *cluster) setPartition(cut bool) {
	for _, a := range c.peers[:2] {
		for _, b := range c.peers[2:] {
			c.mesh.Set(a.config.Name, b.config.Name, link.Conditions{Cut: cut})
			c.mesh.Set(b.config.Name, a.config.Name, link.Conditions{Cut: cut})
		}
	}
}

// all returns the condition that holds is true for each peer.
func (c *cluster) all(holds func(p peer) bool) func() bool {
	return func() bool { return !slices.ContainsFunc(c.peers, func(p peer) bool { return !holds(p) }) }
}

func (c *cluster) rejoins() (sum int64) {
	for _, p := range c.peers {
		sum += p.Stats().Rejoined
	}
	return sum
}

// Four peers find each other through one seed and exchange facts and budget states. Then the network is partitioned until each side has
// declared the other failed, and recovers. The peers must rejoin without help, and all must get the facts that either side has written
// meanwhile.
func TestPeersRejoinAfterPartition(t *testing.T) {
	c := startCluster(t, 4)
	peers := c.peers
	live := func(n int) func() bool { return c.all(func(p peer) bool { return len(p.Peers()) == n }) }
	facts := func(n int) func() bool { return c.all(func(p peer) bool { return len(p.Facts()) == n }) }
	eventually(t, "each peer sees all others as live", live(3))
	peers[1].Broadcast(peers[1].put("a", "p1"))
	eventually(t, "a fact reaches all peers", facts(1))
	peers[2].SendPeerState(budget.PeerState{Rate: 7}, 3)
	eventually(t, "a budget state arrives", func() bool { return peers[0].budgetState("p2").Rate == 7 })

	c.setPartition(true)
	eventually(t, "each side declares the other failed", live(1))
	peers[0].Broadcast(peers[0].put("b", "p0"))
	peers[3].Broadcast(peers[3].put("c", "p3"))
	eventually(t, "peers on each side exchange facts", func() bool { return len(peers[1].Facts()) == 2 && len(peers[2].Facts()) == 2 })

	before := c.rejoins()
	c.setPartition(false)
	eventually(t, "each peer sees all others as live again", live(3))
	eventually(t, "all facts reach all peers", facts(3))
	if stats := peers[0].Stats(); stats.BytesSent == 0 || stats.Malformed != 0 || stats.Departed < 2 {
		t.Errorf("%+v", stats)
	}
	eventually(t, "a peer counts its rejoin", func() bool { return c.rejoins() > before }) // it may be any of them
	peers[0].receive([]byte{0xc1, 0xff})
	if peers[0].Stats().Malformed != 1 {
		t.Error("a message that cannot be decoded is not counted as malformed")
	}
}

// A seed accepts the connection and never answers. Run must still end promptly while the exchange with it is in progress.
func TestRunEndsWhileSeedIsSilent(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	member, err := Start(Config{
		Name: "p", Bind: "127.0.0.1:0", Seeds: []string{silent.Addr().String()}, Timing: DefaultTiming(),
		Handler: newReplica(), Logger: slog.New(slog.DiscardHandler),
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { member.Run(ctx); close(ended) }()
	exchange, err := silent.Accept() // the exchange has started
	if err != nil {
		t.Fatal(err)
	}
	defer exchange.Close()
	stop()
	select {
	case <-ended:
	case <-time.After(streamTimeout / 2):
		t.Error("Run does not end while the seed is silent")
	}
}
