// Package membership connects an agent with its peers: it finds the other agents, notices which have left, failed or come back, and
// carries facts and budget states between them.
//
// Membership itself is hashicorp/memberlist's: SWIM with the Lifeguard extensions. This package adds
//
//   - dissemination: a new fact goes to a few random peers at each gossip interval ([Member.Broadcast]); the whole replica is
//     exchanged with one peer after the other, and with each that comes back (push/pull);
//   - budget states, sent to a few peers directly ([Member.SendPeerState]), as an older one is of no use;
//   - rejoining after a partition: memberlist gives up a peer that was declared dead, so that two sides would stay apart for good
//     ([Member.Run]).
//
// Received data goes to a [Handler]. A [Member] is safe for concurrent use; it is started by [Start] and stopped by the end of the
// context of [Member.Run].
package membership
