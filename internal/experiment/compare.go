package experiment

import (
	"bufio"
	"context"
	"encoding/json"
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
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"ryeweir/internal/config"
	"ryeweir/internal/emulator"
	"ryeweir/internal/emulator/callers"
	"ryeweir/internal/emulator/discovery"
	"ryeweir/internal/emulator/referee"
	"ryeweir/internal/processrig"
)

// Cost is what it takes to pass a request through.
type Cost struct {
	Through   string  `json:"through"`
	Rate      string  `json:"rate"`
	PerSecond float64 `json:"answers_per_second"`
	CPU       float64 `json:"cpu_us_per_answer"`
	Low       float64 `json:"cpu_low"` // of its 95% interval over slices
	High      float64 `json:"cpu_high"`
	MemoryMB  float64 `json:"memory_mb"`               // resident, at the end
	Open      int     `json:"connections"`             // of the agent to the stand-ins, at the end
	Opened    float64 `json:"handshakes_per_thousand"` // answers
	P50       float64 `json:"p50_ms"`
	P99       float64 `json:"p99_ms"`
	P999      float64 `json:"p99_9_ms"`
}

const (
	compareConns = 32
	compareNodes = 4
	warmUp       = time.Second
	slice        = time.Second // both are loaded in turn for so long, so that what else the machine does meets both
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
		Transport: &http.Transport{MaxIdleConnsPerHost: 2 * compareConns},
	}
	srv := &http.Server{Handler: proxy, ReadHeaderTimeout: 5 * time.Second}
	stop := context.AfterFunc(ctx, func() { srv.Close() })
	defer stop()
	if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// instant answers each request at once. Nothing is modelled: what is measured is what stands before it.
func instant(c net.Conn, most <-chan struct{}) {
	defer c.Close()
	go func() { <-most; c.Close() }()
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
func Compare(ctx context.Context, self string, each time.Duration) ([]Cost, []Interval, error) {
	dir, err := os.MkdirTemp("", "ryeweir-compare-")
	if err != nil {
		return nil, nil, err
	}
	defer os.RemoveAll(dir)
	done := make(chan struct{})
	var nodes []string
	var all sync.WaitGroup
	defer all.Wait()
	defer close(done)
	disco := discovery.New(discovery.Config{})
	defer disco.Close()
	for i := range compareNodes {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, nil, err
		}
		defer l.Close()
		nodes = append(nodes, l.Addr().String())
		disco.Set(discovery.Entry{ID: fmt.Sprintf("instant-%d", i), Addr: l.Addr().String(), Zone: "colombo", Kind: "gen-a", State: discovery.Ready, Weight: 1}, 0)
		all.Go(func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				all.Go(func() { instant(c, done) })
			}
		})
	}
	dl, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	disco.Serve(dl, "agent-0")

	spec := emulator.DefaultDay()
	spec.Agents = 1
	spec.Length = config.Duration(time.Second)
	day, err := spec.Draw(1)
	if err != nil {
		return nil, nil, err
	}
	var both [2]*subject
	for i, through := range []string{"agent", "proxy"} {
		listen, operators, err := processrig.TwoPorts("127.0.0.1", i)
		if err != nil {
			return nil, nil, err
		}
		control := ""
		cmd := exec.Command(self, "proxy", "--listen", listen, "--target", strings.Join(nodes, ","))
		if through == "agent" {
			control = operators
			text, err := day.AgentConfig(0, listen, control, dl.Addr().String(), emulator.DefaultLimits(), nil)
			if err != nil {
				return nil, nil, err
			}
			file := filepath.Join(dir, "agent.json")
			if err := os.WriteFile(file, text, 0o600); err != nil {
				return nil, nil, err
			}
			cmd = exec.Command(self, "agent")
			cmd.Env = append(os.Environ(), "PROXY_CONFIG="+file)
		}
		s, err := startSubject(ctx, through, cmd, listen)
		if err != nil {
			return nil, nil, err
		}
		defer s.stop()
		s.control = control
		both[i] = s
	}
	var costs []Cost
	var ratios []Interval
	for _, rate := range compareRates() {
		rounds := max(2, int(each/slice))
		for _, s := range both {
			s.begin(ctx, rate)
		}
		quotients := make([]float64, rounds)
		for n := range rounds {
			var cpu [2]float64
			for k := range both {
				i := (k + n) % 2
				c, err := both[i].slice(ctx, rate)
				if err != nil {
					return costs, ratios, fmt.Errorf("%s: %w", both[i].through, err)
				}
				cpu[i] = c
			}
			quotients[n] = cpu[0] / cpu[1]
		}
		for _, s := range both {
			c, err := s.cost(rate)
			if err != nil {
				return costs, ratios, err
			}
			costs = append(costs, c)
		}
		ratios = append(ratios, bootstrap(quotients))
	}
	return costs, ratios, nil
}

// subject is a process that is measured.
type subject struct {
	through   string
	cmd       *exec.Cmd
	ended     chan error
	log       strings.Builder
	client    *callers.Client
	number    atomic.Uint64
	control   string    // the operators' address; empty without one
	opened    int64     // handshakes before what is measured
	cpu       []float64 // microseconds an answer, a slice each
	latencies []time.Duration
	took      time.Duration
}

// startSubject starts a process and waits until it serves.
func startSubject(ctx context.Context, through string, cmd *exec.Cmd, addr string) (*subject, error) {
	s := &subject{through: through, cmd: cmd, ended: make(chan error, 1), client: &callers.Client{Addr: addr, Dial: (&emulator.Loopback{}).Dialer("")}}
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	cmd.Stderr = &s.log
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	go func() { s.ended <- cmd.Wait() }()
	for end := time.Now().Add(processrig.ReadyIn); s.send(ctx).End != referee.Served; {
		if time.Now().After(end) || ctx.Err() != nil {
			s.stop()
			return nil, fmt.Errorf("%s serves nothing\n%s", through, s.log.String())
		}
		time.Sleep(20 * time.Millisecond)
	}
	return s, nil
}

func (s *subject) stop() {
	s.client.Close()
	s.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-s.ended:
	case <-time.After(processrig.StopIn):
		s.cmd.Process.Kill()
		<-s.ended
	}
}

func (s *subject) send(ctx context.Context) callers.Answer {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	id := fmt.Sprintf("%016x", s.number.Add(1))
	return s.client.Send(ctx, callers.Message{ID: id, Class: "price-basket", Tenant: "kottu-run", Key: "k:" + id[12:], Timeout: 2 * time.Second,
		Hint: 20 * time.Millisecond}, func() bool { return true })
}

// begin forgets what was measured and warms up.
func (s *subject) begin(ctx context.Context, rate int) {
	s.cpu, s.latencies, s.took = nil, nil, 0
	pace(ctx, rate, warmUp, s.send)
	s.opened, _, _ = s.connections() // 0 without: the end says what is wrong
}

// connections are how many an agent has opened so far, and how many are open.
func (s *subject) connections() (opened int64, open int, err error) {
	if s.control == "" {
		return 0, 0, nil
	}
	resp, err := http.Get("http://" + s.control + "/v1/metrics")
	if err != nil {
		return 0, 0, fmt.Errorf("figures: %w", err)
	}
	defer resp.Body.Close()
	var all struct {
		Connections struct {
			Opened int64 `json:"opened"`
			Open   int   `json:"open"`
		} `json:"connections"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&all); err != nil {
		return 0, 0, fmt.Errorf("figures: %w", err)
	}
	return all.Connections.Opened, all.Connections.Open, nil
}

// slice loads it for a while and returns the microseconds of processor time that an answer took.
func (s *subject) slice(ctx context.Context, rate int) (float64, error) {
	before, err := processorTime(s.cmd.Process.Pid)
	if err != nil {
		return 0, err
	}
	latencies, failed, took := pace(ctx, rate, slice, s.send)
	after, err := processorTime(s.cmd.Process.Pid)
	if err != nil {
		return 0, err
	}
	if len(latencies) == 0 || failed > len(latencies)/100 {
		return 0, fmt.Errorf("%d answers and %d failures\n%s", len(latencies), failed, s.log.String())
	}
	cpu := float64((after - before).Microseconds()) / float64(len(latencies))
	s.cpu, s.latencies, s.took = append(s.cpu, cpu), append(s.latencies, latencies...), s.took+took
	return cpu, nil
}

// cost sums up the slices.
func (s *subject) cost(rate int) (Cost, error) {
	memory, err := residentMB(s.cmd.Process.Pid)
	if err != nil {
		return Cost{}, err
	}
	opened, open, err := s.connections()
	if err != nil {
		return Cost{}, err
	}
	p, cpu := percentiles(s.latencies), bootstrap(s.cpu)
	c := Cost{Through: s.through, Rate: "full speed", PerSecond: float64(len(s.latencies)) / s.took.Seconds(), CPU: cpu.Mean, Low: cpu.Low, High: cpu.High,
		MemoryMB: memory, Open: open, Opened: 1000 * float64(opened-s.opened) / float64(len(s.latencies)), P50: p.P50, P99: p.P99, P999: p.P999}
	if rate > 0 {
		c.Rate = fmt.Sprintf("%d/s", rate)
	}
	return c, nil
}

// residentMB is what a process holds of memory (the second figure of statm, in pages: proc(5)).
func residentMB(pid int) (float64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, fmt.Errorf("memory: %w", err)
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0, fmt.Errorf("memory: statm of process %d has another form", pid)
	}
	pages, err := strconv.ParseFloat(fields[1], 64)
	if err != nil {
		return 0, fmt.Errorf("memory: %w", err)
	}
	return pages * float64(os.Getpagesize()) / (1 << 20), nil
}

// pace sends at a steady rate, open loop, or over so many connections as fast as answers come.
func pace(ctx context.Context, rate int, each time.Duration, send func(context.Context) callers.Answer) (latencies []time.Duration, failed int, took time.Duration) {
	var mu sync.Mutex
	note := func(from time.Time, a callers.Answer) {
		mu.Lock()
		defer mu.Unlock()
		if a.End == referee.Served {
			latencies = append(latencies, time.Since(from))
		} else {
			failed++
		}
	}
	var all sync.WaitGroup
	began := time.Now()
	if rate == 0 {
		for range compareConns {
			all.Go(func() {
				for time.Since(began) < each && ctx.Err() == nil {
					at := time.Now()
					note(at, send(ctx))
				}
			})
		}
	} else {
		for n := 0; ; n++ {
			at := began.Add(time.Duration(n) * time.Second / time.Duration(rate))
			if at.Sub(began) >= each || ctx.Err() != nil {
				break
			}
			time.Sleep(time.Until(at))
			all.Go(func() { note(at, send(ctx)) })
		}
	}
	all.Wait()
	return latencies, failed, time.Since(began)
}

// processorTime is what a process's threads have used of the processor so far (the first figure of schedstat, in
// nanoseconds: Documentation/scheduler/sched-stats.rst of Linux). A tick of proc(5)'s stat is too coarse for a quiet agent.
func processorTime(pid int) (sum time.Duration, err error) {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	if err != nil || len(files) == 0 {
		return 0, fmt.Errorf("processor time: no schedstat of process %d", pid)
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if errors.Is(err, os.ErrNotExist) {
			continue // a thread that has ended meanwhile
		}
		if err != nil {
			return 0, fmt.Errorf("processor time: %w", err)
		}
		first, _, _ := strings.Cut(string(text), " ")
		ns, err := strconv.ParseInt(first, 10, 64)
		if err != nil {
			return 0, fmt.Errorf("processor time: %s has another form: %w", file, err)
		}
		sum += time.Duration(ns)
	}
	return sum, nil
}
