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

// Cost is what it takes to pass a request through.
type Cost struct {
	Process               string  `json:"through"`
	Rate                  string  `json:"rate"`
	PerSecond             float64 `json:"answers_per_second"`
	CPU                   float64 `json:"cpu_us_per_answer"`
	Low                   float64 `json:"cpu_low"` // of its 95% interval over slices
	High                  float64 `json:"cpu_high"`
	MemoryMB              float64 `json:"memory_mb"`               // resident, at the end
	OpenConnections       int     `json:"connections"`             // of the agent to the stand-ins, at the end
	HandshakesPerThousand float64 `json:"handshakes_per_thousand"` // answers
	P50                   float64 `json:"p50_ms"`
	P99                   float64 `json:"p99_ms"`
	P999                  float64 `json:"p99_9_ms"`
}

const (
	loadConnections    = 32
	instantServerCount = 4
	warmUpTime         = time.Second
	sliceLength        = time.Second // both are loaded in turn for so long, so that what else the machine does meets both
)

// PlainProxy is Go's reverse proxy before some backends, in turn, until the context ends.
func PlainProxy(ctx context.Context, l net.Listener, targets []string) error {
	if len(targets) == 0 {
		return errors.New("a proxy needs a target")
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

// serveInstantly answers each request at once. Nothing is modelled: what is measured is what stands before it.
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

// compareRates are the rates at which both are measured, in answers a second; 0 is full speed.
func compareRates() []int { return []int{300, 1200, 0} }

// Compare measures the agent beside a plain proxy before the same instant stand-ins, each with one core of its own to run on,
// in slices that take turns. Per rate it returns the two, and the interval of the agent's processor time over the proxy's.
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

// instantServers is instant stand-ins and the discovery that lists them.
type instantServers struct {
	addrs     []string
	discovery string // its address
	registry  *discovery.Server
	listeners []net.Listener
	done      chan struct{}
	running   sync.WaitGroup
}

// startInstantServers starts the stand-ins and their discovery on loopback.
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

// accept serves the connections of one stand-in until its listener closes.
func (f *instantServers) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		f.running.Go(func() { serveInstantly(c, f.done) })
	}
}

// close ends the stand-ins and their discovery.
func (f *instantServers) close() {
	for _, l := range f.listeners {
		l.Close()
	}
	f.registry.Close()
	close(f.done)
	f.running.Wait()
}

// startProcesses starts the agent and the plain proxy before the stand-ins. With an error it returns those that run.
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

// agentCommand is an agent at these addresses, with the settings of the default scenario.
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

// measureInTurn measures both in slices that take turns, and returns the interval of the agent's processor time over the proxy's.
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
				return Interval{}, fmt.Errorf("%s: %w", processes[i].name, err)
			}
			cpu[i] = used
		}
		ratios[round] = cpu[0] / cpu[1]
	}
	return bootstrap(ratios), nil
}
