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
	Careful                  float64         `toml:"careful"`   // part of them that must not repeat
	Length                   config.Duration `toml:"length"`    // of the day
	Cores                    int             `toml:"cores"`     // of a server
	Work                     config.Duration `toml:"work"`      // mean processor time of a request
	Handshake                config.Duration `toml:"handshake"` // and of a handshake
	RTT                      config.Duration `toml:"rtt"`
	Idle                     config.Duration `toml:"idle"`         // servers close what is idle for longer, as the settings say
	Closes                   config.Duration `toml:"closes"`       // and as they do; 0s: the same
	Random                   float64         `toml:"random_close"` // closes a second of an idle connection, at random
	Start                    config.Duration `toml:"start"`        // the first server starts anew then; 0s: never
	SlowStartInitialFraction float64         `toml:"cold_from"`
	SlowStartWindow          config.Duration `toml:"cold_for"`
	Cut                      config.Duration `toml:"cut"`     // the second one is cut off then; 0s: never
	CutFor                   config.Duration `toml:"cut_for"` // what was open stays open and is dead from then on
	Patience                 config.Duration `toml:"patience"`
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
	return FleetSpec{Agents: 200, Servers: 20, Subset: 6, Rate: 2000, Careful: 0.4, Length: d(30 * time.Second), Cores: 8,
		Work: d(30 * time.Millisecond), Handshake: d(4 * time.Millisecond), RTT: d(time.Millisecond), Idle: d(10 * time.Second),
		SlowStartInitialFraction: 0.2, SlowStartWindow: d(15 * time.Second), Patience: d(800 * time.Millisecond), Repeats: 5, Seed: 1}
}

const (
	mostFleetRequests = 5_000_000
	startLook         = 5 * time.Second        // how long after its start a server is looked at
	peakOver          = 100 * time.Millisecond // over which handshakes are counted for their peak
)

// Check says all that is wrong, and fills in what each arm leaves open.
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
	wrong(s.Cores < 1 || s.Work <= 0 || s.Handshake < 0 || s.RTT <= 0 || s.Idle <= 0 || s.Patience <= 0, "cores", "cores and times must be above 0")
	wrong(!(s.Rate > 0) || s.Rate*s.Length.D().Seconds()*float64(max(1, s.Repeats)) > mostFleetRequests, "rate", "must be above 0, and all arms' days together hold %d requests at most", mostFleetRequests)
	wrong(!(s.Careful >= 0 && s.Careful <= 1), "careful", "must be from 0 to 1")
	wrong(!(s.Random >= 0), "random_close", "must not be below 0")
	wrong(s.SlowStartWindow > 0 && !(s.SlowStartInitialFraction > 0 && s.SlowStartInitialFraction <= 1), "cold_from", "must be above 0 and at most 1")
	wrong(s.Repeats < 1 || s.Repeats > mostRepeats, "repeats", "must be from 1 to %d", mostRepeats)
	wrong(len(s.Variants) == 0, "name", "a model needs a [[fleet_arm]]")
	for i := range s.Variants {
		arm := &s.Variants[i]
		text, err := toml.Marshal(map[string]any{"connections": arm.Connections})
		if err == nil {
			var f operator.File
			f, err = operator.Parse(arm.Name, text)
			arm.read = f.Connections
		}
		wrong(err != nil, fmt.Sprintf("fleet_arm[%d]", i), "%v", err)
	}
	return errors.Join(all...)
}

// FleetFigures is what came of one arm.
type FleetFigures struct {
	Variant        string   `json:"arm"`
	Handshakes     Interval `json:"handshakes_per_request"`
	Open           Interval `json:"connections_open"`        // of all agents, on average
	Crossed        Interval `json:"crossed_per_million"`     // requests that a server's close crossed
	CrossedOne     Interval `json:"crossed_must_not_repeat"` // and those of them that must not repeat
	TimedOut       Interval `json:"timed_out_after_the_cut"` // requests sent on dead connections after the server was back
	Peak           Interval `json:"start_peak_handshakes"`   // at the started server, in a tenth of a second
	SlowStartShare Interval `json:"start_cold_share"`        // of its capacity in the first 5 s that handshakes took
	Mean           Interval `json:"mean_ms"`
	P99            Interval `json:"p99_ms"`
}

// Fleet plays the model and prints a table.
func Fleet(spec *FleetSpec, out io.Writer) ([]FleetFigures, error) {
	var all []FleetFigures
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "arm\thandshakes/request\topen\tcrossed/million\tof these once only\ttimed out after cut\tpeak/100 ms at start\tcold share\tmean ms\tp99 ms")
	for _, arm := range spec.Variants {
		runs := make([]fleetRun, spec.Repeats)
		for i := range runs {
			f, err := newFleet(spec, arm, spec.Seed+uint64(i))
			if err != nil {
				return all, err
			}
			runs[i] = f.play()
		}
		of := func(get func(fleetRun) float64) Interval {
			xs := make([]float64, len(runs))
			for i, r := range runs {
				xs[i] = get(r)
			}
			return bootstrap(xs)
		}
		f := FleetFigures{Variant: arm.Name,
			Handshakes:     of(func(r fleetRun) float64 { return float64(r.handshakes) / float64(r.requests) }),
			Open:           of(func(r fleetRun) float64 { return r.open }),
			Crossed:        of(func(r fleetRun) float64 { return 1e6 * float64(r.crossed) / float64(r.requests) }),
			CrossedOne:     of(func(r fleetRun) float64 { return float64(r.crossedOne) }),
			TimedOut:       of(func(r fleetRun) float64 { return float64(r.dead) }),
			Peak:           of(func(r fleetRun) float64 { return float64(r.peak) }),
			SlowStartShare: of(func(r fleetRun) float64 { return r.coldShare }),
			Mean:           of(func(r fleetRun) float64 { return r.mean }),
			P99:            of(func(r fleetRun) float64 { return r.p99 })}
		all = append(all, f)
		show := func(i Interval, form string) string {
			return fmt.Sprintf(form+" ("+form+"-"+form+")", i.Mean, i.Low, i.High)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", f.Variant, show(f.Handshakes, "%.4f"), show(f.Open, "%.0f"), show(f.Crossed, "%.0f"),
			show(f.CrossedOne, "%.1f"), show(f.TimedOut, "%.1f"), show(f.Peak, "%.1f"), show(f.SlowStartShare, "%.3f"), show(f.Mean, "%.1f"), show(f.P99, "%.1f"))
	}
	return all, w.Flush()
}

// fleetRun is one play of one arm.
type fleetRun struct {
	requests, handshakes      int
	crossed, crossedOne, dead int
	peak                      int
	coldShare, open           float64
	mean, p99                 float64
}

// fleet is the model at play.
type fleet struct {
	spec    *FleetSpec
	rng     *rand.Rand
	now     time.Duration
	events  simEvents
	agents  []*fleetAgent
	servers []*fleetServer
	times   []float64
	run     fleetRun
	samples int
	made    int
	perPeak map[time.Duration]int
}

// fleetAgent is an agent: its table, and its servers as nodes of that.
type fleetAgent struct {
	table   *pool.Table
	nodes   []*pool.Endpoint
	servers []*fleetServer
	waiting map[*pool.Waiter]*fleetCall
	conns   map[*pool.Slot]*fleetConn
}

// fleetServer does work in order of arrival on its cores.
type fleetServer struct {
	free    []time.Duration // when each core is
	started time.Duration   // 0: long ago
	cutFrom time.Duration
	cutTo   time.Duration
	shook   time.Duration // processor time of handshakes since the start, while it is looked at
}

// fleetConn is the far end of a connection.
type fleetConn struct {
	opened time.Duration
	closed time.Duration // when the server closes it, as things stand; it is idle from idle on
}

type fleetCall struct {
	at      time.Duration
	careful bool
	server  int // of the agent's
}

const fleetStart = time.Second // times of 0 mean never

func newFleet(spec *FleetSpec, arm FleetVariant, seed uint64) (*fleet, error) {
	f := &fleet{spec: spec, rng: rand.New(rand.NewPCG(seed, 0x666c6565)), now: fleetStart, perPeak: map[time.Duration]int{}}
	for range spec.Servers {
		f.servers = append(f.servers, &fleetServer{free: make([]time.Duration, spec.Cores)})
	}
	set := pool.DefaultSettings(450)
	set.ServerIdleTimeout, set.AcquireTimeout, set.Agents, set.SlowStartInitialFraction, set.SlowStartWindow = spec.Idle.D(), spec.Patience.D(), spec.Agents, spec.SlowStartInitialFraction, spec.SlowStartWindow.D()
	set = arm.read.Settings(set)
	if err := set.Validate(); err != nil {
		return nil, fmt.Errorf("arm %s: %w", arm.Name, err)
	}
	for i := range spec.Agents {
		a := &fleetAgent{table: pool.NewTable(set, seed<<20+uint64(i)), waiting: map[*pool.Waiter]*fleetCall{}, conns: map[*pool.Slot]*fleetConn{}}
		for _, s := range f.rng.Perm(spec.Servers)[:spec.Subset] {
			n := a.table.AddEndpoint(f.now, fmt.Sprint(s), "", 0)
			a.table.SetReady(f.now, n, true)
			a.nodes, a.servers = append(a.nodes, n), append(a.servers, f.servers[s])
		}
		f.agents = append(f.agents, a)
	}
	return f, nil
}

func (f *fleet) at(t time.Duration, do func()) {
	f.made++
	heap.Push(&f.events, simEvent{at: t, seq: f.made, do: do})
}

func (f *fleet) play() fleetRun {
	end := fleetStart + f.spec.Length.D()
	for _, a := range f.agents {
		f.arrivals(a, end)
		f.sweeps(a, end)
	}
	if start := f.spec.Start.D(); start > 0 {
		f.at(fleetStart+start, f.restart)
	}
	if cut := f.spec.Cut.D(); cut > 0 {
		s := f.servers[1]
		s.cutFrom, s.cutTo = fleetStart+cut, fleetStart+cut+f.spec.CutFor.D()
	}
	for len(f.events) > 0 {
		e := heap.Pop(&f.events).(simEvent)
		f.now = e.at
		e.do()
	}
	for _, n := range f.perPeak {
		f.run.peak = max(f.run.peak, n)
	}
	if f.spec.Start > 0 {
		f.run.coldShare = f.servers[0].shook.Seconds() / f.capacity(f.servers[0].started, startLook)
	}
	slices.Sort(f.times)
	if len(f.times) > 0 {
		f.run.mean, f.run.p99 = 1e3*mean(f.times), 1e3*f.times[len(f.times)*99/100]
	}
	f.run.open /= float64(max(1, f.samples))
	return f.run
}

// capacity is the processor time that a server has in the time after a start.
func (f *fleet) capacity(from, over time.Duration) float64 {
	sum := 0.0
	for t := time.Duration(0); t < over; t += 10 * time.Millisecond {
		sum += f.warmth(t) * 0.01
	}
	return sum * float64(f.spec.Cores)
}

// warmth is the share of its speed that a server has so long after its start.
func (f *fleet) warmth(age time.Duration) float64 {
	if f.spec.SlowStartWindow <= 0 || age >= f.spec.SlowStartWindow.D() {
		return 1
	}
	return f.spec.SlowStartInitialFraction + (1-f.spec.SlowStartInitialFraction)*float64(age)/float64(f.spec.SlowStartWindow.D())
}

// arrivals are an agent's requests, a Poisson process.
func (f *fleet) arrivals(a *fleetAgent, end time.Duration) {
	each := float64(f.spec.Agents) / f.spec.Rate
	f.at(f.now+time.Duration(f.rng.ExpFloat64()*each*float64(time.Second)), func() {
		if f.now >= end {
			return
		}
		f.run.requests++
		f.send(a, &fleetCall{at: f.now, careful: f.rng.Float64() < f.spec.Careful})
		f.arrivals(a, end)
	})
}

func (f *fleet) sweeps(a *fleetAgent, end time.Duration) {
	f.at(f.now+time.Duration((0.5+f.rng.Float64())*float64(time.Second)), func() {
		if f.now >= end {
			return
		}
		var stale []*pool.Slot
		for _, s := range a.table.AppendIdle(nil) {
			if f.now >= a.conns[s].closed {
				stale = append(stale, s)
			}
		}
		f.do(a, a.table.Maintain(f.now, stale))
		f.run.open += float64(a.table.Stats().Open) * float64(len(f.agents))
		f.samples++
		f.sweeps(a, end)
	})
}

// restart starts the first server anew: all agents hear of it at once.
func (f *fleet) restart() {
	s := f.servers[0]
	s.started = f.now
	for i := range s.free {
		s.free[i] = f.now
	}
	for _, a := range f.agents {
		for i, at := range a.servers {
			if at == s {
				f.do(a, a.table.Retire(f.now, a.nodes[i]))
				a.nodes[i] = a.table.AddEndpoint(f.now, "0", "", f.now)
				f.do(a, a.table.SetReady(f.now, a.nodes[i], true))
			}
		}
	}
}

// send picks a server by its warmth, as the module's draw does, and asks for a connection.
func (f *fleet) send(a *fleetAgent, c *fleetCall) {
	c.server = f.rng.IntN(len(a.nodes))
	for range 50 {
		s := a.servers[c.server]
		ejected := f.now >= s.cutFrom+f.spec.Patience.D() && f.now < s.cutTo // the module notices when nothing answers
		if !ejected && (s.started == 0 || f.rng.Float64() < f.warmth(f.now-s.started)) {
			break
		}
		c.server = f.rng.IntN(len(a.nodes))
	}
	for {
		s, w, actions := a.table.Acquire(f.now, a.nodes[c.server], c.careful)
		if w != nil {
			a.waiting[w] = c
		}
		f.do(a, actions)
		if s == nil {
			return
		}
		if f.now < a.conns[s].closed {
			f.carry(a, s, c)
			return
		}
		f.do(a, a.table.DiscardStale(f.now, s))
	}
}

// do carries out a table's actions.
func (f *fleet) do(a *fleetAgent, actions []pool.Action) {
	for _, act := range slices.Clone(actions) {
		switch act.Kind {
		case pool.Open:
			f.open(a, act.Slot)
		case pool.Close:
			delete(a.conns, act.Slot)
		case pool.Grant:
			c := a.waiting[act.Waiter]
			delete(a.waiting, act.Waiter)
			f.carry(a, act.Slot, c)
		case pool.Reject:
			delete(a.waiting, act.Waiter)
		case pool.ScheduleQuarantineEnd:
			f.at(f.now+act.Delay, func() { f.do(a, a.table.QuarantineEnded(f.now, act.Slot)) })
		}
	}
}

func (f *fleet) serverOf(a *fleetAgent, n *pool.Endpoint) *fleetServer {
	for i, have := range a.nodes {
		if have == n {
			return a.servers[i]
		}
	}
	return nil // a life that is over
}

// work does something on a server's first free core and returns when it is done.
func (f *fleet) work(s *fleetServer, from, amount time.Duration) time.Duration {
	core := 0
	for i := range s.free {
		if s.free[i] < s.free[core] {
			core = i
		}
	}
	begin := max(from, s.free[core])
	speed := 1.0
	if s.started > 0 {
		speed = f.warmth(begin - s.started)
	}
	s.free[core] = begin + time.Duration(float64(amount)/speed)
	return s.free[core]
}

func (f *fleet) open(a *fleetAgent, s *pool.Slot) {
	f.run.handshakes++
	server := f.serverOf(a, s.Endpoint)
	if server == nil || f.now >= server.cutFrom && f.now < server.cutTo {
		f.at(f.now+100*time.Millisecond, func() { f.do(a, a.table.HandshakeFailed(f.now, s, false)) })
		return
	}
	if server.started > 0 && f.now-server.started < startLook {
		f.perPeak[f.now/peakOver]++
		server.shook += f.spec.Handshake.D()
	}
	done := f.work(server, f.now+f.spec.RTT.D()/2, f.spec.Handshake.D())
	f.at(done+f.spec.RTT.D()/2, func() {
		a.conns[s] = &fleetConn{opened: f.now}
		f.rest(a.conns[s])
		f.do(a, a.table.HandshakeSucceeded(f.now, s))
	})
}

// rest says when the server will close a connection that stands idle from now on.
func (f *fleet) rest(c *fleetConn) {
	c.closed = f.now + f.spec.Idle.D()
	if f.spec.Closes > 0 {
		c.closed = f.now + f.spec.Closes.D()
	}
	if f.spec.Random > 0 {
		c.closed = min(c.closed, f.now+time.Duration(f.rng.ExpFloat64()/f.spec.Random*float64(time.Second)))
	}
}

// carry sends a request on a connection and gives it back.
func (f *fleet) carry(a *fleetAgent, s *pool.Slot, c *fleetCall) {
	server, conn := f.serverOf(a, s.Endpoint), a.conns[s]
	half := f.spec.RTT.D() / 2
	back := func(after time.Duration, how pool.ReleaseOutcome) {
		f.at(f.now+after, func() {
			if how == pool.Reusable {
				f.times = append(f.times, (f.now - c.at).Seconds())
				f.rest(conn)
			}
			f.do(a, a.table.Release(f.now, s, how))
		})
	}
	switch {
	case server == nil:
		back(half, pool.Broken)
	case f.now >= server.cutFrom && f.now < server.cutTo || conn.opened < server.cutFrom && f.now >= server.cutTo && server.cutTo > 0:
		if f.now >= server.cutTo {
			f.run.dead++
		}
		back(f.spec.Patience.D(), pool.Broken)
	case conn.closed < f.now+half: // the close crosses the request
		f.run.crossed++
		if c.careful {
			f.run.crossedOne++
		}
		back(2*half, pool.ClosedByServer)
	default:
		amount := time.Duration(f.rng.ExpFloat64() * float64(f.spec.Work.D()))
		done := f.work(server, f.now+half, amount)
		conn.closed = time.Duration(math.MaxInt64) // in use
		back(done+half-f.now, pool.Reusable)
	}
}
