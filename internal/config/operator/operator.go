package operator

import (
	"time"

	"ryeweir/internal/config"
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

// Snapshot is how what an agent has learnt is persisted for the next process.
type Snapshot struct {
	Interval config.Duration `toml:"every"`  // between writes; 0 for none
	MaxAge   config.Duration `toml:"oldest"` // of a snapshot that is restored
	Dir      string          `toml:"dir"`    // empty for TMPDIR, and none without one
}

// Drain is how an agent shuts down.
type Drain struct {
	MaxDuration config.Duration `toml:"longest"` // of answers that still flow; 0 for the platform's
}

// Default returns the file in which nothing is set.
func Default() File {
	return File{
		Connections:  defaultConnections(),
		HealthChecks: defaultHealthChecks(),
		Snapshot:     Snapshot{Interval: config.Duration(2 * time.Second), MaxAge: config.Duration(30 * time.Second)},
		Overload:     defaultOverload(),
		Peers:        Peers{Bind: "127.0.0.1:0", Seeds: []string{}, ShareFacts: true, ShareBudget: true},
	}
}

// Load reads and checks a file; an empty name gives the defaults.
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

// Parse reads and checks the text of a file. Keys that it doesn't have keep their defaults; unknown keys are errors.
func Parse(name string, data []byte) (File, error) {
	file := Default()
	err := config.TOML(name, data, &file)
	return file, err
}
