package membership

import (
	"context"
	"errors"
	"fmt"
	"log"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
)

// leaveTimeout is how long an agent that stops tries to notify its peers.
const leaveTimeout = 500 * time.Millisecond

// Member is an agent among its peers. It is safe for concurrent use.
type Member struct {
	config     Config
	list       *memberlist.Memberlist
	transport  *transport
	broadcasts memberlist.TransmitLimitedQueue
	advertised string        // own address, as peers know it
	sequence   atomic.Uint64 // of the last budget state sent
	counters   counters

	mu     sync.Mutex // guards what follows
	rng    *rand.Rand
	live   map[string]string     // addresses of live peers by name; a copy, as memberlist changes its nodes while others read them
	failed map[string]failedPeer // by name
}

// Start listens and begins to answer peers; Run joins them. Errors are those of the addresses, of listening and of memberlist.
// A Member that Start has returned must be run, or its sockets stay open.
func Start(config Config) (*Member, error) {
	m := &Member{
		config: config,
		live:   map[string]string{},
		failed: map[string]failedPeer{},
		rng:    rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	// Above any that an earlier process of this agent has sent: peers ignore lower ones.
	m.sequence.Store(uint64(time.Now().UnixMilli()) << 16)
	// Create below answers peers before it returns: nothing that they bring about may use m.list. So the number of peers
	// comes from the counters.
	m.broadcasts.RetransmitMult = retransmitMult
	m.broadcasts.NumNodes = func() int {
		return int(max(1, m.counters.joined.Load()-m.counters.departed.Load()))
	}
	host, port, err := splitAddr(config.Bind)
	if err != nil {
		return nil, fmt.Errorf("peers: bind: %w", err)
	}
	logger := log.New(logWriter{config.Logger}, "", 0)
	if m.transport, err = listen(host, port, logger); err != nil {
		return nil, fmt.Errorf("peers: listening: %w", err)
	}
	if err := m.create(host, logger); err != nil {
		return nil, errors.Join(fmt.Errorf("peers: %w", err), m.transport.Shutdown())
	}
	return m, nil
}

// create creates the memberlist on the transport.
func (m *Member) create(host string, logger *log.Logger) error {
	listConfig, err := m.config.memberlistConfig(m.transport, host)
	if err != nil {
		return err
	}
	listConfig.Logger, listConfig.Delegate, listConfig.Events = logger, delegate{m}, eventDelegate{m}
	m.advertised = net.JoinHostPort(listConfig.AdvertiseAddr, strconv.Itoa(listConfig.AdvertisePort))
	m.list, err = memberlist.Create(listConfig)
	return err
}

// Run joins the peers, rejoins those that have failed, and when the context ends notifies the others and closes the sockets. It
// returns when all that is done.
func (m *Member) Run(ctx context.Context) {
	// An exchange with a peer that doesn't answer would keep Run from ending: memberlist's calls take no context.
	defer context.AfterFunc(ctx, m.transport.closeStreams)()
	m.join(m.config.Seeds)
	ticker := time.NewTicker(m.config.Timing.RejoinInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			m.leave()
			return
		case <-ticker.C:
			if addr := m.rejoinAddr(); addr != "" {
				m.join([]string{addr})
			}
		}
	}
}

func (m *Member) leave() {
	if err := m.list.Leave(leaveTimeout); err != nil {
		m.config.Logger.Debug("peers not notified of leave", "error", err)
	}
	if err := m.list.Shutdown(); err != nil {
		m.config.Logger.Warn("membership shutdown failed", "error", err)
	}
}

// Peers returns the names of the live peers, sorted.
func (m *Member) Peers() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Sorted(maps.Keys(m.live))
}

// Addr returns the address on which it listens.
func (m *Member) Addr() string { return m.transport.addr() }
