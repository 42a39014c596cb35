package experiment

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"slices"
	"time"

	"ryeweir/internal/budget"
	"ryeweir/internal/config/operator"
	"ryeweir/internal/emulator"
	"ryeweir/internal/emulator/callers"
	"ryeweir/internal/emulator/discovery"
	"ryeweir/internal/fleetstate"
	"ryeweir/internal/fleetstate/membership"
)

// byzantinePeer is a member of the agents' gossip that is no agent and sends false facts and a false budget state.
type byzantinePeer struct {
	spec              emulator.ByzantinePeerSpec
	name              string
	world             *emulator.World
	member            *membership.Member
	clock             fleetstate.HybridClock
	topPriorityWeight float64 // highest priority weight of all classes
}

// byzantineName returns the host name of a scenario's i-th byzantine peer.
func byzantineName(i int) string { return fmt.Sprint("liar-", i) }

// falseFactInterval is how often a byzantine peer sends its false facts and state.
const falseFactInterval = 100 * time.Millisecond

// newByzantinePeer starts a byzantine peer. cfg has its addresses and seeds, as an agent's membership configuration would.
func newByzantinePeer(world *emulator.World, spec emulator.ByzantinePeerSpec, name string, cfg membership.Config, settings operator.Peers) (*byzantinePeer, error) {
	peer := &byzantinePeer{spec: spec, name: name, world: world}
	for _, c := range world.Scenario.Classes {
		peer.topPriorityWeight = max(peer.topPriorityWeight, c.PriorityWeight)
	}
	cfg.Name, cfg.Label, cfg.Timing, cfg.Handler, cfg.Logger = name, settings.Label, membership.DefaultTiming(), peer, slog.New(slog.DiscardHandler)
	var err error
	peer.member, err = membership.Start(cfg)
	return peer, err
}

// MergeFacts, Facts and UpdatePeerState implement the member's handler. They ignore what other peers send and provide no facts.
func (b *byzantinePeer) MergeFacts([]fleetstate.Fact) []fleetstate.Fact   { return nil }
func (b *byzantinePeer) Facts() []fleetstate.Fact                         { return nil }
func (b *byzantinePeer) UpdatePeerState(string, uint64, budget.PeerState) {}

// run takes part in the gossip until ctx ends, and sends false facts and states from spec.From to spec.To.
func (b *byzantinePeer) run(ctx context.Context) {
	ended := make(chan struct{})
	go func() { b.member.Run(ctx); close(ended) }()
	defer func() { <-ended }()
	if !callers.Sleep(ctx, b.spec.From.D()-b.world.Now()) {
		return
	}
	b.world.RecordEvent(b.spec.From.D(), b.spec.To.D(), b.name, fmt.Sprint("lies: ", b.spec.Says))
	for b.world.Now() < b.spec.To.D() && callers.Sleep(ctx, falseFactInterval) {
		b.member.Broadcast(b.falseFacts(time.Now()))
		if p := b.falseState(); p.Rate > 0 || len(p.Demand) > 0 {
			b.member.SendPeerState(p, emulator.MaxProcesses)
		}
	}
	<-ctx.Done()
}

// claims reports whether the specification has the peer send this kind of false claim.
func (b *byzantinePeer) claims(claim string) bool { return slices.Contains(b.spec.Says, claim) }

// falseFacts returns false facts about the ready servers, according to the specification.
func (b *byzantinePeer) falseFacts(now time.Time) (out []fleetstate.Fact) {
	servers := b.world.EndpointList(0).Servers
	servers = slices.DeleteFunc(servers, func(e discovery.Entry) bool { return e.State != discovery.Ready })
	for i, e := range servers {
		key := fleetstate.Key{Server: e.ID, Started: e.StartedMS}
		if b.claims(emulator.FalseSuspicion) {
			for _, who := range append([]string{b.name}, b.world.Scenario.Agents...) {
				k := key
				k.Kind, k.Origin = fleetstate.Suspicion, who
				// Within the clock skew that agents accept, but so far in the future that the facts override the agents' own.
				out = append(out, fleetstate.Fact{Key: k, Value: math.MaxInt32, Timestamp: b.clock.Next(now.Add(fleetstate.MaxClockSkew * 9 / 10)), Reporter: who})
			}
		}
		if b.claims(emulator.FalseRemoval) && i < len(servers)/2 {
			k := key
			k.Kind, k.Origin = fleetstate.Notice, b.name
			out = append(out, fleetstate.Fact{Key: k, Value: fleetstate.Removed, Timestamp: b.clock.Next(now), Reporter: b.name})
		}
	}
	return out
}

// falseState returns a false budget state, according to the specification.
func (b *byzantinePeer) falseState() (p budget.PeerState) {
	const excessiveRate = 1e6 // requests per second, far beyond the capacity of the nodes
	if b.claims(emulator.FalseDemand) {
		p.Demand = []budget.Demand{{Priority: b.topPriorityWeight, Rate: excessiveRate}}
	}
	if b.claims(emulator.FalseRate) {
		p.Rate = excessiveRate
	}
	return p
}
