// Package membership connects an agent with its peers: it discovers the other agents, detects which have left, failed or returned, and
// carries facts and budget states between them.
//
// The membership protocol is that of hashicorp/memberlist: SWIM with the Lifeguard extensions. This package adds
//
//   - dissemination: a new fact is sent to a few random peers at each gossip interval ([Member.Broadcast]), and the whole replica is
//     exchanged with one random peer at a time, and with each peer that returns (push/pull);
//   - budget states, which are sent directly to a few peers ([Member.SendPeerState]), because an outdated one has no use;
//   - rejoining after a network partition ([Member.Run]): memberlist stops contacting a peer that was declared dead, so without it the two
//     sides would stay separated.
//
// Received data is passed to a [Handler]. A [Member] is safe for concurrent use. [Start] starts it, and the end of the context of
// [Member.Run] stops it.
package membership
