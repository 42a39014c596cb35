package agent

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"ryeweir/internal/budget"
	"ryeweir/internal/config/operator"
	"ryeweir/internal/core"
	"ryeweir/internal/fleetstate"
	"ryeweir/internal/fleetstate/membership"
	"ryeweir/logic"
)

const (
	tellEvery  = 50 * time.Millisecond // own doubts, and what peers' word changes of the list
	mostDoubts = 1024
	mostParts  = 1024
	// confirmIn is how long peers' word that a server is ending goes before the own list's that it is ready.
	confirmIn = 10 * time.Second
)

// peers stands between discovery and the core where the agent talks with others: it takes the own list, lets what peers were
// told of it go before it for a while, and tells them what this agent is told and what goes wrong with its attempts. It is a
// discovery.Sink.
type peers struct {
	name   string
	set    operator.Peers
	core   *core.Core
	clock  core.Clock
	log    *slog.Logger
	member *membership.Member
	wake   chan struct{} // holds one: peers told something

	order sync.Mutex // of what the core is told of the list; taken before mu

	mu      sync.Mutex // guards what follows
	state   *fleetstate.Replica
	doubts  *fleetstate.FailureReporter
	overlay *fleetstate.DrainOverlay
	listed  map[string]listed
	parts   map[string]heardPart

	suspects map[string]bool // that the core was last told of; of run only
	saved    atomic.Int64    // times that a server was held back before the own list said so
	forged   atomic.Int64    // suspicions that came in this agent's name
	lag      lag             // of notices
}

// lag is how long facts took from when their first teller was told until they came here, by the two agents' clocks.
type lag struct {
	Count int64         `json:"count"`
	Sum   time.Duration `json:"sum_ns"`
	Most  time.Duration `json:"most_ns"`
}

func (l *lag) add(took time.Duration) {
	l.Count++
	l.Sum += took
	l.Most = max(l.Most, took)
}

// listed is a server as the own list has it.
type listed struct {
	core.Endpoint
	since time.Duration // when this life of it was first listed
}

// life is the life of a server that is listed, as all agents name it: each has a clock of its own.
func (p *peers) life(m core.Endpoint) fleetstate.Incarnation {
	return fleetstate.Incarnation{Server: m.ID, Started: m.StartedUnixMilli}
}

type heardPart struct {
	number uint64
	part   budget.PeerState
	at     time.Time
}

// newPeers begins to listen for peers; run does the rest.
func newPeers(name string, set operator.Peers, clock core.Clock, log *slog.Logger) (*peers, error) {
	p := &peers{name: name, set: set, clock: clock, log: log, wake: make(chan struct{}, 1), state: fleetstate.NewReplica(fleetstate.DefaultLimits()),
		doubts: fleetstate.NewFailureReporter(mostDoubts), overlay: fleetstate.NewDrainOverlay(confirmIn), listed: map[string]listed{},
		parts: map[string]heardPart{}, suspects: map[string]bool{}}
	cfg := membership.Config{Name: name, Bind: set.Bind, Advertise: set.Advertise, Seeds: set.Seeds, Label: set.Label, Timing: membership.DefaultTiming(),
		Handler: p, Logger: log}
	if set.KeyFile != "" {
		var err error
		if cfg.EncryptionKey, err = os.ReadFile(set.KeyFile); err != nil {
			return nil, fmt.Errorf("peers: the key: %w", err)
		}
	}
	m, err := membership.Start(cfg)
	if err != nil {
		return nil, err
	}
	p.member = m
	return p, nil
}

// UpdateEndpoints takes the own list or a change of it.
func (p *peers) UpdateEndpoints(l core.EndpointList) {
	p.order.Lock()
	defer p.order.Unlock()
	now := p.clock.Now()
	p.mu.Lock()
	named := map[string]bool{}
	var tell []fleetstate.Fact
	end := func(life fleetstate.Incarnation, state int64) {
		if p.set.ShareFacts {
			key := fleetstate.Key{Kind: fleetstate.Notice, Server: life.Server, Started: life.Started, Origin: p.name}
			if f, fresh := p.state.Put(time.Now(), key, state, p.name); fresh {
				tell = append(tell, f)
			}
		}
	}
	for _, m := range l.Endpoints {
		named[m.ID] = true
		old, known := p.listed[m.ID]
		next := listed{m, now}
		switch {
		case known && p.life(old.Endpoint) == p.life(m):
			next.since = old.since
		case known && m.StartedAt > old.StartedAt: // who is not told takes the new process, which is cold, for the one before
			end(p.life(old.Endpoint), fleetstate.Removed)
		}
		switch m.State {
		case logic.Removed:
			if known {
				end(p.life(old.Endpoint), fleetstate.Removed)
			}
			delete(p.listed, m.ID)
			continue
		case logic.Draining:
			end(p.life(m), fleetstate.Draining)
		}
		p.listed[m.ID] = next
	}
	if l.Full {
		for id, old := range p.listed {
			if !named[id] {
				end(p.life(old.Endpoint), fleetstate.Removed)
				delete(p.listed, id)
			}
		}
	}
	changed := p.hold()
	out := core.EndpointList{Full: l.Full}
	for _, m := range l.Endpoints {
		out.Endpoints = append(out.Endpoints, p.shown(m))
		delete(changed, m.ID)
	}
	p.mu.Unlock()
	p.member.Broadcast(tell)
	p.core.UpdateEndpoints(out)
	p.setChanged(changed)
}

// DiscoveryUnavailable passes on that the own list could not be had.
func (p *peers) DiscoveryUnavailable() { p.core.DiscoveryUnavailable() }

// shown is a server of the own list as the core is to know it. The lock is held.
func (p *peers) shown(m core.Endpoint) core.Endpoint {
	if m.State == logic.Ready && p.overlay.Drained(p.life(m)) {
		m.State = logic.Draining
	}
	return m
}

// hold asks anew what peers' word holds back, and returns the servers of which that has changed. The lock is held.
func (p *peers) hold() map[string]core.Endpoint {
	ready, before := map[fleetstate.Incarnation]bool{}, map[string]bool{}
	for id, l := range p.listed {
		if l.State == logic.Ready {
			ready[p.life(l.Endpoint)] = true
			before[id] = p.overlay.Drained(p.life(l.Endpoint))
		}
	}
	now := time.Now()
	_, differs := p.overlay.Update(now, ready, p.state.ConfirmedNotices(now))
	if !differs {
		return nil
	}
	changed := map[string]core.Endpoint{}
	for id, was := range before {
		if is := p.overlay.Drained(p.life(p.listed[id].Endpoint)); is != was {
			changed[id] = p.listed[id].Endpoint
			if is {
				p.saved.Add(1)
			}
		}
	}
	return changed
}

// setChanged tells the core of servers that are held back now, or no more. The order is held.
func (p *peers) setChanged(changed map[string]core.Endpoint) {
	if len(changed) == 0 {
		return
	}
	var l core.EndpointList
	p.mu.Lock()
	for _, m := range changed {
		l.Endpoints = append(l.Endpoints, p.shown(m))
	}
	p.mu.Unlock()
	p.core.UpdateEndpoints(l)
}

// observe counts how an attempt went, for the core.
func (p *peers) observe(server string, sent time.Duration, well bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l, ok := p.listed[server]; ok && sent >= l.since { // else it went to the life before
		p.doubts.AttemptEnded(p.life(l.Endpoint), well)
	}
}

// MergeFacts takes in facts that a peer told.
func (p *peers) MergeFacts(facts []fleetstate.Fact) []fleetstate.Fact {
	if !p.set.ShareFacts {
		return nil
	}
	p.mu.Lock()
	now := time.Now()
	var fresh, ours []fleetstate.Fact
	for i, f := range facts {
		life := fleetstate.Incarnation{Server: f.Server, Started: f.Started}
		said := p.state.NoticeState(life)
		if got := p.state.Merge(now, facts[i:i+1]); len(got) > 0 {
			fresh = append(fresh, got...)
			if p.state.NoticeState(life) > said { // now it is believed
				p.lag.add(now.Sub(p.state.FirstNoticed(life)))
			}
			// Nobody but us says what we suspect: what another says in our name, or what we said in an earlier life, we take back.
			if f.Kind == fleetstate.Suspicion && f.Origin == p.name {
				p.forged.Add(1)
				if own, fresh := p.state.Put(now, f.Key, p.doubts.LastReported(life), p.name); fresh {
					ours = append(ours, own)
				}
			}
		}
	}
	p.mu.Unlock()
	p.member.Broadcast(ours)
	if len(fresh) > 0 {
		select {
		case p.wake <- struct{}{}:
		default:
		}
	}
	return fresh
}

// Facts is the replica.
func (p *peers) Facts() []fleetstate.Fact {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state.Expire(time.Now())
	return p.state.Facts()
}

// UpdatePeerState takes in a peer's part of the fleet's level.
func (p *peers) UpdatePeerState(from string, number uint64, part budget.PeerState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old, known := p.parts[from]
	if number > old.number && (known || len(p.parts) < mostParts) {
		p.parts[from] = heardPart{number, part, time.Now()}
	}
}

// run talks with peers until the context ends.
func (p *peers) run(ctx context.Context) {
	var all sync.WaitGroup
	defer all.Wait()
	all.Go(func() { p.member.Run(ctx) })
	tell, level := time.NewTicker(tellEvery), time.NewTicker(budget.GossipInterval)
	defer tell.Stop()
	defer level.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.wake:
			p.apply()
		case <-tell.C:
			p.tellDoubts()
			p.apply()
		case <-level.C:
			p.exchange()
			p.repeat()
		}
	}
}

// apply brings the core's list up to what peers' word holds back.
func (p *peers) apply() {
	p.order.Lock()
	defer p.order.Unlock()
	p.mu.Lock()
	changed := p.hold()
	p.mu.Unlock()
	p.setChanged(changed)
}

func (p *peers) tellDoubts() {
	if !p.set.ShareFacts {
		return
	}
	now := time.Now()
	var tell []fleetstate.Fact
	p.mu.Lock()
	p.state.Expire(now)
	for _, t := range p.doubts.Reports(now, len(p.listed), fleetstate.DefaultLimits().SuspicionTTL) {
		key := fleetstate.Key{Kind: fleetstate.Suspicion, Server: t.Server, Started: t.Started, Origin: p.name}
		if f, fresh := p.state.Put(now, key, t.Failures, p.name); fresh {
			tell = append(tell, f)
		}
	}
	p.mu.Unlock()
	p.member.Broadcast(tell)
}

// exchange hands the peers' parts of the level to the budget and sends ours.
func (p *peers) exchange() {
	if !p.set.ShareBudget {
		return
	}
	there := p.member.Peers()
	var parts []budget.PeerState
	p.mu.Lock()
	for from, h := range p.parts {
		if time.Since(h.at) > budget.PeerStateTTL {
			delete(p.parts, from)
		}
	}
	for _, name := range there { // one that has gone no longer counts, however lately it told
		if h, ok := p.parts[name]; ok {
			parts = append(parts, h.part)
		}
	}
	p.mu.Unlock()
	if own, ok := p.core.ExchangePeerState(parts, len(there)); ok {
		p.member.SendPeerState(own, budget.GossipFanout)
	}
}

// repeat tells the module whom the others suspect.
func (p *peers) repeat() {
	there := map[string]bool{} // but this agent: it knows its own
	for _, name := range p.member.Peers() {
		there[name] = true
	}
	p.mu.Lock()
	is := map[string]bool{}
	for life := range p.state.Suspected(time.Now(), there, len(p.listed)) {
		if l, ok := p.listed[life.Server]; ok && p.life(l.Endpoint) == life {
			is[l.ID] = true
		}
	}
	p.mu.Unlock()
	for id := range p.suspects {
		if !is[id] {
			p.core.PeerReport(id, false)
		}
	}
	for id := range is {
		p.core.PeerReport(id, true)
	}
	p.suspects = is
}

// peerFigures are what operators read of it.
type peerFigures struct {
	membership.Stats
	Facts     fleetstate.Stats `json:"facts"`
	Digest    string           `json:"digest"`          // of the notices held: equal at agents whose copies agree
	HeldBack  int64            `json:"held_back"`       // times that a server got nothing new on peers' word, before the own list's
	Withheld  int64            `json:"doubts_withheld"` // looks at which this agent doubted most servers, and so itself
	Forged    int64            `json:"forged"`          // suspicions that came in this agent's name and were taken back
	Parts     int              `json:"parts"`           // peers whose part of the level is known
	PeerNames []string         `json:"names"`
	Notices   lag              `json:"notices"` // of drains and ends, as they came from peers
}

func (p *peers) figures() any {
	p.mu.Lock()
	defer p.mu.Unlock()
	return peerFigures{p.member.Stats(), p.state.Stats(), strconv.FormatUint(p.state.Digest(time.Now()), 16), p.saved.Load(), p.doubts.WithheldScans, p.forged.Load(), len(p.parts), p.member.Peers(), p.lag}
}
