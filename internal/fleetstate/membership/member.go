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

// leaveTimeout limits how long a stopping agent tries to notify its peers.
const leaveTimeout = 500 * time.Millisecond

// Member is this agent's membership in the fleet. It is safe for concurrent use.
type Member struct {
	config     Config
	list       *memberlist.Memberlist
	transport  *transport
	broadcasts memberlist.TransmitLimitedQueue
	advertised string        // this agent's address, as peers use it
	sequence   atomic.Uint64 // number of the last budget state sent
	counters   counters

	mu     sync.Mutex // guards the fields below
	rng    *rand.Rand
	live   map[string]string     // addresses of live peers by name; copied, because memberlist changes its nodes while others read them
	failed map[string]failedPeer // by name
}

// Start opens the sockets and begins to answer peers; Run joins them. It returns an error if an address is invalid, if it cannot listen,
// or if memberlist fails to start. The caller must call Run on the returned Member, or its sockets stay open.
func Start(config Config) (*Member, error) {
	m := &Member{
		config: config,
		live:   map[string]string{},
		failed: map[string]failedPeer{},
		rng:    rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	// The sequence starts above any number that an earlier process of this agent has sent, because peers ignore lower ones.
	m.sequence.Store(uint64(time.Now().UnixMilli()) << 16)
	// memberlist.Create answers peers before it returns, so nothing that they trigger may use m.list. The number of peers is therefore
	// taken from the counters.
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

// create creates the memberlist on top of the transport.
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

// Run joins the peers and rejoins those that have failed. When the context ends it notifies the peers, closes the sockets and returns.
func (m *Member) Run(ctx context.Context) {
	// An exchange with a peer that does not answer would delay the end of Run, because memberlist's calls take no context.
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

// Addr returns the address on which the Member listens.
func (m *Member) Addr() string { return m.transport.addr() }
