package operator

import (
	"time"

	"ryeweir/internal/config"
)

// File is the decoded operators' file.
type File struct {
	Connections  Connections  `toml:"connections"`
	HealthChecks HealthChecks `toml:"probes"`
	Snapshot     Snapshot     `toml:"snapshot"`
	Drain        Drain        `toml:"drain"`
	Overload     Overload     `toml:"overload"`
	Peers        Peers        `toml:"peers"`
}

// Snapshot configures how the knowledge of an agent is saved for the next process.
type Snapshot struct {
	Interval config.Duration `toml:"every"`  // between writes; 0 writes none
	MaxAge   config.Duration `toml:"oldest"` // older snapshots are not loaded
	Dir      string          `toml:"dir"`    // empty uses TMPDIR; without TMPDIR there are no snapshots
}

// Drain configures how an agent shuts down.
type Drain struct {
	MaxDuration config.Duration `toml:"longest"` // for answers still being sent; 0 uses the platform's limit
}

// Default returns the defaults of all keys.
func Default() File {
	return File{
		Connections:  defaultConnections(),
		HealthChecks: defaultHealthChecks(),
		Snapshot:     Snapshot{Interval: config.Duration(2 * time.Second), MaxAge: config.Duration(30 * time.Second)},
		Overload:     defaultOverload(),
		Peers:        Peers{Bind: "127.0.0.1:0", Seeds: []string{}, ShareFacts: true, ShareBudget: true},
	}
}

// Load reads and validates a file. An empty name returns the defaults.
func Load(name string) (File, error) {
	if name == "" {
		return Default(), nil
	}
	data, err := config.Read(name)
	if err != nil {
		return Default(), err
	}
	return Parse(name, data)
}

// Parse decodes and validates the text of a file. Missing keys keep their defaults; unknown keys are errors.
func Parse(name string, data []byte) (File, error) {
	file := Default()
	err := config.TOML(name, data, &file)
	return file, err
}
