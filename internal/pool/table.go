package pool

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Table decides which connection a request gets, which connections are opened and closed, and which requests wait. It does no I/O
// and reads no clock.
//
// Each event method takes the current time, which must not decrease, and returns actions that the caller must execute in order
// before the next event. The returned slice is valid until then. A Table is not safe for concurrent use.
//
// Invariants:
//   - A slot is in exactly one state: opening (until HandshakeSucceeded or HandshakeFailed), idle, in use, or closed.
//   - A slot is granted to one request at a time, and only while its endpoint is ready.
//   - A waiter gets exactly one Grant or Reject, unless Cancel is called before.
//   - If an endpoint has more waiters than handshakes and connections awaited in quarantine, no further handshake with it may start.
type Table struct {
	settings     Settings
	rng          *rand.Rand
	endpoints    []*Endpoint // those that are not retired, and retired ones that still have connections
	open         int         // open slots, idle or in use
	opening      int         // slots with a handshake in progress
	idle         int         // idle slots; open includes them
	waiting      int         // waiters of all endpoints
	nextSequence uint64      // sequence number of the next waiter
	actions      []Action
	stats        Stats
}

// NewTable returns a table. The seed determines its random draws.
func NewTable(settings Settings, seed uint64) *Table {
	return &Table{settings: settings, rng: rand.New(rand.NewPCG(seed, 2))}
}

// beginEvent clears the actions of the previous event.
func (t *Table) beginEvent() { t.actions = t.actions[:0] }

// emit adds an action to those that the current event returns.
func (t *Table) emit(action Action) { t.actions = append(t.actions, action) }

// connectionCount returns how many connections are open or opening, for comparison with Settings.MaxConnections.
func (t *Table) connectionCount() int { return t.open + t.opening }

// AddEndpoint adds an incarnation of an endpoint. It is not ready until SetReady. startedAt is its start time, 0 if it started long
// ago; a start time in the future is replaced by now.
func (t *Table) AddEndpoint(now time.Duration, id, addr string, startedAt time.Duration) *Endpoint {
	endpoint := &Endpoint{
		ID:        id,
		Addr:      addr,
		startedAt: min(startedAt, now),
		index:     len(t.endpoints),
		idleLimit: idleLimit{learned: t.settings.configuredIdleLimit(), learnedAt: now},
		demand:    demand{rateAt: now},
	}
	t.endpoints = append(t.endpoints, endpoint)
	// All agents learn of a new endpoint at the same moment, so each opens its first connection in advance at a random time.
	endpoint.demand.nextPreopen = now + time.Duration(t.rng.Float64()*float64(t.preopenInterval(now, endpoint)))
	return endpoint
}

// Configure replaces the settings. Idle connections above the new limits are closed at once, those in use when they are released.
func (t *Table) Configure(now time.Duration, settings Settings) []Action {
	t.beginEvent()
	t.settings = settings
	for _, endpoint := range t.endpoints {
		for len(endpoint.idle) > 0 && (t.connectionCount() > settings.MaxConnections || endpoint.connections > settings.MaxPerEndpoint) {
			t.close(endpoint.idle[0], CloseCapacity)
		}
	}
	t.startHandshakes(now)
	return t.actions
}

// SetReady sets whether an endpoint accepts new requests. If it does not, its waiters are rejected and its idle connections are
// closed; those in use are closed when they are released.
func (t *Table) SetReady(now time.Duration, endpoint *Endpoint, ready bool) []Action {
	t.beginEvent()
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

// Retire ends an incarnation of an endpoint. It is no longer ready, and is removed from the table once its last connection is
// closed.
func (t *Table) Retire(now time.Duration, endpoint *Endpoint) []Action {
	t.SetReady(now, endpoint, false)
	endpoint.retired = true
	t.removeIfUnused(endpoint)
	return t.actions
}

// removeIfUnused removes a retired endpoint that has no connection left. The last endpoint moves to its index.
func (t *Table) removeIfUnused(endpoint *Endpoint) {
	if !endpoint.removable() || endpoint.index < 0 {
		return
	}
	last := len(t.endpoints) - 1
	t.endpoints[endpoint.index] = t.endpoints[last]
	t.endpoints[endpoint.index].index = endpoint.index
	t.endpoints[last] = nil
	t.endpoints = t.endpoints[:last]
	endpoint.index = -1
}

// Maintain closes idle connections that must not be reused and opens connections in advance. stale lists the idle slots that were
// found closed or with unexpected bytes to read. The owner calls Maintain about once a second.
func (t *Table) Maintain(now time.Duration, stale []*Slot) []Action {
	t.beginEvent()
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

// closeExpired closes the idle slots of an endpoint that must not be reused. The caller has checked that each is still open.
func (t *Table) closeExpired(now time.Duration, endpoint *Endpoint) {
	for _, slot := range slices.Clone(endpoint.idle) {
		endpoint.idleLimit.recordSurvival(&t.settings, now, now-slot.idleSince)
		if reason, expired := t.expired(now, slot); expired {
			t.close(slot, reason)
		}
	}
}

// AppendIdle appends all idle slots to slots and returns the result.
func (t *Table) AppendIdle(slots []*Slot) []*Slot {
	for _, endpoint := range t.endpoints {
		slots = append(slots, endpoint.idle...)
	}
	return slots
}

// Shutdown closes all idle connections and rejects all waiters. Connections in use are closed when they are released.
func (t *Table) Shutdown() []Action {
	t.beginEvent()
	for _, endpoint := range slices.Clone(t.endpoints) {
		endpoint.ready = false
		t.rejectWaiters(endpoint, RejectNotReady)
		t.closeIdle(endpoint, CloseShutdown)
	}
	return t.actions
}
