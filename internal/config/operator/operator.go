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
	Connections  Connections  `toml:"connections"`
	HealthChecks HealthChecks `toml:"probes"`
	Snapshot     Snapshot     `toml:"snapshot"`
	Drain        Drain        `toml:"drain"`
	Overload     Overload     `toml:"overload"`
	Peers        Peers        `toml:"peers"`
}

// Peers is how the agents of a fleet talk with each other. Off unless On is set: the platform forbids it.
type Peers struct {
	Enabled     bool     `toml:"on"`
	Bind        string   `toml:"bind"`      // IP address and port, for packets and streams
	Advertise   string   `toml:"advertise"` // where the others reach it; empty: at bind
	Seeds       []string `toml:"seeds"`     // addresses of some others
	Label       string   `toml:"label"`     // of the fleet: what is labelled otherwise is passed over
	KeyFile     string   `toml:"key_file"`  // 16, 24 or 32 bytes that encrypt all that is told; empty: nothing is
	ShareFacts  bool     `toml:"facts"`     // tell of servers that fail, drain or are gone
	ShareBudget bool     `toml:"level"`     // hold the fleet's budgets as one; needs [overload] fleet
}

const longestLabel = 255 // bytes, of memberlist

// Overload is the fleet's budgets: one level of what is taken, shed by worth, and retries and probes under a share of first
// tries. Off unless Fleet is set: without it the agent refuses only as the module decides.
type Overload struct {
	Enabled             bool            `toml:"fleet"`
	TargetOverloadRatio float64         `toml:"target"`
	FairnessGain        float64         `toml:"lean"`
	MaxStep             float64         `toml:"step"`
	MaxStepPerSecond      float64         `toml:"gain"`
	MinServedFraction   float64         `toml:"keep"`
	HeadroomFactor      float64         `toml:"headroom"`
	HeadroomRate        float64         `toml:"spare"`
	InitialRate         float64         `toml:"start"`
	MinRate             float64         `toml:"least"`
	BurstWindow         config.Duration `toml:"burst"`
	AveragingWindow     config.Duration `toml:"memory"`
	RetryRatio          float64         `toml:"retries"`
	FleetRetryRate      float64         `toml:"floor"`
	HealthCheckRatio    float64         `toml:"probes"`
	SelfLimits          SelfLimits      `toml:"own"`
}

// SelfLimits is from when on the agent itself counts as over: its level then falls.
type SelfLimits struct {
	QueueDelay config.Duration `toml:"wait"`   // of a request for the loop that decides; 0: never
	CPU        float64         `toml:"cpu"`    // share of the cores that it may use; 0: never
	Memory     float64         `toml:"memory"` // share of the memory that it may use; 0: never
}

// BudgetSettings are the budget's, for a fleet of so many agents, with the longest come-back time that clients heed.
func (o *Overload) BudgetSettings(agents int, longest time.Duration) budget.Settings {
	return budget.Settings{TargetOverloadRatio: o.TargetOverloadRatio, FairnessGain: o.FairnessGain, MaxStep: o.MaxStep, MaxStepPerSecond: o.MaxStepPerSecond, MinServedFraction: o.MinServedFraction, HeadroomFactor: o.HeadroomFactor, HeadroomRate: o.HeadroomRate, InitialRate: o.InitialRate,
		MinRate: o.MinRate, BurstWindow: o.BurstWindow.D(), AveragingWindow: o.AveragingWindow.D(), RetryRatio: o.RetryRatio, FleetRetryRate: o.FleetRetryRate, Agents: agents, HealthCheckRatio: o.HealthCheckRatio, MaxRetryAfter: longest}
}

// Budget is an agent's part of the fleet's budgets and the order by which it sheds, with the module's settings and the longest
// come-back time that clients heed; nil where the file does not switch them on.
func (o *Overload) Budget(site logic.Settings, longest time.Duration, seed uint64) (*budget.Budget, *budget.PriorityOrder, error) {
	if !o.Enabled {
		return nil, nil, nil
	}
	b, err := budget.New(o.BudgetSettings(site.Balancers, longest))
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
	return Overload{TargetOverloadRatio: b.TargetOverloadRatio, FairnessGain: b.FairnessGain, MaxStep: b.MaxStep, MaxStepPerSecond: b.MaxStepPerSecond, MinServedFraction: b.MinServedFraction, HeadroomFactor: b.HeadroomFactor, HeadroomRate: b.HeadroomRate, InitialRate: b.InitialRate,
		MinRate: b.MinRate, BurstWindow: config.Duration(b.BurstWindow), AveragingWindow: config.Duration(b.AveragingWindow), RetryRatio: b.RetryRatio, FleetRetryRate: b.FleetRetryRate, HealthCheckRatio: b.HealthCheckRatio,
		SelfLimits: SelfLimits{QueueDelay: config.Duration(50 * time.Millisecond), CPU: 0.9, Memory: 0.9}}
}

// Snapshot is how what an agent has learnt is kept for the process after it.
type Snapshot struct {
	Interval config.Duration `toml:"every"`
	MaxAge   config.Duration `toml:"oldest"`
	Dir      string          `toml:"dir"`
}

// HealthChecks is what asking servers for their load may cost, where the platform allows probes at all.
type HealthChecks struct {
	PerRequest      float64         `toml:"per_request"`
	PerEndpointRate float64         `toml:"per_server_per_second"`
	MaxConcurrent   int             `toml:"concurrent"`
	Timeout         config.Duration `toml:"timeout"`
}

// Settings are the limits of those who carry probes out.
func (p *HealthChecks) Settings() healthcheck.Settings {
	return healthcheck.Settings{MaxConcurrent: p.MaxConcurrent, Timeout: p.Timeout.D()}
}

// Apply puts what the file says into the settings of the module.
func (p *HealthChecks) Apply(set *logic.Settings) {
	if set.HealthChecksPerRequest > 0 { // else the platform allows none
		set.HealthChecksPerRequest, set.EndpointHealthCheckRate = p.PerRequest, p.PerEndpointRate
	}
}

// Connections is how connections to servers are opened, used and closed. A limit of 0 is one that the agent works out.
type Connections struct {
	MaxConnections            int             `toml:"places"`
	MaxPerEndpoint            int             `toml:"per_server"`
	MaxHandshakes             int             `toml:"handshakes"`
	MaxHandshakesPerEndpoint  int             `toml:"handshakes_per_server"`
	MaxWaiters                int             `toml:"waiting"`
	WaitTimeout               config.Duration `toml:"wait"`
	ReuseOrder                string          `toml:"reuse"`
	MaxAge                    config.Duration `toml:"max_age"`
	AgeJitter                 float64         `toml:"age_jitter"`
	MaxUses                   int             `toml:"max_uses"`
	IdleLimitFraction         float64         `toml:"idle_part"`
	MinIdleLimit              config.Duration `toml:"idle_least"`
	IdleLimitRecovery         config.Duration `toml:"idle_heal"`
	NonIdempotentIdleFraction float64         `toml:"sure_part"`
	StaleAfterFailures        int             `toml:"suspect_after"`
	StaleFailureWindow        config.Duration `toml:"suspect_within"`
	StaleAction               string          `toml:"suspect"`
	PreconnectRate            float64         `toml:"ahead_per_second"`
	MaxPreconnected           int             `toml:"ahead_most"`
	MinIdlePerEndpoint        int             `toml:"ahead_keep"`
	SocketBufferBytes         int             `toml:"socket_buffer_bytes"`
}

// Drain is how an agent ends.
type Drain struct {
	MaxDuration config.Duration `toml:"longest"`
}

// Default is the file of which nothing is said.
func Default() File {
	set := pool.DefaultSettings(1)
	return File{Connections: Connections{ReuseOrder: "newest", AgeJitter: 0.2, IdleLimitFraction: set.IdleFraction, MinIdleLimit: config.Duration(set.MinIdleLimit),
		IdleLimitRecovery: config.Duration(set.IdleLimitDoublingTime), NonIdempotentIdleFraction: set.NonIdempotentIdleFraction, StaleAfterFailures: set.SuspectAfterFailures,
		StaleFailureWindow: config.Duration(set.SuspectWindow), StaleAction: "close", MaxPreconnected: set.PreopenMaxIdle},
		HealthChecks: HealthChecks{PerRequest: wire.HealthChecksPerRequest, PerEndpointRate: wire.EndpointHealthCheckRate, MaxConcurrent: healthcheck.DefaultMaxConcurrent, Timeout: config.Duration(healthcheck.DefaultTimeout)},
		Snapshot:     Snapshot{Interval: config.Duration(2 * time.Second), MaxAge: config.Duration(30 * time.Second)}, Overload: overloadDefaults(),
		Peers: Peers{Bind: "127.0.0.1:0", Seeds: []string{}, ShareFacts: true, ShareBudget: true}}
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
	for key, n := range map[string]int{"places": c.MaxConnections, "per_server": c.MaxPerEndpoint, "handshakes": c.MaxHandshakes,
		"handshakes_per_server": c.MaxHandshakesPerEndpoint, "waiting": c.MaxWaiters, "max_uses": c.MaxUses, "suspect_after": c.StaleAfterFailures,
		"ahead_most": c.MaxPreconnected, "ahead_keep": c.MinIdlePerEndpoint} {
		wrong(n < 0 || n > mostPlaces, "connections."+key, "must be from 0 to %d", mostPlaces)
	}
	for key, d := range map[string]config.Duration{"wait": c.WaitTimeout, "max_age": c.MaxAge} {
		wrong(d < 0 || d.D() > longestTime, "connections."+key, "must be from 0s to %v", longestTime)
	}
	for key, d := range map[string]config.Duration{"idle_least": c.MinIdleLimit, "idle_heal": c.IdleLimitRecovery, "suspect_within": c.StaleFailureWindow} {
		wrong(d.D() < time.Millisecond || d.D() > longestTime, "connections."+key, "must be from 1ms to %v", longestTime)
	}
	for key, x := range map[string]float64{"age_jitter": c.AgeJitter, "sure_part": c.NonIdempotentIdleFraction, "idle_part": c.IdleLimitFraction} {
		wrong(!(x >= 0 && x <= 1), "connections."+key, "must be from 0 to 1")
	}
	wrong(c.IdleLimitFraction == 0, "connections.idle_part", "must be above 0")
	wrong(!(c.PreconnectRate >= 0 && c.PreconnectRate <= 1e6), "connections.ahead_per_second", "must be from 0 to 1000000")
	wrong(c.SocketBufferBytes != 0 && (c.SocketBufferBytes < leastBuffer || c.SocketBufferBytes > mostBuffer),
		"connections.socket_buffer_bytes", "must be 0, or from %d to %d", leastBuffer, mostBuffer)
	_, known := orders[c.ReuseOrder]
	wrong(!known, "connections.reuse", "%q is not newest, oldest or fewest", c.ReuseOrder)
	wrong(c.StaleAction != "try" && c.StaleAction != "close", "connections.suspect", "%q is not try or close", c.StaleAction)
	p := &f.HealthChecks
	wrong(!(p.PerRequest >= 0 && p.PerRequest <= 1), "probes.per_request", "must be from 0 to 1")
	wrong(!(p.PerEndpointRate >= 0 && p.PerEndpointRate <= 1e6), "probes.per_server_per_second", "must be from 0 to 1000000")
	wrong(p.MaxConcurrent < 1 || p.MaxConcurrent > mostProbes, "probes.concurrent", "must be from 1 to %d", mostProbes)
	wrong(p.Timeout.D() < time.Millisecond || p.Timeout.D() > longestProbe, "probes.timeout", "must be from 1ms to %v", longestProbe)
	s := &f.Snapshot
	wrong(s.Interval < 0 || s.Interval.D() > longestTime || s.Interval > 0 && s.Interval.D() < leastEvery, "snapshot.every", "must be 0s, or from %v to %v", leastEvery, longestTime)
	wrong(s.MaxAge < 0 || s.MaxAge.D() > longestTime, "snapshot.oldest", "must be from 0s to %v", longestTime)
	wrong(f.Drain.MaxDuration < 0 || f.Drain.MaxDuration.D() > longestTime, "drain.longest", "must be from 0s to %v", longestTime)
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
	o := f.Overload.SelfLimits
	wrong(o.QueueDelay < 0 || o.QueueDelay.D() > longestTime, "overload.own.wait", "must be from 0s to %v", longestTime)
	wrong(!(o.CPU >= 0 && o.CPU <= 1), "overload.own.cpu", "must be from 0 to 1")
	wrong(!(o.Memory >= 0 && o.Memory <= 1), "overload.own.memory", "must be from 0 to 1")
	if err := f.Overload.BudgetSettings(1, 0).Check(); err != nil {
		all = append(all, config.Wrong("overload", "%v", err))
	}
	return errors.Join(all...)
}

// Settings puts what the file says over what the agent has worked out.
func (c *Connections) Settings(set pool.Settings) pool.Settings {
	if c.MaxConnections > 0 {
		set.MaxConnections = min(set.MaxConnections, c.MaxConnections)
		set.MaxPerEndpoint, set.MaxHandshakes, set.MaxHandshakesPerEndpoint = min(set.MaxPerEndpoint, set.MaxConnections), min(set.MaxHandshakes, set.MaxConnections), min(set.MaxHandshakesPerEndpoint, set.MaxConnections)
	}
	for _, limit := range []struct {
		to   *int
		from int
	}{{&set.MaxPerEndpoint, c.MaxPerEndpoint}, {&set.MaxHandshakes, c.MaxHandshakes}, {&set.MaxHandshakesPerEndpoint, c.MaxHandshakesPerEndpoint}, {&set.MaxWaiters, c.MaxWaiters}} {
		if limit.from > 0 {
			*limit.to = limit.from
		}
	}
	if c.WaitTimeout > 0 {
		set.AcquireTimeout = c.WaitTimeout.D()
	}
	set.ReuseOrder, set.MaxAge, set.AgeJitter, set.MaxRequests = orders[c.ReuseOrder], c.MaxAge.D(), c.AgeJitter, c.MaxUses
	set.IdleFraction, set.MinIdleLimit, set.IdleLimitDoublingTime, set.NonIdempotentIdleFraction = c.IdleLimitFraction, c.MinIdleLimit.D(), c.IdleLimitRecovery.D(), c.NonIdempotentIdleFraction
	set.SuspectAfterFailures, set.SuspectWindow, set.CloseSuspect = c.StaleAfterFailures, c.StaleFailureWindow.D(), c.StaleAction == "close"
	set.PreopenRate, set.PreopenMaxIdle, set.PreopenMinIdle = c.PreconnectRate, c.MaxPreconnected, c.MinIdlePerEndpoint
	return set
}

// RestartRequired names the keys of a fresh file that differ and take effect at the next start only.
func (f *File) RestartRequired(fresh File) (keys []string) {
	if f.Connections.MaxConnections != fresh.Connections.MaxConnections {
		keys = append(keys, "connections.places")
	}
	if f.Connections.SocketBufferBytes != fresh.Connections.SocketBufferBytes {
		keys = append(keys, "connections.socket_buffer_bytes")
	}
	if f.HealthChecks.PerRequest != fresh.HealthChecks.PerRequest {
		keys = append(keys, "probes.per_request")
	}
	if f.HealthChecks.PerEndpointRate != fresh.HealthChecks.PerEndpointRate {
		keys = append(keys, "probes.per_server_per_second")
	}
	if f.Snapshot != fresh.Snapshot {
		keys = append(keys, "snapshot")
	}
	if f.Drain.MaxDuration != fresh.Drain.MaxDuration {
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
	fmt.Fprintf(w, "connections: places %s, per server %s, handshakes %s (per server %s), waiting %s\n", worked(c.MaxConnections), worked(c.MaxPerEndpoint),
		worked(c.MaxHandshakes), worked(c.MaxHandshakesPerEndpoint), worked(c.MaxWaiters))
	fmt.Fprintf(w, "used again: %s first, for %g of the servers' idle limit, %g of that for what must not repeat\n", c.ReuseOrder, c.IdleLimitFraction, c.NonIdempotentIdleFraction)
	fmt.Fprintf(w, "suspect after %d broken exchanges in a row within %v: %s\n", c.StaleAfterFailures, c.StaleFailureWindow.D(), c.StaleAction)
	if o := f.Overload; o.Enabled {
		fmt.Fprintf(w, "fleet's budgets: on; the rate holds still where %g of attempts meet overload (the more the less of the demand is taken), at most %g times what was sent; retries %g of first tries and %g a second for the fleet, probes %g\n",
			o.TargetOverloadRatio, o.HeadroomFactor, o.RetryRatio, o.FleetRetryRate, o.HealthCheckRatio)
	} else {
		fmt.Fprintln(w, "fleet's budgets: off")
	}
	if p := f.Peers; p.Enabled {
		fmt.Fprintf(w, "peers: on, at %s, seeds %v, encrypted %v; facts of servers %v, one level for the fleet's budgets %v\n", p.Bind, p.Seeds, p.KeyFile != "",
			p.ShareFacts, p.ShareBudget && f.Overload.Enabled)
	}
	if c.PreconnectRate > 0 {
		fmt.Fprintf(w, "opened ahead of need: %g a second on one server by all agents, %d idle ones each at the most\n", c.PreconnectRate, c.MaxPreconnected)
	}
}
