package pool

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Table decides what becomes of connections: which is used, which is opened or closed, who waits. It does no I/O and reads no
// clock: events go in with the time, actions come out and are carried out in order. The time never goes back.
//
// A slot is a connection, a node one life of a server, a waiter an attempt that waits for a connection. Every slot is opening
// until Opened or OpenFailed, then in use or idle until it is closed. A waiter gets one Hand or one Refuse, unless Cancel comes
// before.
type Table struct {
	set     Settings
	rng     *rand.Rand
	nodes   []*Endpoint // listed, or with slots
	open    int         // slots that are open
	opening int
	idle    int
	waiting int
	turns   uint64
	actions []Action
	counts  Stats
}

// Endpoint is one life of a server under one address: a restart or another address makes a new one.
type Endpoint struct {
	ID, Addr string
	started  time.Duration // 0: long ago
	at       int           // in the table's nodes; -1 when it is not there any more
	ready    bool          // may get new requests
	unready  time.Duration // since when it may not
	retired  bool
	places   int // slots open or opening
	opening  int
	resting  int       // idle slots that are for who waits, once they have rested
	idle     []*Slot   // those that came back first come first
	waiters  []*Waiter // oldest first

	idleLimit time.Duration // as learnt then
	learnt    time.Duration
	survived  time.Duration // how long a connection stood idle and was open still, at survivor
	survivor  time.Duration
	limited   int             // closes that speak for a limit of the server's less those that speak against it
	suspect   time.Duration   // connections not proven since are suspect; 0: none
	failures  []time.Duration // broken exchanges since the latest answer
	dialFails int             // in a row

	rate      float64 // sends a second, smoothed
	rated     time.Duration
	handshake float64 // seconds that one takes, smoothed
	nextAhead time.Duration
}

// Slot is a connection.
type Slot struct {
	Endpoint *Endpoint
	Conn     *Conn // of those who carry out; the table does not look into it
	opened   time.Duration
	ends     time.Duration // its age limit; 0: none
	uses     int
	came     time.Duration // when it came back idle
	answered time.Duration // when it last brought an answer; 0: never
	resting  bool          // is for who waits, once it has rested
	proven   time.Duration // when its latest exchange ended in order, or it came up
	stood    time.Duration // how long it had been idle when it was handed out; 0 when fresh
	inUse    bool
	ahead    bool // opened ahead of need, not used so far
	takeable bool // is in its node's idle list
}

// Waiter is an attempt that waits.
type Waiter struct {
	node    *Endpoint
	careful bool
	since   time.Duration
	turn    uint64
	Result  chan Action // holds one: a Hand or a Refuse
}

// ActionKind is what an Action does.
type ActionKind int

// The kinds.
const (
	Open                  ActionKind = iota // Slot: a handshake with its node
	Close                                   // Slot, for Why
	Grant                                   // Slot to Waiter
	Reject                                  // Waiter, for Why
	ScheduleQuarantineEnd                   // Slot, After which Rested is called
)

// CloseReason is the reason of a Close or a Refuse.
type CloseReason int

// The reasons.
const (
	CloseIdle           CloseReason = iota // stood idle near the server's limit
	CloseAge                               // reached its age or number of uses
	CloseStale                             // found closed, or with something to read, before use
	CloseSuspected                         // older than a burst of failures
	CloseCrossed                           // closed by the server while a request went out on it
	CloseBroken                            // its exchange broke or left it out of order
	CloseRetired                           // its server drains, is gone or has started anew
	CloseCapacity                          // made room for another
	CloseShutdown                          // the pool has closed
	RejectCapacity                         // refused: no place came free in time, or too many wait
	RejectNotReady                         // refused: the server takes nothing new
	RejectConnectFailed                    // refused: the server's handshake failed, or takes too long
	reasons             int         = iota
)

// String names the reason as the figures do.
func (w CloseReason) String() string {
	return [...]string{"idle", "age", "stale", "suspect", "crossed", "broken", "retired", "room", "end", "no_room", "no_server", "no_connect"}[w]
}

// Action is something to be carried out.
type Action struct {
	Kind        ActionKind
	Slot        *Slot
	Waiter      *Waiter
	CloseReason CloseReason
	Delay       time.Duration
}

// ReleaseOutcome says how an exchange left its connection.
type ReleaseOutcome int

// The ways.
const (
	Reusable       ReleaseOutcome = iota // it can be used again
	Unused                               // nothing was written on it
	MustClose                            // in order, but to be closed
	ClosedByServer                       // the server closed it before any part of an answer
	Abandoned                            // the agent stopped waiting before it could expect an answer, which says nothing of the server
	Broken                               // anything else
)

// NewTable returns a table. Its random numbers follow from the seed.
func NewTable(set Settings, seed uint64) *Table {
	return &Table{set: set, rng: rand.New(rand.NewPCG(seed, 2))}
}

// begin starts an event.
func (t *Table) begin() { t.actions = t.actions[:0] }

func (t *Table) act(a Action) { t.actions = append(t.actions, a) }

// AddEndpoint begins a server's life. A start that is in the future counts as now.
func (t *Table) AddEndpoint(now time.Duration, id, addr string, started time.Duration) *Endpoint {
	n := &Endpoint{ID: id, Addr: addr, started: min(started, now), idleLimit: t.idleFull(), learnt: now, rated: now, at: len(t.nodes)}
	t.nodes = append(t.nodes, n)
	n.nextAhead = now + time.Duration(t.rng.Float64()*float64(t.aheadPause(now, n))) // all agents hear of a start at once
	return n
}

// Configure puts other settings into force. Places that are too many by then go as they come free.
func (t *Table) Configure(now time.Duration, set Settings) []Action {
	t.begin()
	t.set = set
	for _, n := range t.nodes {
		for len(n.idle) > 0 && (t.open+t.opening > set.MaxConnections || n.places > set.MaxPerEndpoint) {
			t.close(n.idle[0], CloseCapacity)
		}
	}
	t.fill(now)
	return t.actions
}

// SetReady says whether a server may get something new. Where it may not, what waits for it is refused and its idle
// connections close; those in use close when they come back.
func (t *Table) SetReady(now time.Duration, n *Endpoint, ready bool) []Action {
	t.begin()
	if n.ready && !ready {
		n.unready = now
	}
	n.ready = ready
	if !ready {
		t.refuseAll(n, RejectNotReady)
		t.closeIdle(n, CloseRetired)
		t.fill(now)
	}
	return t.actions
}

// Retire ends a server's life.
func (t *Table) Retire(now time.Duration, n *Endpoint) []Action {
	t.SetReady(now, n, false)
	n.retired = true
	t.forget(n)
	return t.actions
}

// Acquire asks for a connection. It returns a slot at once, or a waiter that has got or will get an answer.
func (t *Table) Acquire(now time.Duration, n *Endpoint, careful bool) (*Slot, *Waiter, []Action) {
	t.begin()
	if n == nil || !n.ready {
		return nil, t.refused(RejectNotReady), t.actions
	}
	n.sends(now)
	if s := t.pick(now, n, careful); s != nil {
		t.hand(now, s)
		t.openAhead(now, n)
		return s, nil, t.actions
	}
	if t.waiting >= t.set.MaxWaiters {
		t.counts.Rejected++
		return nil, t.refused(RejectCapacity), t.actions
	}
	w := &Waiter{node: n, careful: careful, since: now, turn: t.turns, Result: make(chan Action, 1)}
	t.turns++
	n.waiters = append(n.waiters, w)
	t.waiting++
	t.rest(now, n)
	before := t.opening
	t.fill(now)
	if t.opening == before {
		t.counts.Waited++
	}
	return nil, w, t.actions
}

// AllowsLowPriority reports whether something may have a connection to the server that must not stand in the way of attempts: none waits,
// and one is idle there or a tenth of all places is free.
func (t *Table) AllowsLowPriority(n *Endpoint) bool {
	return t.waiting == 0 && (n != nil && len(n.idle) > 0 || 10*(t.open+t.opening) < 9*t.set.MaxConnections)
}

// DiscardStale says that a slot which was just handed out is of no use: it was closed, or has something to read.
func (t *Table) DiscardStale(now time.Duration, s *Slot) []Action {
	t.begin()
	s.uses--
	t.learn(now, s.Endpoint, s.stood)
	t.close(s, CloseStale)
	t.fill(now)
	return t.actions
}

// HandshakeSucceeded says that a handshake is done. Who asked for it may have got another connection meanwhile.
func (t *Table) HandshakeSucceeded(now time.Duration, s *Slot) []Action {
	t.begin()
	n := s.Endpoint
	t.opening--
	n.opening--
	t.open++
	took := (now - s.opened).Seconds()
	if n.handshake == 0 {
		n.handshake = took
	}
	n.handshake += handshakeWeight * (took - n.handshake)
	n.dialFails = 0
	s.opened, s.proven = now, now
	if t.set.MaxAge > 0 {
		s.ends = now + time.Duration(float64(t.set.MaxAge)*(1-t.set.AgeJitter*t.rng.Float64()))
	}
	t.counts.Opened++
	s.inUse = true
	t.free(now, s)
	t.fill(now)
	return t.actions
}

// HandshakeFailed says that a handshake failed, or could not be begun for what the agent itself lacks, which says nothing of the server.
// Who has waited for longest is told so: it was the one that asked for it.
func (t *Table) HandshakeFailed(now time.Duration, s *Slot, ownLack bool) []Action {
	t.begin()
	n := s.Endpoint
	t.opening--
	n.opening--
	why := RejectCapacity
	if !ownLack {
		why = RejectConnectFailed
		n.dialFails++
	}
	t.leave(n)
	t.counts.OpenFailed++
	if !s.ahead && len(n.waiters) > 0 {
		w := n.waiters[0]
		t.unqueue(w)
		t.act(Action{Kind: Reject, Waiter: w, CloseReason: why})
	}
	t.fill(now)
	return t.actions
}

// Release gives a slot back after use.
func (t *Table) Release(now time.Duration, s *Slot, how ReleaseOutcome) []Action {
	t.begin()
	n := s.Endpoint
	switch how {
	case Reusable:
		s.proven, s.answered = now, now
		n.failures = n.failures[:0]
		n.outlived(now, s.stood, t.set.IdleLimitDoublingTime)
		t.free(now, s)
	case Unused:
		s.uses--
		t.freeSince(now, s, s.came)
	case MustClose:
		t.close(s, CloseAge)
	case ClosedByServer:
		t.learn(now, n, s.stood)
		t.close(s, CloseCrossed)
		t.suspectAll(now, n)
	case Abandoned:
		t.close(s, CloseBroken)
	case Broken:
		t.close(s, CloseBroken)
		t.failed(now, n)
	}
	t.fill(now)
	return t.actions
}

// QuarantineEnded says that a slot has rested for as long as a Rest asked for.
func (t *Table) QuarantineEnded(now time.Duration, s *Slot) []Action {
	t.begin()
	if s.resting {
		t.rises(s)
		t.give(now, s)
		t.fill(now)
	}
	return t.actions
}

// Maintain closes what has grown old, and opens what will be needed. stale are idle slots that were found closed.
func (t *Table) Maintain(now time.Duration, stale []*Slot) []Action {
	t.begin()
	for _, s := range stale {
		if s.takeable {
			t.learn(now, s.Endpoint, now-s.came)
			t.close(s, CloseStale)
		}
	}
	for _, n := range slices.Clone(t.nodes) {
		for _, s := range slices.Clone(n.idle) {
			n.outlived(now, now-s.came, t.set.IdleLimitDoublingTime)
			if why, ends := t.expired(now, s); ends {
				t.close(s, why)
			}
		}
		t.openAhead(now, n)
	}
	t.fill(now)
	return t.actions
}

// AppendIdle are the idle slots, to look at.
func (t *Table) AppendIdle(to []*Slot) []*Slot {
	for _, n := range t.nodes {
		to = append(to, n.idle...)
	}
	return to
}

// Shutdown closes all that is idle and refuses all that waits. What is in use closes when it comes back.
func (t *Table) Shutdown(now time.Duration) []Action {
	t.begin()
	for _, n := range slices.Clone(t.nodes) {
		n.ready = false
		t.refuseAll(n, RejectNotReady)
		t.closeIdle(n, CloseShutdown)
	}
	return t.actions
}

// pick is the idle slot to use, or nil: a fresh one is to be had then, or there is none.
func (t *Table) pick(now time.Duration, n *Endpoint, careful bool) *Slot {
	var best, unsure *Slot
	for i := len(n.idle) - 1; i >= 0; i-- {
		s := n.idle[i]
		if s.resting || t.young(now, s) {
			continue
		}
		if why, ends := t.expired(now, s); ends {
			t.close(s, why)
			continue
		}
		suspect := s.proven < n.suspect
		if careful && (suspect || now-s.came > t.sure(now, n)) {
			if !suspect && (unsure == nil || s.came > unsure.came) {
				unsure = s
			}
			continue
		}
		if best == nil || t.before(s, best, suspect, best.proven < n.suspect) {
			best = s
		}
		if t.set.ReuseOrder == MostRecentlyUsed && now-n.suspect > t.idleFull() { // nothing that is suspect is left
			break
		}
	}
	if best == nil && !t.room(n) {
		return unsure
	}
	return best
}

// before reports whether s goes first. What is suspect is tried first, with what may be repeated.
func (t *Table) before(s, best *Slot, suspect, bestSuspect bool) bool {
	if suspect != bestSuspect {
		return suspect
	}
	switch t.set.ReuseOrder {
	case LeastRecentlyUsed:
		return s.came < best.came || s.came == best.came && s.opened < best.opened
	case FewestRequests:
		return s.uses < best.uses
	}
	return false // the walk begins at the newest
}

func (t *Table) hand(now time.Duration, s *Slot) {
	t.take(s)
	s.inUse = true
	s.stood = now - s.came
	if s.uses > 0 {
		t.counts.Reused++
	}
	if s.ahead {
		s.ahead = false
		t.counts.PreopenedUsed++
	}
	s.uses++
}

// take removes a slot from its idle list.
func (t *Table) take(s *Slot) {
	if !s.takeable {
		return
	}
	s.takeable = false
	t.rises(s)
	t.idle--
	i := slices.Index(s.Endpoint.idle, s)
	s.Endpoint.idle = slices.Delete(s.Endpoint.idle, i, i+1)
}

// free takes a slot that has come free: for who waits, or among the idle ones.
func (t *Table) free(now time.Duration, s *Slot) { t.freeSince(now, s, now) }

// freeSince is free with a slot that has stood idle since then: one that was handed out and not used.
func (t *Table) freeSince(now time.Duration, s *Slot, came time.Duration) {
	n := s.Endpoint
	s.inUse = false
	s.came = came
	if !n.ready {
		t.close(s, CloseRetired)
		return
	}
	if why, ends := t.expired(now, s); ends {
		t.close(s, why)
		return
	}
	if t.open+t.opening > t.set.MaxConnections || n.places > t.set.MaxPerEndpoint || len(n.waiters) > 0 && t.starving(n) {
		t.close(s, CloseCapacity)
		return
	}
	at, _ := slices.BinarySearchFunc(n.idle, came, func(other *Slot, came time.Duration) int {
		if other.came <= came {
			return -1
		}
		return 1
	})
	n.idle = slices.Insert(n.idle, at, s)
	s.takeable = true
	t.idle++
	if t.young(now, s) {
		t.rest(now, n)
		return
	}
	t.give(now, s)
}

// close closes a slot that is open.
func (t *Table) close(s *Slot, why CloseReason) {
	t.take(s)
	s.inUse = false
	t.open--
	t.counts.Closed[why]++
	if s.ahead {
		t.counts.PreopenedWasted++
	}
	t.leave(s.Endpoint)
	t.act(Action{Kind: Close, Slot: s, CloseReason: why})
}

// leave frees a place.
func (t *Table) leave(n *Endpoint) {
	n.places--
	t.forget(n)
}

// forget drops a node whose life is over once nothing is left of it.
func (t *Table) forget(n *Endpoint) {
	if !n.retired || n.places > 0 || n.at < 0 {
		return
	}
	last := len(t.nodes) - 1
	t.nodes[n.at] = t.nodes[last]
	t.nodes[n.at].at = n.at
	t.nodes[last] = nil
	t.nodes = t.nodes[:last]
	n.at = -1
}

func (t *Table) closeIdle(n *Endpoint, why CloseReason) {
	for len(n.idle) > 0 {
		t.close(n.idle[len(n.idle)-1], why)
	}
}
