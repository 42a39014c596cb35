package experiment

import (
	"container/heap"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"text/tabwriter"
	"time"

	"ryeweir/internal/pool"
)

const (
	maxFleetRequests   = 5_000_000
	restartObservation = 5 * time.Second        // how long after its start a server's handshakes are counted
	peakWindow         = 100 * time.Millisecond // over which handshakes are counted for their peak
)

// FleetFigures are the results of one variant, over its repeats.
type FleetFigures struct {
	Variant              string   `json:"arm"`
	Handshakes           Interval `json:"handshakes_per_request"`
	Open                 Interval `json:"connections_open"`        // of all agents, on average
	Crossed              Interval `json:"crossed_per_million"`     // requests that a server's close crossed
	CrossedNonIdempotent Interval `json:"crossed_must_not_repeat"` // and those of them that must not repeat
	TimedOut             Interval `json:"timed_out_after_the_cut"` // requests sent on dead connections after the server was back
	Peak                 Interval `json:"start_peak_handshakes"`   // at the started server, in a tenth of a second
	SlowStartShare       Interval `json:"start_cold_share"`        // of its capacity in the first 5 s that handshakes took
	Mean                 Interval `json:"mean_ms"`
	P99                  Interval `json:"p99_ms"`
}

// RunFleetModel runs the model with each variant and prints a table of the figures to out.
func RunFleetModel(spec *FleetSpec, out io.Writer) ([]FleetFigures, error) {
	var all []FleetFigures
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "arm\thandshakes/request\topen\tcrossed/million\tof these once only\ttimed out after cut\tpeak/100 ms at start\tcold share\tmean ms\tp99 ms")
	for _, variant := range spec.Variants {
		runs := make([]fleetRun, spec.Repeats)
		for i := range runs {
			model, err := newFleet(spec, variant, spec.Seed+uint64(i))
			if err != nil {
				return all, err
			}
			runs[i] = model.run()
		}
		interval := func(get func(fleetRun) float64) Interval {
			xs := make([]float64, len(runs))
			for i, r := range runs {
				xs[i] = get(r)
			}
			return bootstrap(xs)
		}
		figures := FleetFigures{Variant: variant.Name,
			Handshakes:           interval(func(r fleetRun) float64 { return float64(r.handshakes) / float64(r.requests) }),
			Open:                 interval(func(r fleetRun) float64 { return r.openConnections }),
			Crossed:              interval(func(r fleetRun) float64 { return 1e6 * float64(r.crossed) / float64(r.requests) }),
			CrossedNonIdempotent: interval(func(r fleetRun) float64 { return float64(r.crossedNonIdempotent) }),
			TimedOut:             interval(func(r fleetRun) float64 { return float64(r.timedOutAfterCut) }),
			Peak:                 interval(func(r fleetRun) float64 { return float64(r.peakHandshakes) }),
			SlowStartShare:       interval(func(r fleetRun) float64 { return r.slowStartShare }),
			Mean:                 interval(func(r fleetRun) float64 { return r.mean }),
			P99:                  interval(func(r fleetRun) float64 { return r.p99 })}
		all = append(all, figures)
		formatInterval := func(i Interval, form string) string {
			return fmt.Sprintf(form+" ("+form+"-"+form+")", i.Mean, i.Low, i.High)
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", figures.Variant, formatInterval(figures.Handshakes, "%.4f"), formatInterval(figures.Open, "%.0f"), formatInterval(figures.Crossed, "%.0f"),
			formatInterval(figures.CrossedNonIdempotent, "%.1f"), formatInterval(figures.TimedOut, "%.1f"), formatInterval(figures.Peak, "%.1f"), formatInterval(figures.SlowStartShare, "%.3f"), formatInterval(figures.Mean, "%.1f"), formatInterval(figures.P99, "%.1f"))
	}
	return all, table.Flush()
}

// fleetRun is the result of one run of one variant.
type fleetRun struct {
	requests, handshakes                            int
	crossed, crossedNonIdempotent, timedOutAfterCut int
	peakHandshakes                                  int
	slowStartShare, openConnections                 float64
	mean, p99                                       float64
}

// fleetModel is the state of one run in simulated time.
type fleetModel struct {
	spec                *FleetSpec
	rng                 *rand.Rand
	now                 time.Duration
	events              simEvents
	agents              []*fleetAgent
	servers             []*fleetServer
	latencies           []float64
	totals              fleetRun
	samples             int
	scheduled           int
	handshakesPerWindow map[time.Duration]int
}

// fleetAgent is an agent: its table, and its servers as nodes of that.
type fleetAgent struct {
	table   *pool.Table
	nodes   []*pool.Endpoint
	servers []*fleetServer
	waiting map[*pool.Waiter]*fleetRequest
	conns   map[*pool.Slot]*fleetConn
}

type fleetRequest struct {
	at            time.Duration
	nonIdempotent bool
	server        int // of the agent's
}

const fleetStart = time.Second // times of 0 mean never

// newFleet places the servers, and the agents with random subsets of them.
func newFleet(spec *FleetSpec, variant FleetVariant, seed uint64) (*fleetModel, error) {
	model := &fleetModel{spec: spec, rng: rand.New(rand.NewPCG(seed, 0x666c6565)), now: fleetStart, handshakesPerWindow: map[time.Duration]int{}}
	for range spec.Servers {
		model.servers = append(model.servers, &fleetServer{coreFreeAt: make([]time.Duration, spec.Cores)})
	}
	settings := pool.DefaultSettings(450)
	settings.ServerIdleTimeout, settings.AcquireTimeout, settings.Agents, settings.SlowStartInitialFraction, settings.SlowStartWindow = spec.IdleTimeout.D(), spec.ClientTimeout.D(), spec.Agents, spec.SlowStartInitialFraction, spec.SlowStartWindow.D()
	settings = variant.read.Settings(settings)
	if err := settings.Validate(); err != nil {
		return nil, fmt.Errorf("arm %s: %w", variant.Name, err)
	}
	for i := range spec.Agents {
		agent := &fleetAgent{table: pool.NewTable(settings, seed<<20+uint64(i)), waiting: map[*pool.Waiter]*fleetRequest{}, conns: map[*pool.Slot]*fleetConn{}}
		for _, serverIndex := range model.rng.Perm(spec.Servers)[:spec.Subset] {
			endpoint := agent.table.AddEndpoint(model.now, fmt.Sprint(serverIndex), "", 0)
			agent.table.SetReady(model.now, endpoint, true)
			agent.nodes, agent.servers = append(agent.nodes, endpoint), append(agent.servers, model.servers[serverIndex])
		}
		model.agents = append(model.agents, agent)
	}
	return model, nil
}

// schedule adds an event.
func (f *fleetModel) schedule(t time.Duration, action func()) {
	f.scheduled++
	heap.Push(&f.events, simEvent{at: t, seq: f.scheduled, do: action})
}

// run handles all events in order of time and returns the figures.
func (f *fleetModel) run() fleetRun {
	end := fleetStart + f.spec.Length.D()
	for _, a := range f.agents {
		f.scheduleArrivals(a, end)
		f.scheduleMaintenance(a, end)
	}
	if start := f.spec.RestartAt.D(); start > 0 {
		f.schedule(fleetStart+start, f.restart)
	}
	if cut := f.spec.PartitionAt.D(); cut > 0 {
		s := f.servers[1]
		s.partitionedFrom, s.partitionedTo = fleetStart+cut, fleetStart+cut+f.spec.PartitionDuration.D()
	}
	for len(f.events) > 0 {
		e := heap.Pop(&f.events).(simEvent)
		f.now = e.at
		e.do()
	}
	for _, n := range f.handshakesPerWindow {
		f.totals.peakHandshakes = max(f.totals.peakHandshakes, n)
	}
	if f.spec.RestartAt > 0 {
		f.totals.slowStartShare = f.servers[0].handshakeTime.Seconds() / f.capacity(f.servers[0].started, restartObservation)
	}
	slices.Sort(f.latencies)
	if len(f.latencies) > 0 {
		f.totals.mean, f.totals.p99 = 1e3*mean(f.latencies), 1e3*f.latencies[len(f.latencies)*99/100]
	}
	f.totals.openConnections /= float64(max(1, f.samples))
	return f.totals
}

// scheduleArrivals are an agent's requests, a Poisson process.
func (f *fleetModel) scheduleArrivals(a *fleetAgent, end time.Duration) {
	each := float64(f.spec.Agents) / f.spec.Rate
	f.schedule(f.now+time.Duration(f.rng.ExpFloat64()*each*float64(time.Second)), func() {
		if f.now >= end {
			return
		}
		f.totals.requests++
		f.send(a, &fleetRequest{at: f.now, nonIdempotent: f.rng.Float64() < f.spec.NonIdempotentFraction})
		f.scheduleArrivals(a, end)
	})
}

// scheduleMaintenance lets an agent's table drop stale connections about every second, and samples the open ones.
func (f *fleetModel) scheduleMaintenance(a *fleetAgent, end time.Duration) {
	f.schedule(f.now+time.Duration((0.5+f.rng.Float64())*float64(time.Second)), func() {
		if f.now >= end {
			return
		}
		var stale []*pool.Slot
		for _, s := range a.table.AppendIdle(nil) {
			if f.now >= a.conns[s].closesAt {
				stale = append(stale, s)
			}
		}
		f.apply(a, a.table.Maintain(f.now, stale))
		f.totals.openConnections += float64(a.table.Stats().Open) * float64(len(f.agents))
		f.samples++
		f.scheduleMaintenance(a, end)
	})
}

// send picks a server, warming ones with a probability of their speed as the decision module does, and acquires a connection.
func (f *fleetModel) send(agent *fleetAgent, request *fleetRequest) {
	request.server = f.rng.IntN(len(agent.nodes))
	for range 50 {
		server := agent.servers[request.server]
		ejected := f.now >= server.partitionedFrom+f.spec.ClientTimeout.D() && f.now < server.partitionedTo // the module notices when nothing answers
		if !ejected && (server.started == 0 || f.rng.Float64() < f.speedFraction(f.now-server.started)) {
			break
		}
		request.server = f.rng.IntN(len(agent.nodes))
	}
	for {
		slot, waiter, actions := agent.table.Acquire(f.now, agent.nodes[request.server], request.nonIdempotent)
		if waiter != nil {
			agent.waiting[waiter] = request
		}
		f.apply(agent, actions)
		if slot == nil {
			return
		}
		if f.now < agent.conns[slot].closesAt {
			f.transmit(agent, slot, request)
			return
		}
		f.apply(agent, agent.table.DiscardStale(f.now, slot))
	}
}

// apply executes the actions of an agent's connection table.
func (f *fleetModel) apply(agent *fleetAgent, actions []pool.Action) {
	for _, action := range slices.Clone(actions) {
		switch action.Kind {
		case pool.Open:
			f.open(agent, action.Slot)
		case pool.Close:
			delete(agent.conns, action.Slot)
		case pool.Grant:
			request := agent.waiting[action.Waiter]
			delete(agent.waiting, action.Waiter)
			f.transmit(agent, action.Slot, request)
		case pool.Reject:
			delete(agent.waiting, action.Waiter)
		case pool.ScheduleQuarantineEnd:
			f.schedule(f.now+action.Delay, func() { f.apply(agent, agent.table.QuarantineEnded(f.now, action.Slot)) })
		}
	}
}
