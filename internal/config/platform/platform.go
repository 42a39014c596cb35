// Package platform reads what the platform tells an agent: the file that PROXY_CONFIG names, and the environment.
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

// Config is what the platform tells an agent.
type Config struct {
	Name           string
	Listen         string // where clients connect
	Discovery      string // host and port
	Control        string // where operators connect; empty for nowhere
	Seed           uint64 // for random numbers
	Cores          float64
	MemoryMB       int
	MaxDescriptors int // file descriptors that the process may hold
	Site           wire.Site

	CachedEndpoints discovery.EndpointList // the servers that an earlier life of the agent knew
	AcceptWindow    time.Duration          // new clients are accepted for so long after the signal to end
}

// configFile is the form of the file that PROXY_CONFIG names.
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

// DefaultAcceptWindow is how long clients are accepted after the signal to end: new connections come for up to 0.4 s after it, and the
// platform kills 0.7 s after the longest deadline at the soonest.
const DefaultAcceptWindow = 550 * time.Millisecond

// Limits that hold where the configuration states none.
const (
	defaultSockets  = 1024
	defaultMemoryMB = 192
)

// Load reads the configuration that the environment points to.
func Load(getenv func(string) string) (Config, error) {
	path := getenv("PROXY_CONFIG")
	if path == "" {
		return Config{}, errors.New("PROXY_CONFIG is not set")
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("reading the configuration: %w", err)
	}
	cfg, err := Parse(data, getenv)
	if err != nil {
		return Config{}, fmt.Errorf("configuration %s: %w", path, err)
	}
	return cfg, nil
}

// Reload reads the file again. It has been replaced since the process started and the environment has not, so
// that the file's address of discovery goes first.
func Reload(getenv func(string) string) (Config, error) {
	return Load(func(variable string) string {
		if variable == "PROXY_DISCOVERY" {
			return ""
		}
		return getenv(variable)
	})
}

// Parse decodes and checks the file's text. Variables that are set go before it.
func Parse(data []byte, getenv func(string) string) (cfg Config, err error) {
	var f configFile
	if err := json.Unmarshal(data, &f); err != nil {
		return cfg, err
	}
	prefer := func(variable, text string) string {
		if v := getenv(variable); v != "" {
			return v
		}
		return text
	}
	cfg = Config{Name: prefer("PROXY_NAME", f.Name), Listen: prefer("PROXY_LISTEN", f.Listen),
		Discovery: prefer("PROXY_DISCOVERY", f.Discovery), Control: prefer("PROXY_CONTROL", f.Control), Cores: f.Limits.Cores, MemoryMB: f.Limits.MemoryMB,
		MaxDescriptors: f.Limits.Sockets, AcceptWindow: DefaultAcceptWindow}
	if cfg.MaxDescriptors <= 0 {
		cfg.MaxDescriptors = defaultSockets
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

// decodeSite reads the settings and checks what the agent, rather than the module, needs of them.
func decodeSite(data []byte) (wire.Site, error) {
	if len(data) == 0 {
		return wire.Site{}, errors.New("missing")
	}
	site, err := wire.DecodeSettings(data)
	if err != nil {
		return site, err
	}
	if site.ConnectTimeout <= 0 || site.IdleTimeout <= 0 {
		return site, errors.New("the connect time-out and the idle limit must be above 0")
	}
	// On sockets any refusal may carry Retry-After, also where the simulator's clients are given none.
	site.Logic.MaxRetryAfter = site.MaxRetryAfter
	// Nor is anybody there allowed four times the usual time after a call that failed.
	site.Logic.MaxPollRetryInterval = discovery.MaxRetryInterval
	return site, nil
}

// Check checks the text of a configuration file as the agent would read it without an environment. Errors name file,
// line and key as far as they have them.
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

// Describe prints in words what a configuration means.
func (cfg Config) Describe(w io.Writer) {
	control := cfg.Control
	if control == "" {
		control = "nowhere"
	}
	fmt.Fprintf(w, "agent %s: clients at %s, operators at %s, discovery at %s\n", cfg.Name, cfg.Listen, control, cfg.Discovery)
	fmt.Fprintf(w, "limits: %g cores, %d MB, %d descriptors\n", cfg.Cores, cfg.MemoryMB, cfg.MaxDescriptors)
	fmt.Fprintf(w, "fleet: agent %d of %d; %d backends known from before\n", cfg.Site.Logic.BalancerIndex, cfg.Site.Logic.Balancers, len(cfg.CachedEndpoints.Endpoints))
	effects := map[logic.Idempotency]string{logic.Idempotent: "safe to repeat", logic.IdempotentWithKey: "carries a key", logic.NonIdempotent: "must never run twice"}
	for _, c := range cfg.Site.Logic.Classes {
		fmt.Fprintf(w, "class %s: %s, wanted within %v, deadline %v, worth %g\n", c.Name, effects[c.Idempotency], c.LatencyObjective, c.Timeout, c.PriorityWeight)
	}
}
