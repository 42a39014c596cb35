// Package platform reads the configuration that the platform gives to an agent: a JSON file, whose path is in the environment variable
// PROXY_CONFIG, and other environment variables, which override the file.
package platform

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"time"

	"ryeweir/internal/config"
	"ryeweir/internal/discovery"
	"ryeweir/internal/wire"
	"ryeweir/logic"
)

// Config is the configuration that the platform gives to an agent.
type Config struct {
	Name           string
	Listen         string // address for clients
	Discovery      string // address of the discovery service, host and port
	Control        string // address for operators; empty if there is none
	Seed           uint64 // for random number generators
	Cores          float64
	MemoryMB       int
	MaxDescriptors int // maximum number of file descriptors of the process
	Site           wire.Site

	CachedEndpoints discovery.EndpointList // endpoint list that an earlier process of the agent received
	AcceptWindow    time.Duration          // how long new clients are accepted after the termination signal
}

// configFile is the JSON form of the file. Its keys are the platform's; Parse maps them to Config.
type configFile struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Control   string `json:"control"`
	Seed      string `json:"seed"`
	Limits    struct {
		Cores    float64 `json:"cores"`
		MemoryMB int     `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	Known    json.RawMessage `json:"known"`
	Settings json.RawMessage `json:"settings"`
}

// DefaultAcceptWindow is how long clients are accepted after the termination signal. New connections arrive for up to 0.4 s after it, and
// the platform kills the process no earlier than 0.7 s after the longest deadline.
const DefaultAcceptWindow = 550 * time.Millisecond

// Limits that apply if the configuration has none.
const (
	defaultMaxDescriptors = 1024
	defaultMemoryMB       = 192
)

// Load reads the configuration file that PROXY_CONFIG names, and applies the other environment variables.
func Load(getenv func(string) string) (Config, error) {
	path := getenv("PROXY_CONFIG")
	if path == "" {
		return Config{}, errors.New("PROXY_CONFIG is not set")
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("read configuration: %w", err)
	}
	cfg, err := Parse(data, getenv)
	if err != nil {
		return Config{}, fmt.Errorf("configuration %s: %w", path, err)
	}
	return cfg, nil
}

// Reload reads the file again. It ignores PROXY_DISCOVERY: the file may have been replaced since the process started but the environment
// has not, so the discovery address in the file is the current one.
func Reload(getenv func(string) string) (Config, error) {
	return Load(func(variable string) string {
		if variable == "PROXY_DISCOVERY" {
			return ""
		}
		return getenv(variable)
	})
}

// Parse decodes and validates the text of the file. Environment variables that are set override it.
func Parse(data []byte, getenv func(string) string) (cfg Config, err error) {
	var f configFile
	if err := json.Unmarshal(data, &f); err != nil {
		return cfg, err
	}
	envOr := func(variable, fromFile string) string {
		if v := getenv(variable); v != "" {
			return v
		}
		return fromFile
	}
	cfg = Config{Name: envOr("PROXY_NAME", f.Name), Listen: envOr("PROXY_LISTEN", f.Listen),
		Discovery: envOr("PROXY_DISCOVERY", f.Discovery), Control: envOr("PROXY_CONTROL", f.Control), Cores: f.Limits.Cores, MemoryMB: f.Limits.MemoryMB,
		MaxDescriptors: f.Limits.Sockets, AcceptWindow: DefaultAcceptWindow}
	if cfg.MaxDescriptors <= 0 {
		cfg.MaxDescriptors = defaultMaxDescriptors
	}
	if cfg.MemoryMB <= 0 {
		cfg.MemoryMB = defaultMemoryMB
	}
	if _, _, err := net.SplitHostPort(cfg.Listen); err != nil {
		return cfg, fmt.Errorf("listen: %w", err)
	}
	if _, _, err := net.SplitHostPort(cfg.Discovery); err != nil {
		return cfg, fmt.Errorf("discovery: %w", err)
	}
	if cfg.Control != "" {
		if _, _, err := net.SplitHostPort(cfg.Control); err != nil {
			return cfg, fmt.Errorf("control: %w", err)
		}
	}
	if cfg.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
		return cfg, fmt.Errorf("seed: %w", err)
	}
	if cfg.Site, err = decodeSite(f.Settings); err != nil {
		return cfg, fmt.Errorf("settings: %w", err)
	}
	if len(f.Known) > 0 {
		if cfg.CachedEndpoints, err = discovery.ParseEndpointList(f.Known); err != nil {
			return cfg, fmt.Errorf("known: %w", err)
		}
	}
	return cfg, nil
}

// decodeSite decodes the settings and validates those that the agent uses. Package logic validates its own.
func decodeSite(data []byte) (wire.Site, error) {
	if len(data) == 0 {
		return wire.Site{}, errors.New("missing")
	}
	site, err := wire.DecodeSettings(data)
	if err != nil {
		return site, err
	}
	if site.ConnectTimeout <= 0 || site.IdleTimeout <= 0 {
		return site, errors.New("the connect timeout and the idle timeout must be above 0")
	}
	// Over HTTP any rejection may carry Retry-After, even if the settings forbid it for clients in the simulator.
	site.Logic.MaxRetryAfter = site.MaxRetryAfter
	// The simulator allows four times the usual poll interval after a failed poll. The platform does not, so the retry interval of the
	// discovery client is the limit.
	site.Logic.MaxPollRetryInterval = discovery.MaxRetryInterval
	return site, nil
}

// Check validates the text of a configuration file as an agent without environment variables would read it. Errors are of type
// config.Error and contain the file, and the line and key if they are known.
func Check(file string, data []byte) (Config, error) {
	var f configFile
	if err := config.JSON(file, data, &f); err != nil {
		return Config{}, err
	}
	cfg, err := Parse(data, func(string) string { return "" })
	if err != nil {
		key, rest, ok := strings.Cut(err.Error(), ": ")
		at := bytes.Index(data, []byte(`"`+key+`"`))
		if !ok || at < 0 {
			return cfg, &config.Error{File: file, Err: err}
		}
		return cfg, &config.Error{File: file, Line: 1 + bytes.Count(data[:at], []byte("\n")), Key: key, Err: errors.New(rest)}
	}
	return cfg, nil
}

// Describe prints a summary of the configuration.
func (cfg Config) Describe(w io.Writer) {
	control := cfg.Control
	if control == "" {
		control = "nowhere"
	}
	fmt.Fprintf(w, "agent %s: clients at %s, operators at %s, discovery at %s\n", cfg.Name, cfg.Listen, control, cfg.Discovery)
	fmt.Fprintf(w, "limits: %g cores, %d MB, %d file descriptors\n", cfg.Cores, cfg.MemoryMB, cfg.MaxDescriptors)
	fmt.Fprintf(w, "fleet: agent %d of %d; %d endpoints in the cached list\n", cfg.Site.Logic.BalancerIndex, cfg.Site.Logic.Balancers, len(cfg.CachedEndpoints.Endpoints))
	idempotency := map[logic.Idempotency]string{logic.Idempotent: "safe to repeat", logic.IdempotentWithKey: "safe to repeat with its key", logic.NonIdempotent: "must not be repeated"}
	for _, c := range cfg.Site.Logic.Classes {
		fmt.Fprintf(w, "class %s: %s, latency objective %v, timeout %v, priority weight %g\n", c.Name, idempotency[c.Idempotency], c.LatencyObjective, c.Timeout, c.PriorityWeight)
	}
}
