package experiment

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"ryeweir/internal/emulator"
	"ryeweir/internal/emulator/callers"
	"ryeweir/internal/emulator/referee"
	"ryeweir/internal/processrig"
)

// measuredProcess is the agent or the plain proxy while its cost is measured.
type measuredProcess struct {
	name      string
	cmd       *exec.Cmd
	ended     chan error      // receives the result of cmd.Wait
	log       strings.Builder // what the process wrote to its standard error
	client    *callers.Client
	number    atomic.Uint64   // requests sent so far, from which send makes their IDs
	control   string          // the address of the agent's metrics; empty for the proxy
	opened    int64           // handshakes of the agent with servers until the end of warmUp; 0 for the proxy
	cpu       []float64       // by slice: microseconds of CPU time per answer
	latencies []time.Duration // of the answers in all slices
	elapsed   time.Duration   // of all slices
}

// startMeasured starts a process that listens on addr, and waits until it serves a request.
func startMeasured(ctx context.Context, processName string, cmd *exec.Cmd, addr string) (*measuredProcess, error) {
	s := &measuredProcess{name: processName, cmd: cmd, ended: make(chan error, 1), client: &callers.Client{Addr: addr, Dial: (&emulator.LoopbackNetwork{}).Dialer("")}}
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	cmd.Stderr = &s.log
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	go func() { s.ended <- cmd.Wait() }()
	for end := time.Now().Add(processrig.ReadyTimeout); s.send(ctx).Outcome != referee.Served; {
		if ctx.Err() != nil {
			s.stop()
			return nil, fmt.Errorf("the measurement was interrupted before the %s served a request; its log:\n%s", processName, s.log.String())
		}
		if time.Now().After(end) {
			s.stop()
			return nil, fmt.Errorf("the %s served no request within %v after its start; its log:\n%s", processName, processrig.ReadyTimeout, s.log.String())
		}
		time.Sleep(20 * time.Millisecond)
	}
	return s, nil
}

// stop terminates the process, and kills it if it has not ended after processrig.StopTimeout.
func (s *measuredProcess) stop() {
	s.client.Close()
	s.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-s.ended:
	case <-time.After(processrig.StopTimeout):
		s.cmd.Process.Kill()
		<-s.ended
	}
}

// send sends one request through the process.
func (s *measuredProcess) send(ctx context.Context) callers.Response {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	id := fmt.Sprintf("%016x", s.number.Add(1))
	return s.client.Send(ctx, callers.Request{ID: id, Class: "price-basket", Tenant: "kottu-run", Key: "k:" + id[12:], Timeout: 2 * time.Second,
		CostHint: 20 * time.Millisecond}, func() bool { return true })
}

// warmUp discards the measurements so far and loads the process for warmUpTime.
func (s *measuredProcess) warmUp(ctx context.Context, rate int) {
	s.cpu, s.latencies, s.elapsed = nil, nil, 0
	sendAtRate(ctx, rate, warmUpTime, s.send)
	s.opened, _, _ = s.connections() // on an error opened is 0, and cost returns the error when it reads the metrics again
}

// connections returns how many connections to servers the agent has opened so far, and how many are open. It returns 0 for the proxy.
func (s *measuredProcess) connections() (opened int64, open int, err error) {
	if s.control == "" {
		return 0, 0, nil
	}
	resp, err := http.Get("http://" + s.control + "/v1/metrics")
	if err != nil {
		return 0, 0, fmt.Errorf("reading the agent's metrics: %w", err)
	}
	defer resp.Body.Close()
	var all struct {
		Connections struct {
			Opened int64 `json:"opened"`
			Open   int   `json:"open"`
		} `json:"connections"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&all); err != nil {
		return 0, 0, fmt.Errorf("parsing the metrics of the agent at %s: %w", s.control, err)
	}
	return all.Connections.Opened, all.Connections.Open, nil
}

// measureSlice loads the process for sliceLength and returns its CPU time per answer, in microseconds.
func (s *measuredProcess) measureSlice(ctx context.Context, rate int) (float64, error) {
	before, err := cpuTime(s.cmd.Process.Pid)
	if err != nil {
		return 0, err
	}
	latencies, failed, elapsed := sendAtRate(ctx, rate, sliceLength, s.send)
	after, err := cpuTime(s.cmd.Process.Pid)
	if err != nil {
		return 0, err
	}
	if len(latencies) == 0 {
		return 0, fmt.Errorf("no answers and %d failures in a slice of %v; the process's log:\n%s", failed, sliceLength, s.log.String())
	}
	if failed > len(latencies)/100 {
		return 0, fmt.Errorf("%d answers and %d failures in a slice of %v, more than one failure per 100 answers; the process's log:\n%s", len(latencies), failed, sliceLength, s.log.String())
	}
	cpu := float64((after - before).Microseconds()) / float64(len(latencies))
	s.cpu, s.latencies, s.elapsed = append(s.cpu, cpu), append(s.latencies, latencies...), s.elapsed+elapsed
	return cpu, nil
}

// cost returns the figures of all slices since warmUp.
func (s *measuredProcess) cost(rate int) (Cost, error) {
	memory, err := residentMB(s.cmd.Process.Pid)
	if err != nil {
		return Cost{}, fmt.Errorf("measuring the %s at %s: %w", s.name, rateName(rate), err)
	}
	opened, open, err := s.connections()
	if err != nil {
		return Cost{}, err
	}
	p, cpu := percentiles(s.latencies), bootstrap(s.cpu)
	return Cost{Process: s.name, Rate: rateName(rate), PerSecond: float64(len(s.latencies)) / s.elapsed.Seconds(), CPU: cpu.Mean, Low: cpu.Low, High: cpu.High,
		MemoryMB: memory, OpenConnections: open, HandshakesPerThousand: 1000 * float64(opened-s.opened) / float64(len(s.latencies)), P50: p.P50, P99: p.P99, P999: p.P999}, nil
}

// rateName returns the name of a rate in requests per second, as Cost.Rate has it; 0 is full speed.
func rateName(rate int) string {
	if rate > 0 {
		return fmt.Sprintf("%d/s", rate)
	}
	return "full speed"
}

// residentMB returns the resident memory of a process in MB (the second field of statm, in pages: proc(5)).
func residentMB(pid int) (float64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, fmt.Errorf("reading the resident memory of process %d: %w", pid, err)
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0, fmt.Errorf("reading the resident memory: /proc/%d/statm has %d fields, at least 2 are needed", pid, len(fields))
	}
	pages, err := strconv.ParseFloat(fields[1], 64)
	if err != nil {
		return 0, fmt.Errorf("reading the resident memory: second field of /proc/%d/statm: %w", pid, err)
	}
	return pages * float64(os.Getpagesize()) / (1 << 20), nil
}

// sendAtRate sends requests for a duration: at a constant rate, open loop, or, if rate is 0, with loadConnections goroutines that each send
// the next request as soon as the last is answered.
func sendAtRate(ctx context.Context, rate int, duration time.Duration, send func(context.Context) callers.Response) (latencies []time.Duration, failed int, elapsed time.Duration) {
	var mu sync.Mutex
	record := func(from time.Time, a callers.Response) {
		mu.Lock()
		defer mu.Unlock()
		if a.Outcome == referee.Served {
			latencies = append(latencies, time.Since(from))
		} else {
			failed++
		}
	}
	var all sync.WaitGroup
	began := time.Now()
	if rate == 0 {
		for range loadConnections {
			all.Go(func() {
				for time.Since(began) < duration && ctx.Err() == nil {
					at := time.Now()
					record(at, send(ctx))
				}
			})
		}
	} else {
		for n := 0; ; n++ {
			at := began.Add(time.Duration(n) * time.Second / time.Duration(rate))
			if at.Sub(began) >= duration || ctx.Err() != nil {
				break
			}
			time.Sleep(time.Until(at))
			all.Go(func() { record(at, send(ctx)) })
		}
	}
	all.Wait()
	return latencies, failed, time.Since(began)
}

// cpuTime returns the CPU time that a process's threads have used so far (the first field of schedstat, in nanoseconds:
// Documentation/scheduler/sched-stats.rst of Linux). The clock ticks of stat (proc(5)) are too coarse for an agent with little load.
func cpuTime(pid int) (sum time.Duration, err error) {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	if err != nil || len(files) == 0 {
		return 0, fmt.Errorf("reading the CPU time: no schedstat of process %d", pid)
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if errors.Is(err, os.ErrNotExist) {
			continue // the thread has ended meanwhile
		}
		if err != nil {
			return 0, fmt.Errorf("reading the CPU time of process %d: %w", pid, err)
		}
		first, _, _ := strings.Cut(string(text), " ")
		ns, err := strconv.ParseInt(first, 10, 64)
		if err != nil {
			return 0, fmt.Errorf("reading the CPU time: unexpected format of %s: %w", file, err)
		}
		sum += time.Duration(ns)
	}
	return sum, nil
}
