package membership

import (
	"slices"
	"time"
)

// maxFailedPeers bounds the table of failed peers; further ones are found by the seeds alone.
const maxFailedPeers = 1024

// failedPeer is a peer that was live and failed, without having left.
type failedPeer struct {
	addr     string
	failedAt time.Time
}

// join tries to reach peers by their addresses.
func (m *Member) join(addrs []string) {
	if len(addrs) == 0 {
		return
	}
	reached, err := m.list.Join(addrs)
	if err != nil {
		m.config.Logger.Debug("peers unreachable", "reached", reached, "error", err)
		return
	}
	m.counters.rejoined.Add(1)
}

// rejoinAddr returns the address of a failed peer or of a seed that isn't a live peer, drawn at random; empty where there is none.
//
// It guards against a partition that outlasts memberlist's patience: each side takes the other for dead and probes it no more, so
// that the fleet would stay split after the network has recovered.
func (m *Member) rejoinAddr() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	connected := map[string]bool{m.advertised: true}
	for _, addr := range m.live {
		connected[addr] = true
	}
	var addrs []string
	for name, peer := range m.failed {
		if time.Since(peer.failedAt) > m.config.Timing.FailedPeerTTL {
			delete(m.failed, name)
		} else if !connected[peer.addr] {
			addrs = append(addrs, peer.addr)
		}
	}
	for _, seed := range m.config.Seeds {
		if !connected[seed] && !slices.Contains(addrs, seed) {
			addrs = append(addrs, seed)
		}
	}
	if len(addrs) == 0 {
		return ""
	}
	return addrs[m.rng.IntN(len(addrs))]
}
