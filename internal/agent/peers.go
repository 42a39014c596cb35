package agent

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"strconv"
	"sync"
	"time"

	"ryeweir/internal/budget"
	"ryeweir/internal/config/operator"
	"ryeweir/internal/core"
	"ryeweir/internal/fleetstate"
	"ryeweir/internal/fleetstate/membership"
)

const (
	// gossipInterval is how often new suspicions are sent to peers and the overlay of drains is brought up to date.
	gossipInterval = 50 * time.Millisecond
	// maxTrackedEndpoints limits the endpoints whose failures are counted.
	maxTrackedEndpoints = 1024
	// maxPeerStates limits the peers whose budget state is stored.
	maxPeerStates = 1024
	// drainConfirmation is how long a drain that peers report overrides this agent's own endpoint list. If the list has not
	// confirmed it by then, the list is right.
	drainConfirmation = 10 * time.Second
)

// peers exchanges facts and budget states with the other agents of a fleet. It stands between discovery and the core, so that a
// drain that peers report earlier than this agent's own endpoint list takes effect at once.
//
//   - Endpoint lists (peers_endpoints.go) pass through it to the core. What they say of drains and removals is sent to peers.
//   - Facts (peers_facts.go) from peers are merged into a replica.
//   - Failures of attempts (peers_failures.go) are reported to peers as suspicions, and theirs to the decision module.
//   - Budget states (peers_budget.go) are exchanged with those of peers.
//
// It implements discovery.Sink and membership.Handler.
type peers struct {
	name         string // of this agent
	settings     operator.Peers
	core         *core.Core // set before run
	clock        core.Clock
	member       *membership.Member
	factsChanged chan struct{} // buffered; holds one signal for run

	// updates makes the core receive endpoint lists in the order in which they were computed. It is taken before mu.
	updates sync.Mutex

	mu               sync.Mutex // guards what follows
	replica          *fleetstate.Replica
	failures         *fleetstate.FailureReporter
	overlay          *fleetstate.DrainOverlay
	endpoints        map[string]listedEndpoint // by id, as this agent's own list has them
	budgetStates     map[string]receivedBudgetState
	drainedEarly     int64 // drains that took effect before the own list reported them
	forgedSuspicions int64 // suspicions that came under this agent's name and were corrected
	noticeDelay      delayStats

	// reportedUnhealthy has the endpoints that were last reported to the core as unhealthy. It is owned by run.
	reportedUnhealthy map[string]bool
}

// newPeers begins to listen for peers. Nothing is sent until run.
func newPeers(name string, settings operator.Peers, clock core.Clock, log *slog.Logger) (*peers, error) {
	p := &peers{
		name:              name,
		settings:          settings,
		clock:             clock,
		factsChanged:      make(chan struct{}, 1),
		replica:           fleetstate.NewReplica(fleetstate.DefaultLimits()),
		failures:          fleetstate.NewFailureReporter(maxTrackedEndpoints),
		overlay:           fleetstate.NewDrainOverlay(drainConfirmation),
		endpoints:         map[string]listedEndpoint{},
		budgetStates:      map[string]receivedBudgetState{},
		reportedUnhealthy: map[string]bool{},
	}
	cfg := membership.Config{
		Name:      name,
		Bind:      settings.Bind,
		Advertise: settings.Advertise,
		Seeds:     settings.Seeds,
		Label:     settings.Label,
		Timing:    membership.DefaultTiming(),
		Handler:   p,
		Logger:    log,
	}
	if settings.KeyFile != "" {
		key, err := os.ReadFile(settings.KeyFile)
		if err != nil {
			return nil, fmt.Errorf("peers: the key: %w", err)
		}
		cfg.EncryptionKey = key
	}
	member, err := membership.Start(cfg)
	if err != nil {
		return nil, err
	}
	p.member = member
	return p, nil
}

// run exchanges facts and budget states until the context ends.
func (p *peers) run(ctx context.Context) {
	var member sync.WaitGroup
	defer member.Wait()
	member.Go(func() { p.member.Run(ctx) })
	gossip, exchange := time.NewTicker(gossipInterval), time.NewTicker(budget.GossipInterval)
	defer gossip.Stop()
	defer exchange.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.factsChanged:
			p.refreshOverlay()
		case <-gossip.C:
			p.broadcastSuspicions()
			p.refreshOverlay()
		case <-exchange.C:
			p.exchangeBudgetStates()
			p.reportSuspected()
		}
	}
}

// incarnation identifies a listed endpoint in the same way for all agents, whose clocks differ.
func incarnation(endpoint core.Endpoint) fleetstate.Incarnation {
	return fleetstate.Incarnation{Server: endpoint.ID, Started: endpoint.StartedUnixMilli}
}

// peerStats are the figures of peers. Their JSON keys are part of the operators' interface.
type peerStats struct {
	membership.Stats
	Facts            fleetstate.Stats `json:"facts"`
	Digest           string           `json:"digest"`          // of the notices in the replica: equal in agents that agree
	DrainedEarly     int64            `json:"held_back"`       // drains that took effect before the own list reported them
	WithheldScans    int64            `json:"doubts_withheld"` // scans that found most endpoints failing: then the agent suspects itself
	ForgedSuspicions int64            `json:"forged"`          // suspicions that came under this agent's name and were corrected
	BudgetStates     int              `json:"parts"`           // peers whose budget state is known
	Names            []string         `json:"names"`           // of the peers
	NoticeDelay      delayStats       `json:"notices"`         // from a drain's or removal's first notification to its arrival here
}

// stats returns the figures for operators.
func (p *peers) stats() peerStats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return peerStats{
		Stats:            p.member.Stats(),
		Facts:            p.replica.Stats(),
		Digest:           strconv.FormatUint(p.replica.Digest(time.Now()), 16),
		DrainedEarly:     p.drainedEarly,
		WithheldScans:    p.failures.WithheldScans,
		ForgedSuspicions: p.forgedSuspicions,
		BudgetStates:     len(p.budgetStates),
		Names:            p.member.Peers(),
		NoticeDelay:      p.noticeDelay,
	}
}

// delayStats sums up delays, which are measured between the clocks of two agents.
type delayStats struct {
	Count int64         `json:"count"`
	Sum   time.Duration `json:"sum_ns"`
	Max   time.Duration `json:"most_ns"`
}

// add counts one delay.
func (s *delayStats) add(delay time.Duration) {
	s.Count++
	s.Sum += delay
	s.Max = max(s.Max, delay)
}
