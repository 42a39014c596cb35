package pool

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// tableModel performs a table's actions and checks each of them against the table's invariants.
type tableModel struct {
	t         *rapid.T
	table     *Table
	settings  Settings
	now       time.Duration
	endpoints []*Endpoint
	retired   map[*Endpoint]bool
	opening   []*Slot
	used      []*Slot
	delayed   []*Slot // slots for which QuarantineEnded is due
	open      map[*Slot]bool
	waiting   map[*Waiter]bool

	lastOutcome ReleaseOutcome // highest outcome that a release may draw
}

// randomSettings draws settings with low limits, so that each of them is often reached.
func randomSettings(t *rapid.T) Settings {
	settings := DefaultSettings(rapid.IntRange(1, 12).Draw(t, "max connections"))
	settings.MaxPerEndpoint = rapid.IntRange(1, 6).Draw(t, "max per endpoint")
	settings.MaxHandshakes = rapid.IntRange(1, 4).Draw(t, "max handshakes")
	settings.MaxHandshakesPerEndpoint = rapid.IntRange(1, 3).Draw(t, "max handshakes per endpoint")
	settings.MaxWaiters = rapid.IntRange(0, 8).Draw(t, "max waiters")
	settings.ReuseOrder = ReuseOrder(rapid.IntRange(0, 2).Draw(t, "reuse order"))
	settings.MaxRequests = rapid.IntRange(0, 3).Draw(t, "max requests")
	settings.MaxAge = time.Duration(rapid.IntRange(0, 2).Draw(t, "max age")) * time.Second
	settings.AgeJitter, settings.CloseSuspect = 0.5, rapid.Bool().Draw(t, "close suspect")
	settings.PreopenRate = float64(rapid.IntRange(0, 1).Draw(t, "preopen")) * 100
	return settings
}

func newTableModel(t *rapid.T, settings Settings) *tableModel {
	return &tableModel{
		t:        t,
		table:    NewTable(settings, 1),
		settings: settings,
		now:      time.Second,
		retired:  map[*Endpoint]bool{},
		open:     map[*Slot]bool{},
		waiting:  map[*Waiter]bool{},

		lastOutcome: Abandoned,
	}
}

// execute performs actions and checks that each is allowed.
func (m *tableModel) execute(actions []Action) {
	m.t.Helper()
	for _, action := range actions {
		switch action.Kind {
		case Open:
			if !action.Slot.Endpoint.ready {
				m.t.Fatal("handshake with an endpoint that is not ready")
			}
			m.opening = append(m.opening, action.Slot)
		case Close:
			if !m.open[action.Slot] {
				m.t.Fatalf("closed a connection that is not open, for %v", action.CloseReason)
			}
			delete(m.open, action.Slot)
		case Grant:
			m.checkGrant(action.Slot, action.Waiter.endpoint, action.Waiter.nonIdempotent)
			m.checkResult(action.Waiter)
		case Reject:
			m.checkResult(action.Waiter)
		case ScheduleQuarantineEnd:
			if action.Delay <= 0 || action.Delay > m.settings.Quarantine {
				m.t.Fatalf("quarantine delay %v is out of range", action.Delay)
			}
			m.delayed = append(m.delayed, action.Slot)
		}
	}
}

// checkResult checks that a waiter gets only one result.
func (m *tableModel) checkResult(waiter *Waiter) {
	m.t.Helper()
	if waiter.endpoint == nil {
		return // rejected immediately
	}
	if !m.waiting[waiter] {
		m.t.Fatal("result for a request that is not waiting")
	}
	delete(m.waiting, waiter)
}

// checkGrant checks that a connection may be granted to a request.
func (m *tableModel) checkGrant(slot *Slot, endpoint *Endpoint, nonIdempotent bool) {
	m.t.Helper()
	if !m.open[slot] || slot.Endpoint != endpoint || !endpoint.ready || m.retired[endpoint] {
		m.t.Fatal("granted a connection that is closed, of another incarnation, or of an endpoint that is not ready")
	}
	if slices.Contains(m.used, slot) {
		m.t.Fatal("granted a connection that is in use")
	}
	if slot.answeredAt > 0 && m.now-slot.answeredAt < m.settings.Quarantine {
		m.t.Fatal("granted a connection in quarantine")
	}
	if nonIdempotent && slot.lastSuccessAt < endpoint.suspects.since {
		m.t.Fatal("granted a suspect connection to a non-idempotent request")
	}
	m.used = append(m.used, slot)
}

// check compares the table's counters with the model and with the limits.
func (m *tableModel) check() {
	m.t.Helper()
	stats := m.table.Stats()
	if stats.Open != len(m.open) || stats.Opening != len(m.opening) || stats.Waiting != len(m.waiting) || stats.Open-stats.Idle != len(m.used) {
		m.t.Fatalf("the table counts %+v; the model has %d open, %d opening, %d waiting, %d in use",
			stats, len(m.open), len(m.opening), len(m.waiting), len(m.used))
	}
	if stats.Open+stats.Opening > m.settings.MaxConnections || stats.Opening > m.settings.MaxHandshakes || stats.Waiting > m.settings.MaxWaiters {
		m.t.Fatalf("above a limit: %+v", stats)
	}
	for _, endpoint := range m.table.endpoints {
		m.checkEndpoint(endpoint)
	}
}

func (m *tableModel) checkEndpoint(endpoint *Endpoint) {
	m.t.Helper()
	if endpoint.connections > m.settings.MaxPerEndpoint || endpoint.handshakes > m.settings.MaxHandshakesPerEndpoint {
		m.t.Fatalf("above a limit per endpoint: %d connections, %d handshakes", endpoint.connections, endpoint.handshakes)
	}
	if len(endpoint.waiters) > endpoint.handshakes+endpoint.awaitedInQuarantine && m.table.canStartHandshake(endpoint) {
		m.t.Fatal("a request waits although a handshake could start")
	}
	awaited := 0
	for _, slot := range endpoint.idle {
		if slot.awaitedInQuarantine {
			awaited++
			if !slices.Contains(m.delayed, slot) {
				m.t.Fatal("a connection in quarantine is awaited, but no QuarantineEnded is scheduled")
			}
		}
	}
	if awaited != endpoint.awaitedInQuarantine {
		m.t.Fatalf("%d connections in quarantine are awaited, the endpoint counts %d", awaited, endpoint.awaitedInQuarantine)
	}
	if !endpoint.ready && (len(endpoint.waiters) > 0 || len(endpoint.idle) > 0) {
		m.t.Fatal("an endpoint that is not ready has waiters or idle connections")
	}
}

// takeAny removes a randomly drawn element and returns it.
func takeAny[T any](t *rapid.T, from *[]T) (x T, ok bool) {
	t.Helper()
	if len(*from) == 0 {
		return x, false
	}
	i := rapid.IntRange(0, len(*from)-1).Draw(t, "which")
	x = (*from)[i]
	*from = append((*from)[:i], (*from)[i+1:]...)
	return x, true
}

func (m *tableModel) addReadyEndpoint() {
	endpoint := m.table.AddEndpoint(m.now, fmt.Sprint(len(m.endpoints)+len(m.retired)+1), "", 0)
	m.endpoints = append(m.endpoints, endpoint)
	m.execute(m.table.SetReady(m.now, endpoint, true))
}

func (m *tableModel) anyEndpoint(t *rapid.T) *Endpoint {
	return m.endpoints[rapid.IntRange(0, len(m.endpoints)-1).Draw(t, "endpoint")]
}

// The events of the model. Some draw their arguments.

func (m *tableModel) acquire(t *rapid.T) {
	endpoint, nonIdempotent := m.anyEndpoint(t), rapid.Bool().Draw(t, "non-idempotent")
	slot, waiter, actions := m.table.Acquire(m.now, endpoint, nonIdempotent)
	if waiter != nil && waiter.endpoint != nil {
		m.waiting[waiter] = true
	}
	m.execute(actions)
	if slot != nil {
		m.checkGrant(slot, endpoint, nonIdempotent)
	}
}

func (m *tableModel) handshakeSucceeds(t *rapid.T) {
	if slot, ok := takeAny(t, &m.opening); ok {
		m.open[slot] = true
		m.execute(m.table.HandshakeSucceeded(m.now, slot))
	}
}

func (m *tableModel) handshakeFails(t *rapid.T) {
	if slot, ok := takeAny(t, &m.opening); ok {
		m.execute(m.table.HandshakeFailed(m.now, slot, false))
	}
}

func (m *tableModel) release(t *rapid.T) {
	if slot, ok := takeAny(t, &m.used); ok {
		m.execute(m.table.Release(m.now, slot, ReleaseOutcome(rapid.IntRange(0, int(m.lastOutcome)).Draw(t, "outcome"))))
	}
}

func (m *tableModel) discardStale(t *rapid.T) {
	if slot, ok := takeAny(t, &m.used); ok {
		m.execute(m.table.DiscardStale(m.now, slot))
	}
}

func (m *tableModel) cancel(*rapid.T) {
	for waiter := range m.waiting {
		m.table.Cancel(waiter)
		delete(m.waiting, waiter)
		return
	}
}

func (m *tableModel) setReady(t *rapid.T) {
	endpoint := m.anyEndpoint(t)
	m.execute(m.table.SetReady(m.now, endpoint, rapid.Bool().Draw(t, "ready")))
}

func (m *tableModel) restart(t *rapid.T) {
	endpoint, _ := takeAny(t, &m.endpoints)
	m.execute(m.table.Retire(m.now, endpoint))
	m.retired[endpoint] = true
	m.addReadyEndpoint()
}

// raiseLimits never lowers the limits: lower limits would hold only once the connections in use are released.
func (m *tableModel) raiseLimits(*rapid.T) {
	m.settings.MaxConnections, m.settings.MaxPerEndpoint = m.settings.MaxConnections+1, m.settings.MaxPerEndpoint+1
	m.execute(m.table.Configure(m.now, m.settings))
}

func (m *tableModel) quarantineEnds(t *rapid.T) {
	if slot, ok := takeAny(t, &m.delayed); ok {
		m.now = max(m.now, slot.answeredAt+m.settings.Quarantine)
		m.execute(m.table.QuarantineEnded(m.now, slot))
	}
}

func (m *tableModel) maintain(*rapid.T) { m.execute(m.table.Maintain(m.now, nil)) }

func (m *tableModel) timePasses(t *rapid.T) {
	m.now += time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond
}

// shutDown ends all connections and checks that the table is empty.
func (m *tableModel) shutDown(t *rapid.T) {
	for len(m.opening) > 0 {
		m.handshakeSucceeds(t)
	}
	m.execute(m.table.Shutdown())
	for len(m.used) > 0 {
		m.release(t)
	}
	for _, endpoint := range m.endpoints {
		m.execute(m.table.Retire(m.now, endpoint))
	}
	m.check()
	if len(m.open) > 0 || len(m.waiting) > 0 || len(m.table.endpoints) > 0 {
		t.Fatalf("left after shutdown: %d open, %d waiting, %d endpoints", len(m.open), len(m.waiting), len(m.table.endpoints))
	}
}

// events returns the events by name. rapid draws among the sorted names, so the names and the draws of each event must not change:
// the recorded history in testdata/rapid would replay as a different one.
func (m *tableModel) events() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"cancel":                 m.cancel,
		"configure":              m.raiseLimits,
		"done":                   m.release,
		"done again":             m.release,
		"drain or not":           m.setReady,
		"failed handshake":       m.handshakeFails,
		"opened":                 m.handshakeSucceeds,
		"restart":                m.restart,
		"resume from quarantine": m.quarantineEnds,
		"stale":                  m.discardStale,
		"tick":                   m.maintain,
		"time passes":            m.timePasses,
		"use a connection":       m.acquire,
		"use a connection again": m.acquire,
		"":                       func(*rapid.T) { m.check() },
	}
}

// Events occur in any order. Limits must hold, no request may get a closed connection or one in use, each waiter must get one
// result, and the table must be empty in the end.
func TestTableKeepsItsInvariantsOverAnyHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { checkHistory(newTableModel(t, randomSettings(t))) })
}

// Failed exchanges among the events make connections suspect. The same invariants must hold.
func TestTableKeepsItsInvariantsWithBrokenExchanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newTableModel(t, randomSettings(t))
		m.lastOutcome = Broken
		checkHistory(m)
	})
}

// checkHistory applies random events to a table with two endpoints, then shuts it down.
func checkHistory(m *tableModel) {
	m.t.Helper()
	m.addReadyEndpoint()
	m.addReadyEndpoint()
	m.t.Repeat(m.events())
	m.shutDown(m.t)
}
