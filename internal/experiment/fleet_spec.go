package experiment

import (
	"errors"
	"fmt"
	"time"

	"github.com/pelletier/go-toml/v2"

	"ryeweir/internal/config"
	"ryeweir/internal/config/operator"
)

// FleetSpec is the content of a file that specifies a model of many agents' connections in simulated time. Each agent has a connection
// table of package pool and sends to its subset of the servers at a constant mean rate. The first server may restart, and the second may be
// partitioned for a while.
type FleetSpec struct {
	Name                     string          `toml:"name"`
	Agents                   int             `toml:"agents"`
	Servers                  int             `toml:"servers"`
	Subset                   int             `toml:"subset"`    // number of servers that an agent sends to
	Rate                     float64         `toml:"rate"`      // requests per second of all agents together
	NonIdempotentFraction    float64         `toml:"careful"`   // fraction of the requests that are not idempotent
	Length                   config.Duration `toml:"length"`    // of a run
	Cores                    int             `toml:"cores"`     // of each server
	Work                     config.Duration `toml:"work"`      // mean CPU time of a request
	Handshake                config.Duration `toml:"handshake"` // CPU time of a handshake
	RTT                      config.Duration `toml:"rtt"`
	IdleTimeout              config.Duration `toml:"idle"`         // idle time after which servers close a connection, according to the agents' settings
	ActualIdleTimeout        config.Duration `toml:"closes"`       // idle time after which servers actually close a connection; 0s: IdleTimeout
	RandomCloseRate          float64         `toml:"random_close"` // rate per second at which a server closes an idle connection at random
	RestartAt                config.Duration `toml:"start"`        // when the first server restarts; 0s: never
	SlowStartInitialFraction float64         `toml:"cold_from"`    // speed of a server at its restart, as a fraction of its full speed
	SlowStartWindow          config.Duration `toml:"cold_for"`     // time after a restart in which the speed rises to the full speed; 0s: no slow start
	PartitionAt              config.Duration `toml:"cut"`          // when the second server is partitioned; 0s: never
	PartitionDuration        config.Duration `toml:"cut_for"`      // connections opened before the partition stay open, but are dead during and after it
	ClientTimeout            config.Duration `toml:"patience"`     // time after which the agent gives up a request
	Repeats                  int             `toml:"repeats"`
	Seed                     uint64          `toml:"seed"`
	Variants                 []FleetVariant  `toml:"fleet_arm"`
}

// FleetVariant is one configuration of the agents' connection tables.
type FleetVariant struct {
	Name        string         `toml:"name"`
	Connections map[string]any `toml:"connections"` // as in an operators' file

	read operator.Connections // Connections as parsed by Check
}

// DefaultFleet returns a FleetSpec with the defaults, without variants.
func DefaultFleet() FleetSpec {
	d := func(t time.Duration) config.Duration { return config.Duration(t) }
	return FleetSpec{Agents: 200, Servers: 20, Subset: 6, Rate: 2000, NonIdempotentFraction: 0.4, Length: d(30 * time.Second), Cores: 8,
		Work: d(30 * time.Millisecond), Handshake: d(4 * time.Millisecond), RTT: d(time.Millisecond), IdleTimeout: d(10 * time.Second),
		SlowStartInitialFraction: 0.2, SlowStartWindow: d(15 * time.Second), ClientTimeout: d(800 * time.Millisecond), Repeats: 5, Seed: 1}
}

// Check returns an error that names all wrong keys, and parses the connection settings of each variant.
func (s *FleetSpec) Check() error {
	var all []error
	wrong := func(bad bool, key, format string, args ...any) {
		if bad {
			all = append(all, config.Wrong(key, format, args...))
		}
	}
	wrong(s.Agents < 1 || s.Agents > 20000, "agents", "must be from 1 to 20000, not %d", s.Agents)
	wrong(s.Servers < 2 || s.Servers > 2000, "servers", "must be from 2 to 2000, not %d", s.Servers)
	wrong(s.Subset < 1 || s.Subset > s.Servers, "subset", "must be from 1 to the number of servers, %d, not %d", s.Servers, s.Subset)
	wrong(s.Cores < 1 || s.Work <= 0 || s.Handshake < 0 || s.RTT <= 0 || s.IdleTimeout <= 0 || s.ClientTimeout <= 0, "cores", "cores must be at least 1, work, rtt, idle and patience above 0 and handshake at least 0, not %d, %v, %v, %v, %v and %v",
		s.Cores, s.Work.D(), s.RTT.D(), s.IdleTimeout.D(), s.ClientTimeout.D(), s.Handshake.D())
	wrong(!(s.Rate > 0) || s.Rate*s.Length.D().Seconds()*float64(max(1, s.Repeats)) > maxFleetRequests, "rate", "must be above 0 and make at most %d requests in all repeats of an arm (rate times length times repeats), not %v", maxFleetRequests, s.Rate)
	wrong(!(s.NonIdempotentFraction >= 0 && s.NonIdempotentFraction <= 1), "careful", "must be from 0 to 1, not %v", s.NonIdempotentFraction)
	wrong(!(s.RandomCloseRate >= 0), "random_close", "must be at least 0, not %v", s.RandomCloseRate)
	wrong(s.SlowStartWindow > 0 && !(s.SlowStartInitialFraction > 0 && s.SlowStartInitialFraction <= 1), "cold_from", "must be above 0 and at most 1 where cold_for is above 0, not %v", s.SlowStartInitialFraction)
	wrong(s.Repeats < 1 || s.Repeats > maxRepeats, "repeats", "must be from 1 to %d, not %d", maxRepeats, s.Repeats)
	wrong(len(s.Variants) == 0, "name", "a fleet model needs at least one [[fleet_arm]]")
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
