package membership

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"testing"
	"time"

	"ryeweir/internal/budget"
	"ryeweir/internal/emulator/link"
	"ryeweir/internal/fleetstate"
)

// replica is a Handler over a state.
type replica struct {
	mu    sync.Mutex
	state *fleetstate.Replica
	parts map[string]budget.PeerState
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

func (r *replica) UpdatePeerState(from string, _ uint64, p budget.PeerState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.parts[from] = p
}

func (r *replica) put(server, who string) []fleetstate.Fact {
	r.mu.Lock()
	defer r.mu.Unlock()
	f, _ := r.state.Put(time.Now(), fleetstate.Key{Kind: fleetstate.Notice, Server: server, Origin: who}, fleetstate.Draining, who)
	return []fleetstate.Fact{f}
}

type peer struct {
	*Member
	*replica
}

// eventually waits for a condition, which comes within seconds where it comes at all.
func eventually(t *testing.T, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); !is(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("never: ", what)
		}
	}
}

// Four peers find each other by one seed, tell each other facts and parts, are cut in two for as long as it takes either side to
// give the other up, and come back together by themselves: all hold all that was told meanwhile on either side.
func TestPeersPartAndMeetAgain(t *testing.T) {
	mesh := link.NewMesh(1)
	defer mesh.Close()
	timing := DefaultTiming()
	timing.ProbeInterval, timing.ProbeTimeout, timing.RejoinInterval = 100*time.Millisecond, 50*time.Millisecond, 200*time.Millisecond
	ctx, stop := context.WithCancel(t.Context())
	var all sync.WaitGroup
	defer all.Wait()
	defer stop()
	var peers []peer
	var seed string
	for i := range 4 {
		name, ip := fmt.Sprint("p", i), fmt.Sprint("127.0.92.", i+1)
		r := &replica{state: fleetstate.NewReplica(fleetstate.DefaultLimits()), parts: map[string]budget.PeerState{}}
		free, err := listen(ip, 0, slog.NewLogLogger(slog.DiscardHandler, slog.LevelDebug))
		if err != nil {
			t.Fatal(err)
		}
		bind := free.addr()
		free.Shutdown()
		front, err := mesh.Add(name, ip, bind)
		if err != nil {
			t.Fatal(err)
		}
		cfg := Config{Name: name, Bind: bind, Advertise: front, Label: "test", EncryptionKey: []byte("0123456789abcdef"), Timing: timing, Handler: r, Logger: slog.New(slog.DiscardHandler)}
		if seed != "" {
			cfg.Seeds = []string{seed}
		} else {
			seed = front
		}
		m, err := Start(cfg)
		if err != nil {
			t.Fatal(err)
		}
		peers = append(peers, peer{m, r})
		all.Go(func() { m.Run(ctx) })
	}
	see := func(n int) func() bool {
		return func() bool {
			for _, p := range peers {
				if len(p.Peers()) != n {
					return false
				}
			}
			return true
		}
	}
	hold := func(n int) func() bool {
		return func() bool {
			for _, p := range peers {
				if len(p.Facts()) != n {
					return false
				}
			}
			return true
		}
	}
	eventually(t, "all see all", see(3))
	peers[1].Broadcast(peers[1].put("a", "p1"))
	eventually(t, "a fact goes round", hold(1))
	peers[2].SendPeerState(budget.PeerState{Rate: 7}, 3)
	eventually(t, "a part comes", func() bool {
		peers[0].replica.mu.Lock()
		defer peers[0].replica.mu.Unlock()
		return peers[0].replica.parts["p2"].Rate == 7
	})
	cut := func(on bool) {
		for _, a := range []string{"p0", "p1"} {
			for _, b := range []string{"p2", "p3"} {
				mesh.Set(a, b, link.Conditions{Cut: on})
				mesh.Set(b, a, link.Conditions{Cut: on})
			}
		}
	}
	cut(true)
	eventually(t, "each side gives the other up", see(1))
	peers[0].Broadcast(peers[0].put("b", "p0"))
	peers[3].Broadcast(peers[3].put("c", "p3"))
	eventually(t, "each side goes on", func() bool { return len(peers[1].Facts()) == 2 && len(peers[2].Facts()) == 2 })
	reached := func() (sum int64) {
		for _, p := range peers {
			sum += p.Stats().Rejoined
		}
		return sum
	}
	before := reached()
	cut(false)
	eventually(t, "all see all again", see(3))
	eventually(t, "all hold all", hold(3))
	if c := peers[0].Stats(); c.BytesSent == 0 || c.Malformed != 0 || c.Departed < 2 {
		t.Errorf("%+v", c)
	}
	eventually(t, "who reached the others again counts that", func() bool { return reached() > before }) // any of them may
	peers[0].hear([]byte{0xc1, 0xff})
	if peers[0].Stats().Malformed != 1 {
		t.Error("what can't be read is not counted")
	}
}

// An exchange with a seed that takes the connection and never answers does not keep an agent from ending.
func TestEndsWhileASeedIsSilent(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	m, err := Start(Config{Name: "p", Bind: "127.0.0.1:0", Seeds: []string{silent.Addr().String()}, Timing: DefaultTiming(),
		Handler: &replica{state: fleetstate.NewReplica(fleetstate.DefaultLimits())}, Logger: slog.New(slog.DiscardHandler)})
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { m.Run(ctx); close(ended) }()
	c, err := silent.Accept() // the exchange is on
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	stop()
	select {
	case <-ended:
	case <-time.After(streamTimeout / 2):
		t.Error("it waits for the silent seed")
	}
}
