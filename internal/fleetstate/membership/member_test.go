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

// replica is a Handler over a fleetstate.Replica.
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

// put writes a draining notice and returns it, to be broadcast.
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

// eventually waits for a condition, which becomes true within seconds where it does at all.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("never: ", what)
		}
	}
}

// cluster is a number of peers on loopback, each behind a relay of a mesh that can cut the way between two of them.
type cluster struct {
	mesh  *link.Mesh
	peers []peer
}

// startCluster starts peers that know the first one as their seed, and stops them with the test.
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

// start starts the peer of a number, without running it.
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

// setPartition cuts, or restores, every way between the first two peers and the others.
func (c *cluster) setPartition(cut bool) {
	for _, a := range c.peers[:2] {
		for _, b := range c.peers[2:] {
			c.mesh.Set(a.config.Name, b.config.Name, link.Conditions{Cut: cut})
			c.mesh.Set(b.config.Name, a.config.Name, link.Conditions{Cut: cut})
		}
	}
}

// all returns a condition: that it holds of each peer.
func (c *cluster) all(holds func(p peer) bool) func() bool {
	return func() bool { return !slices.ContainsFunc(c.peers, func(p peer) bool { return !holds(p) }) }
}

func (c *cluster) rejoins() (sum int64) {
	for _, p := range c.peers {
		sum += p.Stats().Rejoined
	}
	return sum
}

// Four peers find each other by one seed and exchange facts and budget states. The network is partitioned for as long as it takes
// either side to give up the other, and recovers. The peers rejoin by themselves, and all have all facts that were written
// meanwhile on either side.
func TestPeersRejoinAfterPartition(t *testing.T) {
	c := startCluster(t, 4)
	peers := c.peers
	live := func(n int) func() bool { return c.all(func(p peer) bool { return len(p.Peers()) == n }) }
	facts := func(n int) func() bool { return c.all(func(p peer) bool { return len(p.Facts()) == n }) }
	eventually(t, "all are live at all", live(3))
	peers[1].Broadcast(peers[1].put("a", "p1"))
	eventually(t, "a fact comes to all", facts(1))
	peers[2].SendPeerState(budget.PeerState{Rate: 7}, 3)
	eventually(t, "a budget state comes", func() bool { return peers[0].budgetState("p2").Rate == 7 })

	c.setPartition(true)
	eventually(t, "each side gives up the other", live(1))
	peers[0].Broadcast(peers[0].put("b", "p0"))
	peers[3].Broadcast(peers[3].put("c", "p3"))
	eventually(t, "each side exchanges facts", func() bool { return len(peers[1].Facts()) == 2 && len(peers[2].Facts()) == 2 })

	before := c.rejoins()
	c.setPartition(false)
	eventually(t, "all are live at all again", live(3))
	eventually(t, "all have all facts", facts(3))
	if stats := peers[0].Stats(); stats.BytesSent == 0 || stats.Malformed != 0 || stats.Departed < 2 {
		t.Errorf("%+v", stats)
	}
	eventually(t, "the peer that rejoined counts that", func() bool { return c.rejoins() > before }) // any of them may
	peers[0].receive([]byte{0xc1, 0xff})
	if peers[0].Stats().Malformed != 1 {
		t.Error("a message that can't be decoded is not counted")
	}
}

// A seed accepts the connection and never answers. An agent that is in the exchange with it stops all the same.
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
	exchange, err := silent.Accept() // the exchange is under way
	if err != nil {
		t.Fatal(err)
	}
	defer exchange.Close()
	stop()
	select {
	case <-ended:
	case <-time.After(streamTimeout / 2):
		t.Error("Run waits for the silent seed")
	}
}
