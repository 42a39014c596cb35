// Package operator reads the operators' file, which says how an agent does what the platform asks of it. Without one it
// behaves as the defaults say.
package operator

import (
	"errors"
	"fmt"
	"io"
	"time"

	"ryeweir/internal/config"
	"ryeweir/internal/pool"
)

// File is the operators' file.
type File struct {
	Connections Connections `toml:"connections"`
	Drain       Drain       `toml:"drain"`
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
	return File{Connections: Connections{Reuse: "newest", AgeJitter: 0.2, IdlePart: set.IdlePart, IdleLeast: config.Duration(set.IdleLeast),
		IdleHeal: config.Duration(set.IdleHeal), SurePart: set.SurePart, SuspectAfter: set.SuspectFailures,
		SuspectWithin: config.Duration(set.SuspectWithin), Suspect: "close", AheadMost: set.AheadMost}}
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

var orders = map[string]pool.Order{"newest": pool.Newest, "oldest": pool.Oldest, "fewest": pool.Fewest}

// Bounds of what a file may say.
const (
	mostPlaces  = 1 << 16
	leastBuffer = 4 << 10
	mostBuffer  = 16 << 20
	longestTime = 24 * time.Hour
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
	wrong(f.Drain.Longest < 0 || f.Drain.Longest.D() > longestTime, "drain.longest", "must be from 0s to %v", longestTime)
	return errors.Join(all...)
}

// Settings puts what the file says over what the agent has worked out.
func (c *Connections) Settings(set pool.Settings) pool.Settings {
	if c.Places > 0 {
		set.Most = min(set.Most, c.Places)
		set.PerNode, set.Opening, set.OpeningPerNode = min(set.PerNode, set.Most), min(set.Opening, set.Most), min(set.OpeningPerNode, set.Most)
	}
	for _, limit := range []struct {
		to   *int
		from int
	}{{&set.PerNode, c.PerServer}, {&set.Opening, c.Handshakes}, {&set.OpeningPerNode, c.HandshakesServer}, {&set.Waiting, c.Waiting}} {
		if limit.from > 0 {
			*limit.to = limit.from
		}
	}
	if c.Wait > 0 {
		set.Wait = c.Wait.D()
	}
	set.Order, set.MaxAge, set.AgeJitter, set.MaxUses = orders[c.Reuse], c.MaxAge.D(), c.AgeJitter, c.MaxUses
	set.IdlePart, set.IdleLeast, set.IdleHeal, set.SurePart = c.IdlePart, c.IdleLeast.D(), c.IdleHeal.D(), c.SurePart
	set.SuspectFailures, set.SuspectWithin, set.SuspectClose = c.SuspectAfter, c.SuspectWithin.D(), c.Suspect == "close"
	set.AheadRate, set.AheadMost, set.AheadKeep = c.AheadPerSecond, c.AheadMost, c.AheadKeep
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
	if f.Drain.Longest != fresh.Drain.Longest {
		keys = append(keys, "drain.longest")
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
	if c.AheadPerSecond > 0 {
		fmt.Fprintf(w, "opened ahead of need: %g a second on one server by all agents, %d idle ones each at the most\n", c.AheadPerSecond, c.AheadMost)
	}
}
