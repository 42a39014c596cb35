package membership

import (
	"slices"
	"time"
)

// maxFailedPeers limits the table of failed peers. Peers that do not fit are rejoined only through the seeds.
const maxFailedPeers = 1024

// failedPeer is a peer that was live and then failed without having left.
type failedPeer struct {
	addr     string
	failedAt time.Time
}

// join contacts peers at the given addresses.
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

// rejoinAddr returns the address of a random failed peer or seed that is not live; empty if there is none.
//
// It covers a network partition that lasts longer than memberlist keeps probing. Each side then considers the other dead and no longer
// probes it, so the fleet would stay split after the network has recovered.
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
