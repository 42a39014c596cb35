package experiment

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"ryeweir/internal/config"
	"ryeweir/internal/emulator"
	"ryeweir/internal/emulator/discovery"
	"ryeweir/internal/processrig"
)

// Cost has the figures of one process, the agent or the plain proxy, at one rate.
type Cost struct {
	Process               string  `json:"through"`
	Rate                  string  `json:"rate"`
	PerSecond             float64 `json:"answers_per_second"`
	CPU                   float64 `json:"cpu_us_per_answer"`
	Low                   float64 `json:"cpu_low"` // bounds of the 95% interval of CPU over slices
	High                  float64 `json:"cpu_high"`
	MemoryMB              float64 `json:"memory_mb"`               // resident memory at the end of the measurement
	OpenConnections       int     `json:"connections"`             // open connections from the agent to the servers at the end; 0 for the proxy
	HandshakesPerThousand float64 `json:"handshakes_per_thousand"` // handshakes of the agent per thousand answers; 0 for the proxy
	P50                   float64 `json:"p50_ms"`
	P99                   float64 `json:"p99_ms"`
	P999                  float64 `json:"p99_9_ms"`
}

const (
	loadConnections    = 32 // requests in flight at full speed
	instantServerCount = 4  // servers behind the agent and the proxy
	warmUpTime         = time.Second
	sliceLength        = time.Second // the processes are loaded alternately for this long, so that other load on the machine affects both
)

// PlainProxy serves l with Go's reverse proxy on one processor core, with the targets in turn, until ctx ends. Each target is a host:port.
func PlainProxy(ctx context.Context, l net.Listener, targets []string) error {
	if len(targets) == 0 {
		return errors.New("the proxy needs at least one target")
	}
	runtime.GOMAXPROCS(1)
	var next atomic.Uint64
	proxy := &httputil.ReverseProxy{
		Rewrite: func(r *httputil.ProxyRequest) {
			r.SetURL(&url.URL{Scheme: "http", Host: targets[next.Add(1)%uint64(len(targets))]})
		},
		Transport: &http.Transport{MaxIdleConnsPerHost: 2 * loadConnections},
	}
	srv := &http.Server{Handler: proxy, ReadHeaderTimeout: 5 * time.Second}
	stop := context.AfterFunc(ctx, func() { srv.Close() })
	defer stop()
	if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// serveInstantly answers the requests on a connection at once, without any model of work, until done is closed. The time that is measured
// is thus that of the process in front of the server.
func serveInstantly(c net.Conn, done <-chan struct{}) {
	defer c.Close()
	go func() { <-done; c.Close() }()
	in := bufio.NewReader(c)
	answer := "HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\n" + strings.Repeat("x", 400)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if _, err := io.WriteString(c, answer); err != nil {
			return
		}
	}
}

// compareRates returns the rates at which both processes are measured, in requests per second; 0 is full speed.
func compareRates() []int { return []int{300, 1200, 0} }

// Compare measures the agent and a plain proxy, with one core each, in front of the same servers, which answer at once. The two are
// measured in alternating slices for about the given duration per rate. For each rate Compare returns the Cost of the agent and that of the
// proxy, and the interval of the ratio of the agent's CPU time to the proxy's. self is the path of this program.
func Compare(ctx context.Context, self string, duration time.Duration) ([]Cost, []Interval, error) {
	dir, err := os.MkdirTemp("", "ryeweir-compare-")
	if err != nil {
		return nil, nil, err
	}
	defer os.RemoveAll(dir)
	servers, err := startInstantServers()
	if err != nil {
		return nil, nil, err
	}
	defer servers.close()
	processes, err := startProcesses(ctx, self, dir, servers)
	defer func() {
		for _, process := range processes {
			process.stop()
		}
	}()
	if err != nil {
		return nil, nil, err
	}
	var costs []Cost
	var ratios []Interval
	for _, rate := range compareRates() {
		ratio, err := measureInTurn(ctx, processes, rate, max(2, int(duration/sliceLength)))
		if err != nil {
			return costs, ratios, err
		}
		for _, process := range processes {
			cost, err := process.cost(rate)
			if err != nil {
				return costs, ratios, err
			}
			costs = append(costs, cost)
		}
		ratios = append(ratios, ratio)
	}
	return costs, ratios, nil
}

// instantServers are servers that answer at once, and the discovery service that lists them.
type instantServers struct {
	addrs     []string
	discovery string // address of the discovery service
	registry  *discovery.Server
	listeners []net.Listener
	done      chan struct{}
	running   sync.WaitGroup
}

// startInstantServers starts the servers and their discovery service on loopback.
func startInstantServers() (*instantServers, error) {
	f := &instantServers{registry: discovery.New(discovery.Config{}), done: make(chan struct{})}
	for i := range instantServerCount {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			f.close()
			return nil, err
		}
		f.listeners = append(f.listeners, l)
		addr := l.Addr().String()
		f.addrs = append(f.addrs, addr)
		f.registry.Set(discovery.Entry{ID: fmt.Sprintf("instant-%d", i), Addr: addr, Zone: "colombo", Kind: "gen-a", State: discovery.Ready, Weight: 1}, 0)
		f.running.Go(func() { f.accept(l) })
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.close()
		return nil, err
	}
	f.registry.Serve(l, "agent-0")
	f.discovery = l.Addr().String()
	return f, nil
}

// accept serves the connections of one server until its listener is closed.
func (f *instantServers) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		f.running.Go(func() { serveInstantly(c, f.done) })
	}
}

// close stops the servers and their discovery service.
func (f *instantServers) close() {
	for _, l := range f.listeners {
		l.Close()
	}
	f.registry.Close()
	close(f.done)
	f.running.Wait()
}

// startProcesses starts the agent and the plain proxy in front of the servers. With an error it returns the processes that it has started,
// which the caller must stop.
func startProcesses(ctx context.Context, self, dir string, servers *instantServers) (processes []*measuredProcess, err error) {
	for i, name := range []string{"agent", "proxy"} {
		listen, control, err := processrig.FreePortPair("127.0.0.1", i)
		if err != nil {
			return processes, err
		}
		command := exec.Command(self, "proxy", "--listen", listen, "--target", strings.Join(servers.addrs, ","))
		if name == "agent" {
			if command, err = agentCommand(self, dir, listen, control, servers.discovery); err != nil {
				return processes, err
			}
		}
		process, err := startMeasured(ctx, name, command, listen)
		if err != nil {
			return processes, err
		}
		if name == "agent" {
			process.control = control
		}
		processes = append(processes, process)
	}
	return processes, nil
}

// agentCommand writes the configuration of an agent with these addresses and the settings of the default scenario to dir, and returns the
// command that runs the agent.
func agentCommand(self, dir, listen, control, discoveryAddr string) (*exec.Cmd, error) {
	spec := emulator.DefaultScenario()
	spec.Agents = 1
	spec.Length = config.Duration(time.Second)
	scenario, err := spec.Draw(1)
	if err != nil {
		return nil, err
	}
	text, err := scenario.AgentConfig(0, listen, control, discoveryAddr, emulator.DefaultLimits(), nil)
	if err != nil {
		return nil, err
	}
	file := filepath.Join(dir, "agent.json")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return nil, err
	}
	command := exec.Command(self, "agent")
	command.Env = append(os.Environ(), "PROXY_CONFIG="+file)
	return command, nil
}

// measureInTurn measures the agent and the proxy in alternating slices, and returns the interval of the ratio of the agent's CPU time
// to the proxy's. The one that goes first changes each round.
func measureInTurn(ctx context.Context, processes []*measuredProcess, rate, rounds int) (Interval, error) {
	for _, process := range processes {
		process.warmUp(ctx, rate)
	}
	ratios := make([]float64, rounds)
	for round := range rounds {
		var cpu [2]float64
		for k := range processes {
			i := (k + round) % 2
			used, err := processes[i].measureSlice(ctx, rate)
			if err != nil {
				return Interval{}, fmt.Errorf("measuring the %s at %s, round %d of %d: %w", processes[i].name, rateName(rate), round+1, rounds, err)
			}
			cpu[i] = used
		}
		ratios[round] = cpu[0] / cpu[1]
	}
	return bootstrap(ratios), nil
}
