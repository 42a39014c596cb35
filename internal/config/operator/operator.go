// Package operator reads the operators' file, which says how an agent does what the platform asks of it. Without one it
// behaves as the defaults say.
package operator

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"reflect"
	"time"

	"ryeweir/internal/budget"
	"ryeweir/internal/config"
	"ryeweir/internal/healthcheck"
	"ryeweir/internal/pool"
	"ryeweir/internal/wire"
	"ryeweir/logic"
)

// File is the operators' file.
type File struct {
	Connections Connections `toml:"connections"`
	Probes      Probes      `toml:"probes"`
	Snapshot    Snapshot    `toml:"snapshot"`
	Drain       Drain       `toml:"drain"`
	Overload    Overload    `toml:"overload"`
	Peers       Peers       `toml:"peers"`
}

// Peers is how the agents of a fleet talk with each other. Off unless On is set: the platform forbids it.
type Peers struct {
	On        bool     `toml:"on"`
	Bind      string   `toml:"bind"`      // IP address and port, for packets and streams
	Advertise string   `toml:"advertise"` // where the others reach it; empty: at bind
	Seeds     []string `toml:"seeds"`     // addresses of some others
	Label     string   `toml:"label"`     // of the fleet: what is labelled otherwise is passed over
	KeyFile   string   `toml:"key_file"`  // 16, 24 or 32 bytes that encrypt all that is told; empty: nothing is
	Facts     bool     `toml:"facts"`     // tell of servers that fail, drain or are gone
	Level     bool     `toml:"level"`     // hold the fleet's budgets as one; needs [overload] fleet
}

const longestLabel = 255 // bytes, of memberlist

// Overload is the fleet's budgets: one level of what is taken, shed by worth, and retries and probes under a share of first
// tries. Off unless Fleet is set: without it the agent refuses only as the module decides.
type Overload struct {
	Fleet    bool            `toml:"fleet"`
	Target   float64         `toml:"target"`
	Lean     float64         `toml:"lean"`
	Step     float64         `toml:"step"`
	Gain     float64         `toml:"gain"`
	Keep     float64         `toml:"keep"`
	Headroom float64         `toml:"headroom"`
	Spare    float64         `toml:"spare"`
	Start    float64         `toml:"start"`
	Least    float64         `toml:"least"`
	Burst    config.Duration `toml:"burst"`
	Memory   config.Duration `toml:"memory"`
	Retries  float64         `toml:"retries"`
	Floor    float64         `toml:"floor"`
	Probes   float64         `toml:"probes"`
	Own      Own             `toml:"own"`
}

// Own is from when on the agent itself counts as over: its level then falls.
type Own struct {
	Wait   config.Duration `toml:"wait"`   // of a request for the loop that decides; 0: never
	CPU    float64         `toml:"cpu"`    // share of the cores that it may use; 0: never
	Memory float64         `toml:"memory"` // share of the memory that it may use; 0: never
}

// Settings are the budget's, for a fleet of so many agents, with the longest come-back time that clients heed.
func (o *Overload) Settings(agents int, longest time.Duration) budget.Settings {
	return budget.Settings{Target: o.Target, Lean: o.Lean, Step: o.Step, Gain: o.Gain, Keep: o.Keep, Headroom: o.Headroom, Spare: o.Spare, Start: o.Start,
		Least: o.Least, Burst: o.Burst.D(), Memory: o.Memory.D(), Retries: o.Retries, Floor: o.Floor, Agents: agents, Probes: o.Probes, Longest: longest}
}

// Budget is an agent's part of the fleet's budgets and the order by which it sheds, with the module's settings and the longest
// come-back time that clients heed; nil where the file does not switch them on.
func (o *Overload) Budget(site logic.Settings, longest time.Duration, seed uint64) (*budget.Budget, *budget.PriorityOrder, error) {
	if !o.Fleet {
		return nil, nil, nil
	}
	b, err := budget.New(o.Settings(site.Balancers, longest))
	if err != nil {
		return nil, nil, err
	}
	var worths []float64
	for _, c := range site.Classes {
		worths = append(worths, c.PriorityWeight)
	}
	return b, budget.NewPriorityOrder(worths, site.TenantQuotas, site.OverQuotaWeight, seed^0x6f7665726c6f6164), nil
}

func overloadDefaults() Overload {
	b := budget.Defaults()
	return Overload{Target: b.Target, Lean: b.Lean, Step: b.Step, Gain: b.Gain, Keep: b.Keep, Headroom: b.Headroom, Spare: b.Spare, Start: b.Start,
		Least: b.Least, Burst: config.Duration(b.Burst), Memory: config.Duration(b.Memory), Retries: b.Retries, Floor: b.Floor, Probes: b.Probes,
		Own: Own{Wait: config.Duration(50 * time.Millisecond), CPU: 0.9, Memory: 0.9}}
}

// Snapshot is how what an agent has learnt is kept for the process after it.
type Snapshot struct {
	Every  config.Duration `toml:"every"`
	Oldest config.Duration `toml:"oldest"`
	Dir    string          `toml:"dir"`
}

// Probes is what asking servers for their load may cost, where the platform allows probes at all.
type Probes struct {
	Share      float64         `toml:"per_request"`
	PerServer  float64         `toml:"per_server_per_second"`
	Concurrent int             `toml:"concurrent"`
	Timeout    config.Duration `toml:"timeout"`
}

// Settings are the limits of those who carry probes out.
func (p *Probes) Settings() healthcheck.Settings {
	return healthcheck.Settings{MaxConcurrent: p.Concurrent, Timeout: p.Timeout.D()}
}

// Apply puts what the file says into the settings of the module.
func (p *Probes) Apply(set *logic.Settings) {
	if set.HealthChecksPerRequest > 0 { // else the platform allows none
		set.HealthChecksPerRequest, set.EndpointHealthCheckRate = p.Share, p.PerServer
	}
}

// Connections is how connections to servers are opened, used and closed. A limit of 0 is one that the agent works out.
type Connections struct {
	Places            int             `toml:"places"`
	PerServer         int             `toml:"per_server"`
	Handshakes        int             `toml:"handshakes"`
	HandshakesServer  int             `toml:"handshakes_per_server"`
	Waiting           int             `toml:"waiting"`
	Wait              config.Duration `toml:"wait"`
	Reuse             string          `toml:"reuse"`
	MaxAge            config.Duration `toml:"max_age"`
	AgeJitter         float64         `toml:"age_jitter"`
	MaxUses           int             `toml:"max_uses"`
	IdlePart          float64         `toml:"idle_part"`
	IdleLeast         config.Duration `toml:"idle_least"`
	IdleHeal          config.Duration `toml:"idle_heal"`
	SurePart          float64         `toml:"sure_part"`
	SuspectAfter      int             `toml:"suspect_after"`
	SuspectWithin     config.Duration `toml:"suspect_within"`
	Suspect           string          `toml:"suspect"`
	AheadPerSecond    float64         `toml:"ahead_per_second"`
	AheadMost         int             `toml:"ahead_most"`
	AheadKeep         int             `toml:"ahead_keep"`
	SocketBufferBytes int             `toml:"socket_buffer_bytes"`
}

// Drain is how an agent ends.
type Drain struct {
	Longest config.Duration `toml:"longest"`
}

// Default is the file of which nothing is said.
func Default() File {
	set := pool.DefaultSettings(1)
	return File{Connections: Connections{Reuse: "newest", AgeJitter: 0.2, IdlePart: set.IdleFraction, IdleLeast: config.Duration(set.MinIdleLimit),
		IdleHeal: config.Duration(set.IdleLimitDoublingTime), SurePart: set.NonIdempotentIdleFraction, SuspectAfter: set.SuspectAfterFailures,
		SuspectWithin: config.Duration(set.SuspectWindow), Suspect: "close", AheadMost: set.PreopenMaxIdle},
		Probes:   Probes{Share: wire.ProbeShare, PerServer: wire.ServerProbes, Concurrent: healthcheck.DefaultMaxConcurrent, Timeout: config.Duration(healthcheck.DefaultTimeout)},
		Snapshot: Snapshot{Every: config.Duration(2 * time.Second), Oldest: config.Duration(30 * time.Second)}, Overload: overloadDefaults(),
		Peers: Peers{Bind: "127.0.0.1:0", Seeds: []string{}, Facts: true, Level: true}}
}

// Load reads and checks a file; an empty name gives the defaults.
func Load(name string) (File, error) {
	f := Default()
	if name == "" {
		return f, nil
	}
	data, err := config.Read(name)
	if err != nil {
		return f, err
	}
	return Parse(name, data)
}

// Parse checks a file's text.
func Parse(name string, data []byte) (File, error) {
	f := Default()
	return f, config.TOML(name, data, &f)
}

var orders = map[string]pool.ReuseOrder{"newest": pool.MostRecentlyUsed, "oldest": pool.LeastRecentlyUsed, "fewest": pool.FewestRequests}

// Bounds of what a file may say.
const (
	mostPlaces   = 1 << 16
	leastBuffer  = 4 << 10
	mostBuffer   = 16 << 20
	longestTime  = 24 * time.Hour
	leastEvery   = 100 * time.Millisecond
	mostProbes   = 1024
	longestProbe = 10 * time.Second
)

// Check says all that is wrong with it.
func (f *File) Check() error {
	var all []error
	wrong := func(bad bool, key, format string, args ...any) {
		if bad {
			all = append(all, config.Wrong(key, format, args...))
		}
	}
	c := &f.Connections
	for key, n := range map[string]int{"places": c.Places, "per_server": c.PerServer, "handshakes": c.Handshakes,
		"handshakes_per_server": c.HandshakesServer, "waiting": c.Waiting, "max_uses": c.MaxUses, "suspect_after": c.SuspectAfter,
		"ahead_most": c.AheadMost, "ahead_keep": c.AheadKeep} {
		wrong(n < 0 || n > mostPlaces, "connections."+key, "must be from 0 to %d", mostPlaces)
	}
	for key, d := range map[string]config.Duration{"wait": c.Wait, "max_age": c.MaxAge} {
		wrong(d < 0 || d.D() > longestTime, "connections."+key, "must be from 0s to %v", longestTime)
	}
	for key, d := range map[string]config.Duration{"idle_least": c.IdleLeast, "idle_heal": c.IdleHeal, "suspect_within": c.SuspectWithin} {
		wrong(d.D() < time.Millisecond || d.D() > longestTime, "connections."+key, "must be from 1ms to %v", longestTime)
	}
	for key, x := range map[string]float64{"age_jitter": c.AgeJitter, "sure_part": c.SurePart, "idle_part": c.IdlePart} {
		wrong(!(x >= 0 && x <= 1), "connections."+key, "must be from 0 to 1")
	}
	wrong(c.IdlePart == 0, "connections.idle_part", "must be above 0")
	wrong(!(c.AheadPerSecond >= 0 && c.AheadPerSecond <= 1e6), "connections.ahead_per_second", "must be from 0 to 1000000")
	wrong(c.SocketBufferBytes != 0 && (c.SocketBufferBytes < leastBuffer || c.SocketBufferBytes > mostBuffer),
		"connections.socket_buffer_bytes", "must be 0, or from %d to %d", leastBuffer, mostBuffer)
	_, known := orders[c.Reuse]
	wrong(!known, "connections.reuse", "%q is not newest, oldest or fewest", c.Reuse)
	wrong(c.Suspect != "try" && c.Suspect != "close", "connections.suspect", "%q is not try or close", c.Suspect)
	p := &f.Probes
	wrong(!(p.Share >= 0 && p.Share <= 1), "probes.per_request", "must be from 0 to 1")
	wrong(!(p.PerServer >= 0 && p.PerServer <= 1e6), "probes.per_server_per_second", "must be from 0 to 1000000")
	wrong(p.Concurrent < 1 || p.Concurrent > mostProbes, "probes.concurrent", "must be from 1 to %d", mostProbes)
	wrong(p.Timeout.D() < time.Millisecond || p.Timeout.D() > longestProbe, "probes.timeout", "must be from 1ms to %v", longestProbe)
	s := &f.Snapshot
	wrong(s.Every < 0 || s.Every.D() > longestTime || s.Every > 0 && s.Every.D() < leastEvery, "snapshot.every", "must be 0s, or from %v to %v", leastEvery, longestTime)
	wrong(s.Oldest < 0 || s.Oldest.D() > longestTime, "snapshot.oldest", "must be from 0s to %v", longestTime)
	wrong(f.Drain.Longest < 0 || f.Drain.Longest.D() > longestTime, "drain.longest", "must be from 0s to %v", longestTime)
	for key, addr := range map[string]string{"bind": f.Peers.Bind, "advertise": f.Peers.Advertise} {
		_, err := netip.ParseAddrPort(addr)
		wrong(err != nil && (key == "bind" || addr != ""), "peers."+key, "%q is not an IP address with a port", addr)
	}
	for i, seed := range f.Peers.Seeds {
		_, _, err := net.SplitHostPort(seed)
		wrong(err != nil, fmt.Sprintf("peers.seeds[%d]", i), "%q is not a host with a port", seed)
	}
	wrong(len(f.Peers.Label) > longestLabel, "peers.label", "must hold at most %d bytes", longestLabel)
	if f.Peers.KeyFile != "" {
		info, err := os.Stat(f.Peers.KeyFile)
		wrong(err != nil || info.Size() != 16 && info.Size() != 24 && info.Size() != 32, "peers.key_file", "%q is not a file of 16, 24 or 32 bytes", f.Peers.KeyFile)
	}
	o := f.Overload.Own
	wrong(o.Wait < 0 || o.Wait.D() > longestTime, "overload.own.wait", "must be from 0s to %v", longestTime)
	wrong(!(o.CPU >= 0 && o.CPU <= 1), "overload.own.cpu", "must be from 0 to 1")
	wrong(!(o.Memory >= 0 && o.Memory <= 1), "overload.own.memory", "must be from 0 to 1")
	if err := f.Overload.Settings(1, 0).Check(); err != nil {
		all = append(all, config.Wrong("overload", "%v", err))
	}
	return errors.Join(all...)
}

// Settings puts what the file says over what the agent has worked out.
func (c *Connections) Settings(set pool.Settings) pool.Settings {
	if c.Places > 0 {
		set.MaxConnections = min(set.MaxConnections, c.Places)
		set.MaxPerEndpoint, set.MaxHandshakes, set.MaxHandshakesPerEndpoint = min(set.MaxPerEndpoint, set.MaxConnections), min(set.MaxHandshakes, set.MaxConnections), min(set.MaxHandshakesPerEndpoint, set.MaxConnections)
	}
	for _, limit := range []struct {
		to   *int
		from int
	}{{&set.MaxPerEndpoint, c.PerServer}, {&set.MaxHandshakes, c.Handshakes}, {&set.MaxHandshakesPerEndpoint, c.HandshakesServer}, {&set.MaxWaiters, c.Waiting}} {
		if limit.from > 0 {
			*limit.to = limit.from
		}
	}
	if c.Wait > 0 {
		set.AcquireTimeout = c.Wait.D()
	}
	set.ReuseOrder, set.MaxAge, set.AgeJitter, set.MaxRequests = orders[c.Reuse], c.MaxAge.D(), c.AgeJitter, c.MaxUses
	set.IdleFraction, set.MinIdleLimit, set.IdleLimitDoublingTime, set.NonIdempotentIdleFraction = c.IdlePart, c.IdleLeast.D(), c.IdleHeal.D(), c.SurePart
	set.SuspectAfterFailures, set.SuspectWindow, set.CloseSuspect = c.SuspectAfter, c.SuspectWithin.D(), c.Suspect == "close"
	set.PreopenRate, set.PreopenMaxIdle, set.PreopenMinIdle = c.AheadPerSecond, c.AheadMost, c.AheadKeep
	return set
}

// Fixed names the keys of a fresh file that differ and take effect at the next start only.
func (f *File) Fixed(fresh File) (keys []string) {
	if f.Connections.Places != fresh.Connections.Places {
		keys = append(keys, "connections.places")
	}
	if f.Connections.SocketBufferBytes != fresh.Connections.SocketBufferBytes {
		keys = append(keys, "connections.socket_buffer_bytes")
	}
	if f.Probes.Share != fresh.Probes.Share {
		keys = append(keys, "probes.per_request")
	}
	if f.Probes.PerServer != fresh.Probes.PerServer {
		keys = append(keys, "probes.per_server_per_second")
	}
	if f.Snapshot != fresh.Snapshot {
		keys = append(keys, "snapshot")
	}
	if f.Drain.Longest != fresh.Drain.Longest {
		keys = append(keys, "drain.longest")
	}
	if !reflect.DeepEqual(f.Peers, fresh.Peers) {
		keys = append(keys, "peers")
	}
	if f.Overload != fresh.Overload {
		keys = append(keys, "overload")
	}
	return keys
}

// Describe prints in words what it means.
func (f *File) Describe(w io.Writer) {
	c := f.Connections
	worked := func(n int) string {
		if n == 0 {
			return "worked out"
		}
		return fmt.Sprint(n)
	}
	fmt.Fprintf(w, "connections: places %s, per server %s, handshakes %s (per server %s), waiting %s\n", worked(c.Places), worked(c.PerServer),
		worked(c.Handshakes), worked(c.HandshakesServer), worked(c.Waiting))
	fmt.Fprintf(w, "used again: %s first, for %g of the servers' idle limit, %g of that for what must not repeat\n", c.Reuse, c.IdlePart, c.SurePart)
	fmt.Fprintf(w, "suspect after %d broken exchanges in a row within %v: %s\n", c.SuspectAfter, c.SuspectWithin.D(), c.Suspect)
	if o := f.Overload; o.Fleet {
		fmt.Fprintf(w, "fleet's budgets: on; the rate holds still where %g of attempts meet overload (the more the less of the demand is taken), at most %g times what was sent; retries %g of first tries and %g a second for the fleet, probes %g\n",
			o.Target, o.Headroom, o.Retries, o.Floor, o.Probes)
	} else {
		fmt.Fprintln(w, "fleet's budgets: off")
	}
	if p := f.Peers; p.On {
		fmt.Fprintf(w, "peers: on, at %s, seeds %v, encrypted %v; facts of servers %v, one level for the fleet's budgets %v\n", p.Bind, p.Seeds, p.KeyFile != "",
			p.Facts, p.Level && f.Overload.Fleet)
	}
	if c.AheadPerSecond > 0 {
		fmt.Fprintf(w, "opened ahead of need: %g a second on one server by all agents, %d idle ones each at the most\n", c.AheadPerSecond, c.AheadMost)
	}
}
