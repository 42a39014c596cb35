package experiment

import (
	"errors"
	"fmt"
	"time"

	"github.com/pelletier/go-toml/v2"

	"ryeweir/internal/config"
	"ryeweir/internal/config/operator"
)

// FleetSpec is the file of a model of many agents' connections in simulated time. Each agent has a connection table of package pool, and
// sends at a steady rate to its subset of the servers. One server restarts during the scenario, and another is partitioned for a while.
type FleetSpec struct {
	Name                     string          `toml:"name"`
	Agents                   int             `toml:"agents"`
	Servers                  int             `toml:"servers"`
	Subset                   int             `toml:"subset"`    // servers that an agent sends to
	Rate                     float64         `toml:"rate"`      // requests a second of all agents
	NonIdempotentFraction    float64         `toml:"careful"`   // fraction of them that are not idempotent
	Length                   config.Duration `toml:"length"`    // of the scenario
	Cores                    int             `toml:"cores"`     // of a server
	Work                     config.Duration `toml:"work"`      // mean processor time of a request
	Handshake                config.Duration `toml:"handshake"` // and of a handshake
	RTT                      config.Duration `toml:"rtt"`
	IdleTimeout              config.Duration `toml:"idle"`         // idle time after which servers close a connection, as the agents' settings have it
	ActualIdleTimeout        config.Duration `toml:"closes"`       // the same, as the servers do; 0s: as in the settings
	RandomCloseRate          float64         `toml:"random_close"` // rate, per second, at which servers close an idle connection at random
	RestartAt                config.Duration `toml:"start"`        // when the first server restarts; 0s: never
	SlowStartInitialFraction float64         `toml:"cold_from"`
	SlowStartWindow          config.Duration `toml:"cold_for"`
	PartitionAt              config.Duration `toml:"cut"`     // when the second server is partitioned; 0s: never
	PartitionDuration        config.Duration `toml:"cut_for"` // connections that were open stay open, but carry nothing from then on
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
