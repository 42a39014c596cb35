package membership

import (
	"log/slog"
	"strings"
	"time"

	"github.com/hashicorp/memberlist"
)

// delegate gives memberlist access to the data of a Member. It implements memberlist.Delegate.
type delegate struct{ member *Member }

func (delegate) NodeMeta(int) []byte { return nil }

// NotifyMsg decodes the message before it returns, because memberlist owns the buffer and may change it afterwards.
func (d delegate) NotifyMsg(data []byte) { d.member.receive(data) }

func (d delegate) GetBroadcasts(overhead, limit int) [][]byte {
	return d.member.broadcasts.GetBroadcasts(overhead, limit)
}

func (d delegate) LocalState(bool) []byte {
	return encode(message{Facts: d.member.config.Handler.Facts()})
}

func (d delegate) MergeRemoteState(data []byte, _ bool) {
	if len(data) > maxReplicaBytes {
		d.member.counters.malformed.Add(1)
		return
	}
	d.member.receive(data)
}

// eventDelegate tracks which peers are live. It implements memberlist.EventDelegate.
type eventDelegate struct{ member *Member }

// NotifyJoin is also called for the agent itself, from within memberlist.Create.
func (e eventDelegate) NotifyJoin(node *memberlist.Node) {
	e.member.counters.joined.Add(1)
	if node.Name == e.member.config.Name {
		return
	}
	e.NotifyUpdate(node)
	e.member.config.Logger.Info("peer joined", "peer", node.Name)
}

func (e eventDelegate) NotifyUpdate(node *memberlist.Node) {
	e.member.mu.Lock()
	defer e.member.mu.Unlock()
	if node.Name != e.member.config.Name {
		delete(e.member.failed, node.Name)
		e.member.live[node.Name] = node.Address()
	}
}

func (e eventDelegate) NotifyLeave(node *memberlist.Node) {
	left := node.State == memberlist.StateLeft
	e.member.counters.departed.Add(1)
	e.member.config.Logger.Info("peer departed", "peer", node.Name, "left", left)
	e.member.mu.Lock()
	defer e.member.mu.Unlock()
	delete(e.member.live, node.Name)
	if !left && node.Name != e.member.config.Name && len(e.member.failed) < maxFailedPeers {
		e.member.failed[node.Name] = failedPeer{node.Address(), time.Now()}
	}
}

// logWriter passes memberlist's log lines on at the debug level. During a network fault memberlist warns about each peer, which would
// flood the log at a higher level.
type logWriter struct{ logger *slog.Logger }

func (w logWriter) Write(line []byte) (int, error) {
	w.logger.Debug(strings.TrimSpace(string(line)))
	return len(line), nil
}
