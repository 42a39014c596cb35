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

// byzantinePeer is a stand-in for a peer that is wrong about all that it tells: a member of the agents' fleet without an agent.
type byzantinePeer struct {
	spec   emulator.ByzantinePeerSpec
	name   string
	w      *emulator.World
	member *membership.Member
	clock  fleetstate.HybridClock
	top    float64 // worth of the worthiest class
}

// byzantineName is the host of a day's liar.
func byzantineName(i int) string { return fmt.Sprint("liar-", i) }

const lieEvery = 100 * time.Millisecond

// newByzantinePeer lets a liar in among the peers; at are its arguments as an agent would get them.
func newByzantinePeer(w *emulator.World, spec emulator.ByzantinePeerSpec, name string, at membership.Config, set operator.Peers) (*byzantinePeer, error) {
	l := &byzantinePeer{spec: spec, name: name, w: w}
	for _, c := range w.Scenario.Classes {
		l.top = max(l.top, c.PriorityWeight)
	}
	at.Name, at.Label, at.Timing, at.Handler, at.Logger = name, set.Label, membership.DefaultTiming(), l, slog.New(slog.DiscardHandler)
	var err error
	l.member, err = membership.Start(at)
	return l, err
}

// MergeFacts, Whole and Part: it listens to nobody.
func (l *byzantinePeer) MergeFacts([]fleetstate.Fact) []fleetstate.Fact   { return nil }
func (l *byzantinePeer) Facts() []fleetstate.Fact                         { return nil }
func (l *byzantinePeer) UpdatePeerState(string, uint64, budget.PeerState) {}

// run is among the peers and lies, each at its time, until the context ends.
func (l *byzantinePeer) run(ctx context.Context) {
	ended := make(chan struct{})
	go func() { l.member.Run(ctx); close(ended) }()
	defer func() { <-ended }()
	if !callers.Sleep(ctx, l.spec.From.D()-l.w.Now()) {
		return
	}
	l.w.RecordEvent(l.spec.From.D(), l.spec.To.D(), l.name, fmt.Sprint("lies: ", l.spec.Says))
	for l.w.Now() < l.spec.To.D() && callers.Sleep(ctx, lieEvery) {
		l.member.Broadcast(l.lies(time.Now()))
		if p := l.part(); p.Rate > 0 || len(p.Demand) > 0 {
			l.member.SendPeerState(p, emulator.MaxProcesses)
		}
	}
	<-ctx.Done()
}

func (l *byzantinePeer) says(lie string) bool { return slices.Contains(l.spec.Says, lie) }

// lies are what it says of the servers.
func (l *byzantinePeer) lies(now time.Time) (out []fleetstate.Fact) {
	servers := l.w.EndpointList(0).Servers
	servers = slices.DeleteFunc(servers, func(e discovery.Entry) bool { return e.State != discovery.Ready })
	for i, e := range servers {
		key := fleetstate.Key{Server: e.ID, Started: e.StartedMS}
		if l.says(emulator.FalseSuspicion) {
			for _, who := range append([]string{l.name}, l.w.Scenario.Agents...) {
				k := key
				k.Kind, k.Origin = fleetstate.Suspicion, who
				// As far ahead as is believed, so that what the agents say themselves sorts before it.
				out = append(out, fleetstate.Fact{Key: k, Value: math.MaxInt32, Timestamp: l.clock.Next(now.Add(fleetstate.MaxClockSkew * 9 / 10)), Reporter: who})
			}
		}
		if l.says(emulator.FalseRemoval) && i < len(servers)/2 {
			k := key
			k.Kind, k.Origin = fleetstate.Notice, l.name
			out = append(out, fleetstate.Fact{Key: k, Value: fleetstate.Removed, Timestamp: l.clock.Next(now), Reporter: l.name})
		}
	}
	return out
}

// part is what it says of the fleet's level.
func (l *byzantinePeer) part() (p budget.PeerState) {
	const all = 1e6
	if l.says(emulator.FalseDemand) {
		p.Demand = []budget.Demand{{Priority: l.top, Rate: all}}
	}
	if l.says(emulator.FalseRate) {
		p.Rate = all
	}
	return p
}
