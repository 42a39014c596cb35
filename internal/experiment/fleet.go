package experiment

import (
	"container/heap"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/pelletier/go-toml/v2"

	"ryeweir/internal/config"
	"ryeweir/internal/config/operator"
	"ryeweir/internal/pool"
)

// FleetSpec is the file of a model of many agents' connections: each agent has the real decisions on connections, and sends at
// a steady rate to its part of the servers. One server starts anew on the way, and another is cut off for a while.
type FleetSpec struct {
	Name                     string          `toml:"name"`
	Agents                   int             `toml:"agents"`
	Servers                  int             `toml:"servers"`
	Subset                   int             `toml:"subset"`    // servers that an agent sends to
	Rate                     float64         `toml:"rate"`      // requests a second of all agents
	NonIdempotentFraction    float64         `toml:"careful"`   // part of them that must not repeat
	Length                   config.Duration `toml:"length"`    // of the day
	Cores                    int             `toml:"cores"`     // of a server
	Work                     config.Duration `toml:"work"`      // mean processor time of a request
	Handshake                config.Duration `toml:"handshake"` // and of a handshake
	RTT                      config.Duration `toml:"rtt"`
	IdleTimeout              config.Duration `toml:"idle"`         // servers close what is idle for longer, as the settings say
	ActualIdleTimeout        config.Duration `toml:"closes"`       // and as they do; 0s: the same
	RandomCloseRate          float64         `toml:"random_close"` // closes a second of an idle connection, at random
	RestartAt                config.Duration `toml:"start"`        // the first server starts anew then; 0s: never
	SlowStartInitialFraction float64         `toml:"cold_from"`
	SlowStartWindow          config.Duration `toml:"cold_for"`
	PartitionAt              config.Duration `toml:"cut"`     // the second one is cut off then; 0s: never
	PartitionDuration        config.Duration `toml:"cut_for"` // what was open stays open and is dead from then on
	ClientTimeout            config.Duration `toml:"patience"`
	Repeats                  int             `toml:"repeats"`
	Seed                     uint64          `toml:"seed"`
	Variants                 []FleetVariant  `toml:"fleet_arm"`
}

// FleetVariant is one way to handle connections.
type FleetVariant struct {
	Name        string         `toml:"name"`
	Connections map[string]any `toml:"connections"` // as in an operators' file

	read operator.Connections
}

// DefaultFleet holds the defaults.
func DefaultFleet() FleetSpec {
	d := func(t time.Duration) config.Duration { return config.Duration(t) }
	return FleetSpec{Agents: 200, Servers: 20, Subset: 6, Rate: 2000, NonIdempotentFraction: 0.4, Length: d(30 * time.Second), Cores: 8,
		Work: d(30 * time.Millisecond), Handshake: d(4 * time.Millisecond), RTT: d(time.Millisecond), IdleTimeout: d(10 * time.Second),
		SlowStartInitialFraction: 0.2, SlowStartWindow: d(15 * time.Second), ClientTimeout: d(800 * time.Millisecond), Repeats: 5, Seed: 1}
}

const (
	maxFleetRequests   = 5_000_000
	restartObservation = 5 * time.Second        // how long after its start a server's handshakes are counted
	peakWindow         = 100 * time.Millisecond // over which handshakes are counted for their peak
)

// Check reports all that is wrong, and parses the connection settings of each variant.
func (s *FleetSpec) Check() error {
	var all []error
	wrong := func(bad bool, key, format string, args ...any) {
		if bad {
			all = append(all, config.Wrong(key, format, args...))
		}
	}
	wrong(s.Agents < 1 || s.Agents > 20000, "agents", "must be from 1 to 20000")
	wrong(s.Servers < 2 || s.Servers > 2000, "servers", "must be from 2 to 2000")
	wrong(s.Subset < 1 || s.Subset > s.Servers, "subset", "must be from 1 to the number of servers")
	wrong(s.Cores < 1 || s.Work <= 0 || s.Handshake < 0 || s.RTT <= 0 || s.IdleTimeout <= 0 || s.ClientTimeout <= 0, "cores", "cores and times must be above 0")
	wrong(!(s.Rate > 0) || s.Rate*s.Length.D().Seconds()*float64(max(1, s.Repeats)) > maxFleetRequests, "rate", "must be above 0, and all arms' days together hold %d requests at most", maxFleetRequests)
	wrong(!(s.NonIdempotentFraction >= 0 && s.NonIdempotentFraction <= 1), "careful", "must be from 0 to 1")
	wrong(!(s.RandomCloseRate >= 0), "random_close", "must not be below 0")
	wrong(s.SlowStartWindow > 0 && !(s.SlowStartInitialFraction > 0 && s.SlowStartInitialFraction <= 1), "cold_from", "must be above 0 and at most 1")
	wrong(s.Repeats < 1 || s.Repeats > maxRepeats, "repeats", "must be from 1 to %d", maxRepeats)
	wrong(len(s.Variants) == 0, "name", "a model needs a [[fleet_arm]]")
	for i := range s.Variants {
		variant := &s.Variants[i]
		text, err := toml.Marshal(map[string]any{"connections": variant.Connections})
		if err == nil {
			var file operator.File
			file, err = operator.Parse(variant.Name, text)
			variant.read = file.Connections
		}
		wrong(err != nil, fmt.Sprintf("fleet_arm[%d]", i), "%v", err)
	}
	return errors.Join(all...)
}

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

// Fleet runs the model with each variant and prints a table of the figures to out.
func Fleet(spec *FleetSpec, out io.Writer) ([]FleetFigures, error) {
	var all []FleetFigures
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "arm\thandshakes/request\topen\tcrossed/million\tof these once only\ttimed out after cut\tpeak/100 ms at start\tcold share\tmean ms\tp99 ms")
	for _, variant := range spec.Variants {
		runs := make([]fleetRun, spec.Repeats)
		for i := range runs {
			figures, err := newFleet(spec, variant, spec.Seed+uint64(i))
			if err != nil {
				return all, err
			}
			runs[i] = figures.run()
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

// fleetServer does work in order of arrival on its cores.
type fleetServer struct {
	coreFreeAt      []time.Duration // by core
	started         time.Duration   // 0: long ago
	partitionedFrom time.Duration
	partitionedTo   time.Duration
	handshakeTime   time.Duration // processor time of handshakes within restartObservation after its start
}

// fleetConn is the far end of a connection.
type fleetConn struct {
	opened   time.Duration
	closesAt time.Duration // when the server closes it, as things stand; it is idle from idle on
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

// capacity is the processor time that a server has in the time after a start.
func (f *fleetModel) capacity(from, over time.Duration) float64 {
	sum := 0.0
	for t := time.Duration(0); t < over; t += 10 * time.Millisecond {
		sum += f.speedFraction(t) * 0.01
	}
	return sum * float64(f.spec.Cores)
}

// speedFraction is the fraction of its full speed that a server has at an age since its start.
func (f *fleetModel) speedFraction(age time.Duration) float64 {
	if f.spec.SlowStartWindow <= 0 || age >= f.spec.SlowStartWindow.D() {
		return 1
	}
	return f.spec.SlowStartInitialFraction + (1-f.spec.SlowStartInitialFraction)*float64(age)/float64(f.spec.SlowStartWindow.D())
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

// restart starts the first server anew: all agents hear of it at once.
func (f *fleetModel) restart() {
	s := f.servers[0]
	s.started = f.now
	for i := range s.coreFreeAt {
		s.coreFreeAt[i] = f.now
	}
	for _, a := range f.agents {
		for i, at := range a.servers {
			if at == s {
				f.apply(a, a.table.Retire(f.now, a.nodes[i]))
				a.nodes[i] = a.table.AddEndpoint(f.now, "0", "", f.now)
				f.apply(a, a.table.SetReady(f.now, a.nodes[i], true))
			}
		}
	}
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

// serverOf returns the server behind a table's endpoint, or nil for one that was retired.
func (f *fleetModel) serverOf(a *fleetAgent, n *pool.Endpoint) *fleetServer {
	for i, have := range a.nodes {
		if have == n {
			return a.servers[i]
		}
	}
	return nil // an incarnation that has ended
}

// process does something on a server's first free core and returns when it is done.
func (f *fleetModel) process(s *fleetServer, from, amount time.Duration) time.Duration {
	core := 0
	for i := range s.coreFreeAt {
		if s.coreFreeAt[i] < s.coreFreeAt[core] {
			core = i
		}
	}
	begin := max(from, s.coreFreeAt[core])
	speed := 1.0
	if s.started > 0 {
		speed = f.speedFraction(begin - s.started)
	}
	s.coreFreeAt[core] = begin + time.Duration(float64(amount)/speed)
	return s.coreFreeAt[core]
}

// open begins a handshake. To a partitioned or retired server it fails.
func (f *fleetModel) open(agent *fleetAgent, slot *pool.Slot) {
	f.totals.handshakes++
	server := f.serverOf(agent, slot.Endpoint)
	if server == nil || f.now >= server.partitionedFrom && f.now < server.partitionedTo {
		f.schedule(f.now+100*time.Millisecond, func() { f.apply(agent, agent.table.HandshakeFailed(f.now, slot, false)) })
		return
	}
	if server.started > 0 && f.now-server.started < restartObservation {
		f.handshakesPerWindow[f.now/peakWindow]++
		server.handshakeTime += f.spec.Handshake.D()
	}
	done := f.process(server, f.now+f.spec.RTT.D()/2, f.spec.Handshake.D())
	f.schedule(done+f.spec.RTT.D()/2, func() {
		agent.conns[slot] = &fleetConn{opened: f.now}
		f.scheduleIdleClose(agent.conns[slot])
		f.apply(agent, agent.table.HandshakeSucceeded(f.now, slot))
	})
}

// scheduleIdleClose sets when the server closes a connection that is idle from now on.
func (f *fleetModel) scheduleIdleClose(conn *fleetConn) {
	conn.closesAt = f.now + f.spec.IdleTimeout.D()
	if f.spec.ActualIdleTimeout > 0 {
		conn.closesAt = f.now + f.spec.ActualIdleTimeout.D()
	}
	if f.spec.RandomCloseRate > 0 {
		conn.closesAt = min(conn.closesAt, f.now+time.Duration(f.rng.ExpFloat64()/f.spec.RandomCloseRate*float64(time.Second)))
	}
}

// transmit sends a request on a connection, and releases the connection when the request has ended.
func (f *fleetModel) transmit(agent *fleetAgent, slot *pool.Slot, request *fleetRequest) {
	server, conn := f.serverOf(agent, slot.Endpoint), agent.conns[slot]
	oneWay := f.spec.RTT.D() / 2
	finish := func(after time.Duration, outcome pool.ReleaseOutcome) {
		f.schedule(f.now+after, func() {
			if outcome == pool.Reusable {
				f.latencies = append(f.latencies, (f.now - request.at).Seconds())
				f.scheduleIdleClose(conn)
			}
			f.apply(agent, agent.table.Release(f.now, slot, outcome))
		})
	}
	switch {
	case server == nil:
		finish(oneWay, pool.Broken)
	case f.now >= server.partitionedFrom && f.now < server.partitionedTo || conn.opened < server.partitionedFrom && f.now >= server.partitionedTo && server.partitionedTo > 0:
		if f.now >= server.partitionedTo {
			f.totals.timedOutAfterCut++
		}
		finish(f.spec.ClientTimeout.D(), pool.Broken)
	case conn.closesAt < f.now+oneWay: // the close crosses the request
		f.totals.crossed++
		if request.nonIdempotent {
			f.totals.crossedNonIdempotent++
		}
		finish(2*oneWay, pool.ClosedByServer)
	default:
		amount := time.Duration(f.rng.ExpFloat64() * float64(f.spec.Work.D()))
		done := f.process(server, f.now+oneWay, amount)
		conn.closesAt = time.Duration(math.MaxInt64) // in use
		finish(done+oneWay-f.now, pool.Reusable)
	}
}
