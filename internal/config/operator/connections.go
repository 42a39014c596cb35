package operator

import (
	"time"

	"ryeweir/internal/config"
	"ryeweir/internal/pool"
)

// Connections configures how connections to endpoints are opened, reused and closed. A limit on connections, handshakes or
// waiting attempts that is 0 is not set: the agent then derives the limit from its own limits.
type Connections struct {
	MaxConnections            int             `toml:"places"` // takes effect at the next start
	MaxPerEndpoint            int             `toml:"per_server"`
	MaxHandshakes             int             `toml:"handshakes"`            // concurrent
	MaxHandshakesPerEndpoint  int             `toml:"handshakes_per_server"` // concurrent
	MaxWaiters                int             `toml:"waiting"`               // attempts that wait for a connection
	AcquireTimeout            config.Duration `toml:"wait"`                  // for such an attempt; 0 uses the platform's connect timeout
	ReuseOrder                string          `toml:"reuse"`                 // a key of reuseOrders
	MaxAge                    config.Duration `toml:"max_age"`               // of a connection; 0 means no limit
	AgeJitter                 float64         `toml:"age_jitter"`            // fraction of MaxAge by which the maximum ages are spread
	MaxRequests               int             `toml:"max_uses"`              // on one connection; 0 means no limit
	IdleFraction              float64         `toml:"idle_part"`             // fraction of the endpoints' idle timeout after which a connection is not reused
	MinIdleLimit              config.Duration `toml:"idle_least"`            // lower bound of a learned idle limit
	IdleLimitDoublingTime     config.Duration `toml:"idle_heal"`             // time in which a lowered idle limit doubles
	NonIdempotentIdleFraction float64         `toml:"sure_part"`             // fraction of the idle limit for requests that must not be repeated
	SuspectAfterFailures      int             `toml:"suspect_after"`         // consecutive failed exchanges; 0 disables
	SuspectWindow             config.Duration `toml:"suspect_within"`        // within which these failures must occur
	SuspectAction             string          `toml:"suspect"`               // suspectTry or suspectClose
	PreopenRate               float64         `toml:"ahead_per_second"`      // connections per second to one endpoint by all agents; 0 disables
	PreopenMaxIdle            int             `toml:"ahead_most"`            // upper bound on idle connections of one agent to one endpoint that it preopens
	PreopenMinIdle            int             `toml:"ahead_keep"`            // lower bound on them, at any request rate
	SocketBufferBytes         int             `toml:"socket_buffer_bytes"`   // per direction; 0 lets it follow from the memory limit; takes effect at the next start
}

// Actions for the older connections of an endpoint after failed exchanges.
const (
	suspectTry   = "try"   // try them first, with requests that may be repeated
	suspectClose = "close" // close them
)

var reuseOrders = map[string]pool.ReuseOrder{"newest": pool.MostRecentlyUsed, "oldest": pool.LeastRecentlyUsed, "fewest": pool.FewestRequests}

const (
	maxConnections       = 1 << 16
	minSocketBufferBytes = 4 << 10
	maxSocketBufferBytes = 16 << 20
	minIdleDuration      = time.Millisecond
)

func defaultConnections() Connections {
	defaults := pool.DefaultSettings(1)
	return Connections{
		ReuseOrder:                "newest",
		AgeJitter:                 0.2,
		IdleFraction:              defaults.IdleFraction,
		MinIdleLimit:              config.Duration(defaults.MinIdleLimit),
		IdleLimitDoublingTime:     config.Duration(defaults.IdleLimitDoublingTime),
		NonIdempotentIdleFraction: defaults.NonIdempotentIdleFraction,
		SuspectAfterFailures:      defaults.SuspectAfterFailures,
		SuspectWindow:             config.Duration(defaults.SuspectWindow),
		SuspectAction:             suspectClose,
		PreopenMaxIdle:            defaults.PreopenMaxIdle,
	}
}

func (c *Connections) check(p *problems) {
	for key, limit := range map[string]int{
		"places":                c.MaxConnections,
		"per_server":            c.MaxPerEndpoint,
		"handshakes":            c.MaxHandshakes,
		"handshakes_per_server": c.MaxHandshakesPerEndpoint,
		"waiting":               c.MaxWaiters,
		"max_uses":              c.MaxRequests,
		"suspect_after":         c.SuspectAfterFailures,
		"ahead_most":            c.PreopenMaxIdle,
		"ahead_keep":            c.PreopenMinIdle,
	} {
		p.require(limit >= 0 && limit <= maxConnections, "connections."+key, "must be from 0 to %d", maxConnections)
	}
	p.requireDuration("connections.wait", c.AcquireTimeout)
	p.requireDuration("connections.max_age", c.MaxAge)
	for key, value := range map[string]config.Duration{
		"idle_least":     c.MinIdleLimit,
		"idle_heal":      c.IdleLimitDoublingTime,
		"suspect_within": c.SuspectWindow,
	} {
		p.require(value.D() >= minIdleDuration && value.D() <= maxDuration, "connections."+key, "must be from 1ms to %v", maxDuration)
	}
	p.requireRatio("connections.age_jitter", c.AgeJitter)
	p.requireRatio("connections.sure_part", c.NonIdempotentIdleFraction)
	p.requireRatio("connections.idle_part", c.IdleFraction)
	p.require(c.IdleFraction != 0, "connections.idle_part", "must be above 0")
	p.requireRate("connections.ahead_per_second", c.PreopenRate)
	p.require(c.SocketBufferBytes == 0 || c.SocketBufferBytes >= minSocketBufferBytes && c.SocketBufferBytes <= maxSocketBufferBytes,
		"connections.socket_buffer_bytes", "must be 0, or from %d to %d", minSocketBufferBytes, maxSocketBufferBytes)
	_, known := reuseOrders[c.ReuseOrder]
	p.require(known, "connections.reuse", "%q is not newest, oldest or fewest", c.ReuseOrder)
	p.require(c.SuspectAction == suspectTry || c.SuspectAction == suspectClose, "connections.suspect", "%q is not try or close", c.SuspectAction)
}

// Settings returns the settings of the pool: the derived ones, overridden by those that the file sets.
func (c *Connections) Settings(derived pool.Settings) pool.Settings {
	settings := derived
	if c.MaxConnections > 0 {
		limit := min(settings.MaxConnections, c.MaxConnections)
		settings.MaxConnections = limit
		settings.MaxPerEndpoint = min(settings.MaxPerEndpoint, limit)
		settings.MaxHandshakes = min(settings.MaxHandshakes, limit)
		settings.MaxHandshakesPerEndpoint = min(settings.MaxHandshakesPerEndpoint, limit)
	}
	override(&settings.MaxPerEndpoint, c.MaxPerEndpoint)
	override(&settings.MaxHandshakes, c.MaxHandshakes)
	override(&settings.MaxHandshakesPerEndpoint, c.MaxHandshakesPerEndpoint)
	override(&settings.MaxWaiters, c.MaxWaiters)
	if c.AcquireTimeout > 0 {
		settings.AcquireTimeout = c.AcquireTimeout.D()
	}
	settings.ReuseOrder = reuseOrders[c.ReuseOrder]
	settings.MaxAge = c.MaxAge.D()
	settings.AgeJitter = c.AgeJitter
	settings.MaxRequests = c.MaxRequests
	settings.IdleFraction = c.IdleFraction
	settings.MinIdleLimit = c.MinIdleLimit.D()
	settings.IdleLimitDoublingTime = c.IdleLimitDoublingTime.D()
	settings.NonIdempotentIdleFraction = c.NonIdempotentIdleFraction
	settings.SuspectAfterFailures = c.SuspectAfterFailures
	settings.SuspectWindow = c.SuspectWindow.D()
	settings.CloseSuspect = c.SuspectAction == suspectClose
	settings.PreopenRate = c.PreopenRate
	settings.PreopenMaxIdle = c.PreopenMaxIdle
	settings.PreopenMinIdle = c.PreopenMinIdle
	return settings
}

// override replaces a limit if the file sets one.
func override(limit *int, fromFile int) {
	if fromFile > 0 {
		*limit = fromFile
	}
}
