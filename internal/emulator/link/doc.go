// Package link emulates a network with faults. Three implementations shape traffic in the same way:
//
//   - Network: hosts, connections and datagrams in memory, which works inside testing/synctest
//   - Relay and DatagramRelay: one path between loopback sockets
//   - Mesh: all paths between processes that send to each other on loopback
//
// Conditions describe one direction of a path: delay, jitter, bandwidth, loss, or a cut, in which nothing passes and no error is
// returned. Streams are not divided into real packets, so packet loss is emulated by its effect: a stream stalls for a
// retransmission timeout, and a datagram is lost.
//
// A pipe is one direction of a stream. A Network connects the Conn at each end by two pipes; a relay copies between its sockets and
// two pipes. A shaper computes when written bytes arrive. It holds the random number generator: equal seeds give equal faults.
package link
