package membership

import "sync/atomic"

// Stats are counts of the operations of a Member, for metrics. All but Peers and HealthScore never decrease.
type Stats struct {
	Peers       int   `json:"peers"`    // live at present
	Joined      int64 `json:"joined"`   // joins and returns of peers, and the agent's own join
	Departed    int64 `json:"lost"`     // peers that failed or left
	Rejoined    int64 `json:"rejoined"` // successful joins through seeds or failed peers
	Malformed   int64 `json:"malformed"`
	Dropped     int64 `json:"dropped"` // facts not gossiped because the queue was full
	BytesSent   int64 `json:"bytes_sent"`
	PacketsSent int64 `json:"packets_sent"`
	HealthScore int   `json:"awareness"` // memberlist's health score: how slow the agent finds itself; 0 is healthy
}

type counters struct {
	joined, departed, rejoined, malformed, dropped atomic.Int64
}

// Stats returns the counts so far.
func (m *Member) Stats() Stats {
	return Stats{
		Peers:       len(m.Peers()),
		Joined:      m.counters.joined.Load(),
		Departed:    m.counters.departed.Load(),
		Rejoined:    m.counters.rejoined.Load(),
		Malformed:   m.counters.malformed.Load(),
		Dropped:     m.counters.dropped.Load(),
		BytesSent:   m.transport.bytesSent.Load(),
		PacketsSent: m.transport.packetsSent.Load(),
		HealthScore: m.list.GetHealthScore(),
	}
}
