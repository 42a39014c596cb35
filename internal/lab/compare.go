package lab

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
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"ryeweir/internal/config"
	"ryeweir/internal/world"
	"ryeweir/internal/world/callers"
	"ryeweir/internal/world/discovery"
	"ryeweir/internal/world/referee"
)

// Cost is what it takes to pass a request through.
type Cost struct {
	Through   string  `json:"through"`
	Rate      string  `json:"rate"`
	PerSecond float64 `json:"answers_per_second"`
	CPU       float64 `json:"cpu_us_per_answer"`
	P50       float64 `json:"p50_ms"`
	P99       float64 `json:"p99_ms"`
	P999      float64 `json:"p99_9_ms"`
}

const (
	compareConns = 32
	compareRate  = 300
	compareNodes = 4
	warmUp       = time.Second
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

// Compare measures the agent beside a plain proxy before the same instant stand-ins, each with one core of its own to run
// on, first at a steady rate and then at full speed.
func Compare(ctx context.Context, self string, each time.Duration) ([]Cost, error) {
	dir, err := os.MkdirTemp("", "ryeweir-compare-")
	if err != nil {
		return nil, err
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
			return nil, err
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
		return nil, err
	}
	disco.Serve(dl, "agent-0")

	spec := world.DefaultDay()
	spec.Agents = 1
	spec.Length = config.Duration(time.Second)
	day, err := spec.Draw(1)
	if err != nil {
		return nil, err
	}
	var out []Cost
	for _, through := range []string{"agent", "proxy", "agent", "proxy"} {
		listen, err := FreePort()
		if err != nil {
			return out, err
		}
		cmd := exec.Command(self, "proxy", "--listen", listen, "--target", strings.Join(nodes, ","))
		if through == "agent" {
			text, err := day.AgentConfig(0, listen, "", dl.Addr().String(), world.DefaultLimits(), nil)
			if err != nil {
				return out, err
			}
			file := filepath.Join(dir, "agent.json")
			if err := os.WriteFile(file, text, 0o600); err != nil {
				return out, err
			}
			cmd = exec.Command(self, "agent")
			cmd.Env = append(os.Environ(), "PROXY_CONFIG="+file)
		}
		rate := compareRate
		if len(out) >= 2 {
			rate = 0
		}
		c, err := costOf(ctx, cmd, listen, rate, each)
		c.Through = through
		if err != nil {
			return out, fmt.Errorf("%s: %w", through, err)
		}
		out = append(out, c)
	}
	return out, nil
}

// costOf measures what stands at an address; rate 0 is as fast as it goes.
func costOf(ctx context.Context, cmd *exec.Cmd, addr string, rate int, each time.Duration) (c Cost, err error) {
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	var log strings.Builder
	cmd.Stderr = &log
	if err := cmd.Start(); err != nil {
		return c, err
	}
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	defer func() {
		cmd.Process.Signal(syscall.SIGTERM)
		select {
		case <-ended:
		case <-time.After(stopIn):
			cmd.Process.Kill()
			<-ended
		}
		if err != nil {
			err = fmt.Errorf("%w\n%s", err, log.String())
		}
	}()
	client := &callers.Client{Addr: addr, Dial: (&world.Loopback{}).Dialer("")}
	defer client.Close()
	var number atomic.Uint64
	send := func(ctx context.Context) callers.Answer {
		ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
		defer cancel()
		id := fmt.Sprintf("%016x", number.Add(1))
		return client.Send(ctx, callers.Message{ID: id, Class: "price-basket", Tenant: "kottu-run", Key: "k:" + id[12:], Timeout: 2 * time.Second,
			Hint: 20 * time.Millisecond}, func() bool { return true })
	}
	for end := time.Now().Add(readyIn); send(ctx).End != referee.Served; {
		if time.Now().After(end) || ctx.Err() != nil {
			return c, errors.New("it serves nothing")
		}
		time.Sleep(20 * time.Millisecond)
	}
	pace(ctx, rate, warmUp, send)
	before, err := processorTime(cmd.Process.Pid)
	if err != nil {
		return c, err
	}
	latencies, failed, took := pace(ctx, rate, each, send)
	after, err := processorTime(cmd.Process.Pid)
	if err != nil {
		return c, err
	}
	if len(latencies) == 0 || failed > len(latencies)/100 {
		return c, fmt.Errorf("%d answers and %d failures", len(latencies), failed)
	}
	p := percentiles(latencies)
	c = Cost{Rate: "full speed", PerSecond: float64(len(latencies)) / took.Seconds(), CPU: float64((after - before).Microseconds()) / float64(len(latencies)),
		P50: p.P50, P99: p.P99, P999: p.P999}
	if rate > 0 {
		c.Rate = fmt.Sprintf("%d/s", rate)
	}
	return c, nil
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
