// Package link is a network with faults, in three forms that shape traffic alike:
//
//   - Network: hosts, connections and datagrams in memory, which works inside testing/synctest
//   - Relay and DatagramRelay: one path between loopback sockets
//   - Mesh: all paths between processes that send to each other on loopback
//
// Conditions say what one direction of a path does: delay, jitter, bandwidth, loss, or a cut, which loses everything without an
// error. As there are no packets, loss is modelled by its effect: a stream stalls for a retransmission timeout, a datagram is
// gone.
//
// A pipe is one direction of a stream. Network connects two pipes to a Conn at each end; a relay copies between its sockets and
// two pipes. A shaper decides when what is written arrives; it holds the random numbers, so that equal seeds give equal faults.
package link
