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
	maxFleetRequests   = 5_000_000              // in all repeats of a variant
	restartObservation = 5 * time.Second        // how long after the restart of a server its handshakes are counted
	peakWindow         = 100 * time.Millisecond // the interval over which handshakes are counted for their peak
)

// FleetFigures are the results of one variant of the fleet model, over its repeats.
type FleetFigures struct {
	Variant              string   `json:"arm"`
	Handshakes           Interval `json:"handshakes_per_request"`
	Open                 Interval `json:"connections_open"`        // of all agents together, mean over time
	Crossed              Interval `json:"crossed_per_million"`     // requests lost because the server closed the idle connection meanwhile
	CrossedNonIdempotent Interval `json:"crossed_must_not_repeat"` // number of these that were not idempotent
	TimedOut             Interval `json:"timed_out_after_the_cut"` // requests sent on dead connections after the partition had healed
	Peak                 Interval `json:"start_peak_handshakes"`   // most handshakes of the restarted server within peakWindow
	SlowStartShare       Interval `json:"start_cold_share"`        // fraction of the restarted server's capacity that handshakes took within restartObservation
	Mean                 Interval `json:"mean_ms"`
	P99                  Interval `json:"p99_ms"`
}

// RunFleetModel runs the model with each variant, repeated with successive seeds, and prints a table of the figures to out.
func RunFleetModel(spec *FleetSpec, out io.Writer) ([]FleetFigures, error) {
	var all []FleetFigures
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "variant\thandshakes/request\topen connections\tcrossed/million\tof these not idempotent\ttimed out after partition\tpeak/100 ms at restart\tslow start share\tmean ms\tp99 ms")
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

// fleetModel is the state of one run of the model in simulated time.
type fleetModel struct {
	spec                *FleetSpec
	rng                 *rand.Rand
	now                 time.Duration
	events              simEvents
	agents              []*fleetAgent
	servers             []*fleetServer
	latencies           []float64
	totals              fleetRun
	samples             int                   // number of samples of the open connections, whose sum run keeps in totals.openConnections until its end
	scheduled           int                   // events scheduled so far
	handshakesPerWindow map[time.Duration]int // by the number of the peakWindow
}

// fleetAgent is an agent with its connection table. nodes[i] is the table's endpoint for servers[i].
type fleetAgent struct {
	table   *pool.Table
	nodes   []*pool.Endpoint
	servers []*fleetServer // the agent's subset
	waiting map[*pool.Waiter]*fleetRequest
	conns   map[*pool.Slot]*fleetConn
}

// fleetRequest is a request that arrived at an agent.
type fleetRequest struct {
	at            time.Duration
	nonIdempotent bool
	server        int // index in fleetAgent.servers
}

const fleetStart = time.Second // simulated time at which a run begins; not 0, because a time of 0 means never

// newFleet creates the servers, and the agents with random subsets of the servers.
func newFleet(spec *FleetSpec, variant FleetVariant, seed uint64) (*fleetModel, error) {
	model := &fleetModel{spec: spec, rng: rand.New(rand.NewPCG(seed, 0x666c6565)), now: fleetStart, handshakesPerWindow: map[time.Duration]int{}}
	for range spec.Servers {
		model.servers = append(model.servers, &fleetServer{coreFreeAt: make([]time.Duration, spec.Cores)})
	}
	settings := pool.DefaultSettings(450)
	settings.ServerIdleTimeout, settings.AcquireTimeout, settings.Agents, settings.SlowStartInitialFraction, settings.SlowStartWindow = spec.IdleTimeout.D(), spec.ClientTimeout.D(), spec.Agents, spec.SlowStartInitialFraction, spec.SlowStartWindow.D()
	settings = variant.read.Settings(settings)
	if err := settings.Validate(); err != nil {
		return nil, fmt.Errorf("fleet_arm %s: %w", variant.Name, err)
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

// schedule adds an event at the time t.
func (f *fleetModel) schedule(t time.Duration, action func()) {
	f.scheduled++
	heap.Push(&f.events, simEvent{at: t, seq: f.scheduled, do: action})
}

// run handles all events in the order of their times and returns the figures.
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

// scheduleArrivals schedules an agent's next request. The arrivals are a Poisson process that ends at end.
func (f *fleetModel) scheduleArrivals(a *fleetAgent, end time.Duration) {
	meanInterval := float64(f.spec.Agents) / f.spec.Rate
	f.schedule(f.now+time.Duration(f.rng.ExpFloat64()*meanInterval*float64(time.Second)), func() {
		if f.now >= end {
			return
		}
		f.totals.requests++
		f.send(a, &fleetRequest{at: f.now, nonIdempotent: f.rng.Float64() < f.spec.NonIdempotentFraction})
		f.scheduleArrivals(a, end)
	})
}

// scheduleMaintenance schedules the next maintenance of an agent's table, in 0.5 to 1.5 s. It discards stale connections and samples the
// number of open ones.
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

// send selects a server for a request and acquires a connection to it. As in the decision module, the probability of a warming server is
// reduced to its fraction of full speed.
func (f *fleetModel) send(agent *fleetAgent, request *fleetRequest) {
	request.server = f.rng.IntN(len(agent.nodes))
	for range 50 {
		server := agent.servers[request.server]
		ejected := f.now >= server.partitionedFrom+f.spec.ClientTimeout.D() && f.now < server.partitionedTo // the decision module ejects a server once its requests have timed out
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
