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
	// gossipInterval is how often new suspicions are sent to peers and the overlay of drains is updated.
	gossipInterval = 50 * time.Millisecond
	// maxTrackedEndpoints limits the number of endpoints whose failed attempts are counted.
	maxTrackedEndpoints = 1024
	// maxPeerStates limits the number of peers whose budget state is stored.
	maxPeerStates = 1024
	// drainConfirmation is how long a drain that peers report overrides this agent's own endpoint list. If the list has not
	// confirmed the drain by then, the list applies again.
	drainConfirmation = 10 * time.Second
)

// peers exchanges facts and budget states with the other agents of a fleet. It receives the endpoint lists of discovery in place of
// the core and passes them on, so that a drain that peers report before this agent's own list does takes effect at once.
//
//   - peers_endpoints.go passes endpoint lists to the core, and sends peers notices of the drains and removals in them.
//   - peers_facts.go merges the facts that peers send into a replica.
//   - peers_failures.go sends peers suspicions of endpoints at which attempts fail, and reports the suspicions of peers to the
//     decision module.
//   - peers_budget.go exchanges budget states with peers.
//
// It implements discovery.Sink and membership.Handler.
type peers struct {
	name         string // of this agent
	settings     operator.Peers
	core         *core.Core // set by buildCore, before run is called
	clock        core.Clock
	member       *membership.Member
	factsChanged chan struct{} // wakes run; buffered, holds one signal

	// updates is held while an endpoint list is computed and passed to the core, so that the core receives the lists in the order in
	// which they were computed. It is locked before mu.
	updates sync.Mutex

	mu               sync.Mutex // guards the fields up to noticeDelay
	replica          *fleetstate.Replica
	failures         *fleetstate.FailureReporter
	overlay          *fleetstate.DrainOverlay
	endpoints        map[string]listedEndpoint // by ID, as in this agent's own list
	budgetStates     map[string]receivedBudgetState
	drainedEarly     int64 // drains that took effect before this agent's own list reported them
	forgedSuspicions int64 // suspicions that were received under this agent's name, and corrected
	noticeDelay      delayStats

	// reportedUnhealthy holds the IDs of the endpoints that were last reported to the core as unhealthy. Only run uses it.
	reportedUnhealthy map[string]bool
}

// newPeers begins to listen for peers. Nothing is sent before run is called.
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
			return nil, fmt.Errorf("peers: read the encryption key: %w", err)
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

// run exchanges facts and budget states with peers until ctx ends.
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

// incarnation returns the identity under which all agents know the process of a listed endpoint. It uses the start time in Unix time,
// because the core's clock differs between agents.
func incarnation(endpoint core.Endpoint) fleetstate.Incarnation {
	return fleetstate.Incarnation{Server: endpoint.ID, Started: endpoint.StartedUnixMilli}
}

// peerStats holds the metrics of peers. Its JSON keys are part of the operators' interface.
type peerStats struct {
	membership.Stats
	Facts            fleetstate.Stats `json:"facts"`
	Digest           string           `json:"digest"`          // hash of the confirmed notices in the replica; equal in agents that agree
	DrainedEarly     int64            `json:"held_back"`       // drains that took effect before this agent's own list reported them
	WithheldScans    int64            `json:"doubts_withheld"` // scans in which most endpoints failed, so that the agent suspected itself
	ForgedSuspicions int64            `json:"forged"`          // suspicions that were received under this agent's name, and corrected
	BudgetStates     int              `json:"parts"`           // peers whose budget state is known
	Names            []string         `json:"names"`           // of the peers
	NoticeDelay      delayStats       `json:"notices"`         // from a drain's or removal's first notification until peers' facts confirmed it here
}

// stats returns the metrics of peers.
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

// delayStats sums up delays. A delay starts on the clock of one agent and ends on that of another, so it includes the difference
// between the two clocks.
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
