package pool

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Table decides which connection a request gets, which are opened and closed, and who waits. It does no I/O and reads no clock.
//
// Each event method takes the time, which must not go back, and returns actions that must be carried out in order before the next
// event. The returned slice is valid until that event. A Table is not safe for concurrent use.
//
// Invariants:
//   - A slot is in exactly one state: opening (until HandshakeSucceeded or HandshakeFailed), idle, in use, or closed.
//   - A slot is granted to one request at a time, and only while its endpoint is ready.
//   - A waiter gets one Grant or one Reject, unless Cancel comes before.
//   - If an endpoint has more waiters than handshakes and connections awaited in quarantine, no handshake with it may begin.
type Table struct {
	settings     Settings
	rng          *rand.Rand
	endpoints    []*Endpoint // listed, or with slots
	open         int         // slots that are open
	opening      int         // slots whose handshake is under way
	idle         int
	waiting      int
	nextSequence uint64 // of the next waiter
	actions      []Action
	stats        Stats
}

// NewTable returns a table. Its random draws follow from the seed.
func NewTable(settings Settings, seed uint64) *Table {
	return &Table{settings: settings, rng: rand.New(rand.NewPCG(seed, 2))}
}

// begin starts an event.
func (t *Table) begin() { t.actions = t.actions[:0] }

func (t *Table) act(action Action) { t.actions = append(t.actions, action) }

// places is how many of Settings.MaxConnections are taken.
func (t *Table) places() int { return t.open + t.opening }

// AddEndpoint adds an incarnation of an endpoint, which is not ready. startedAt is when it started, 0 for long ago; a start in the
// future counts as now.
func (t *Table) AddEndpoint(now time.Duration, id, addr string, startedAt time.Duration) *Endpoint {
	endpoint := &Endpoint{
		ID:        id,
		Addr:      addr,
		startedAt: min(startedAt, now),
		index:     len(t.endpoints),
		idleLimit: idleLimit{lowered: t.settings.configuredIdleLimit(), loweredAt: now},
		demand:    demand{rateAt: now},
	}
	t.endpoints = append(t.endpoints, endpoint)
	// All agents learn of a start at once: the first connection in advance comes at a random time.
	endpoint.demand.nextPreopen = now + time.Duration(t.rng.Float64()*float64(t.preopenInterval(now, endpoint)))
	return endpoint
}

// Configure replaces the settings. Idle connections over the new limits are closed at once, those in use when they are released.
func (t *Table) Configure(now time.Duration, settings Settings) []Action {
	t.begin()
	t.settings = settings
	for _, endpoint := range t.endpoints {
		for len(endpoint.idle) > 0 && (t.places() > settings.MaxConnections || endpoint.connections > settings.MaxPerEndpoint) {
			t.close(endpoint.idle[0], CloseCapacity)
		}
	}
	t.startHandshakes(now)
	return t.actions
}

// SetReady says whether an endpoint may get new requests. If not, its waiters are rejected and its idle connections closed; those
// in use close when they are released.
func (t *Table) SetReady(now time.Duration, endpoint *Endpoint, ready bool) []Action {
	t.begin()
	if endpoint.ready && !ready {
		endpoint.notReadySince = now
	}
	endpoint.ready = ready
	if !ready {
		t.rejectWaiters(endpoint, RejectNotReady)
		t.closeIdle(endpoint, CloseRetired)
		t.startHandshakes(now)
	}
	return t.actions
}

// Retire ends an incarnation of an endpoint: it is not ready from then on, and is dropped with its last connection.
func (t *Table) Retire(now time.Duration, endpoint *Endpoint) []Action {
	t.SetReady(now, endpoint, false)
	endpoint.retired = true
	t.dropFinished(endpoint)
	return t.actions
}

// dropFinished drops an endpoint of which nothing is left. The last one takes its index.
func (t *Table) dropFinished(endpoint *Endpoint) {
	if !endpoint.finished() || endpoint.index < 0 {
		return
	}
	last := len(t.endpoints) - 1
	t.endpoints[endpoint.index] = t.endpoints[last]
	t.endpoints[endpoint.index].index = endpoint.index
	t.endpoints[last] = nil
	t.endpoints = t.endpoints[:last]
	endpoint.index = -1
}

// Maintain closes idle connections that must not be used again, and opens connections in advance. stale are idle slots that were
// found closed or with unexpected bytes to read. It is to be called about once a second.
func (t *Table) Maintain(now time.Duration, stale []*Slot) []Action {
	t.begin()
	for _, slot := range stale {
		if slot.inIdleList {
			slot.Endpoint.idleLimit.recordClose(&t.settings, now, now-slot.idleSince)
			t.close(slot, CloseStale)
		}
	}
	for _, endpoint := range slices.Clone(t.endpoints) {
		t.closeExpired(now, endpoint)
		t.preopen(now, endpoint)
	}
	t.startHandshakes(now)
	return t.actions
}

// closeExpired closes the idle slots of an endpoint that must not be used again. Each is known to be open still.
func (t *Table) closeExpired(now time.Duration, endpoint *Endpoint) {
	for _, slot := range slices.Clone(endpoint.idle) {
		endpoint.idleLimit.recordSurvival(&t.settings, now, now-slot.idleSince)
		if reason, expired := t.expired(now, slot); expired {
			t.close(slot, reason)
		}
	}
}

// AppendIdle appends the idle slots to a slice and returns it.
func (t *Table) AppendIdle(slots []*Slot) []*Slot {
	for _, endpoint := range t.endpoints {
		slots = append(slots, endpoint.idle...)
	}
	return slots
}

// Shutdown closes all idle connections and rejects all waiters. Connections in use close when they are released.
func (t *Table) Shutdown() []Action {
	t.begin()
	for _, endpoint := range slices.Clone(t.endpoints) {
		endpoint.ready = false
		t.rejectWaiters(endpoint, RejectNotReady)
		t.closeIdle(endpoint, CloseShutdown)
	}
	return t.actions
}
