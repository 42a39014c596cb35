package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// agentIncarnation is one process of an agent, as the soak's account has it.
type agentIncarnation struct {
	number           int
	startedAt        time.Duration
	readyAt          time.Duration // 0: never
	termAt           time.Duration // SIGTERM was sent; 0: never
	killedAt         time.Duration // SIGKILL was sent; 0: never
	endedAt          time.Duration // 0: it did not
	paused           []span
	stalls           []span
	clientReadFaults []span // in which calls on clients' connections were made to fail
	exitErr          error
}

// agent is an agent with its processes.
type agent struct {
	number       int
	name         string
	listen       string
	control      string
	dir          string
	renderConfig func(discovery string) []byte

	mu                  sync.Mutex
	child               *child
	incarnations        []*agentIncarnation
	discovery           *discovery
	discoveries         []*discovery
	stallLog            atomic.Bool
	maxRSS              int64
	invariantViolations map[string]int64
	ending              bool
}

func (a *agent) current() *agentIncarnation { return a.incarnations[len(a.incarnations)-1] }

func (a *agent) configFile() string { return filepath.Join(a.dir, a.name+".json") }

// start starts the next process of the agent. command is the soak's program.
func (a *agent) start(program string, seed uint64, extra ...string) error {
	if err := os.WriteFile(a.configFile(), a.renderConfig(a.discovery.addr), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(a.dir, a.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	read, write, err := os.Pipe()
	if err != nil {
		return err
	}
	tmp := filepath.Join(a.dir, a.name+".tmp")
	if err := os.MkdirAll(tmp, 0o700); err != nil {
		return err
	}
	cmd := exec.Command(program, append([]string{"soak-agent", "--log-level", "debug", "--seed", strconv.FormatUint(seed, 10), "--discovery-host", discoveryHost}, extra...)...)
	cmd.Env = append(os.Environ(), "PROXY_CONFIG="+a.configFile(), "TMPDIR="+tmp)
	cmd.Stdout, cmd.Stderr = write, write
	process, err := launch(cmd)
	write.Close()
	if err != nil {
		return err
	}
	go a.copyLog(read, log)
	incarnation := &agentIncarnation{number: len(a.incarnations) + 1, startedAt: monotonic()}
	a.mu.Lock()
	a.child, a.ending = process, false
	a.incarnations = append(a.incarnations, incarnation)
	a.mu.Unlock()
	go func() {
		<-process.ended
		a.mu.Lock()
		defer a.mu.Unlock()
		incarnation.endedAt, incarnation.exitErr = monotonic(), process.err
	}()
	return nil
}

// copyLog copies the agent's log to a file. While it stalls nobody reads the pipe, as with a collector that hangs.
func (a *agent) copyLog(from *os.File, to *os.File) {
	defer from.Close()
	defer to.Close()
	buf := make([]byte, 64<<10)
	for {
		for a.stallLog.Load() {
			time.Sleep(10 * time.Millisecond)
		}
		n, err := from.Read(buf)
		to.Write(buf[:n])
		if err != nil {
			return
		}
	}
}

// awaitReady waits until the agent takes clients.
func (a *agent) awaitReady(ctx context.Context, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	a.mu.Lock()
	process, incarnation := a.child, a.current()
	a.mu.Unlock()
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+a.listen+"/ready", nil)
		if err != nil {
			return err
		}
		if resp, err := client.Do(req); err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				a.mu.Lock()
				incarnation.readyAt = monotonic()
				a.mu.Unlock()
				return nil
			}
		}
		select {
		case <-process.ended:
			return fmt.Errorf("agent %s ended before it was ready: %v", a.name, process.err)
		case <-ctx.Done():
			return fmt.Errorf("agent %s is not ready after %v", a.name, timeout)
		case <-time.After(15 * time.Millisecond):
		}
	}
}

// scrapeMetrics takes in the agent's own count of broken invariants, its memory and its processor time.
func (a *agent) scrapeMetrics() {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + a.control + "/v1/metrics")
	if err != nil {
		return
	}
	defer resp.Body.Close()
	var metrics struct {
		Invariants map[string]int64 `json:"invariants"`
		Border     map[string]int64 `json:"border"`
	}
	if json.NewDecoder(resp.Body).Decode(&metrics) != nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.invariantViolations == nil {
		a.invariantViolations = map[string]int64{}
	}
	for rule, n := range metrics.Invariants {
		key := fmt.Sprintf("%s of process %d", rule, a.current().number)
		a.invariantViolations[key] = max(a.invariantViolations[key], n)
	}
	for fault, n := range metrics.Border {
		key := fmt.Sprintf("border %s of process %d", fault, a.current().number)
		a.invariantViolations[key] = max(a.invariantViolations[key], n)
	}
	a.maxRSS = max(a.maxRSS, residentBytes(a.child.cmd.Process.Pid))
}

// postControl makes a call of the operators. One that fails, as to a process that ends, changes nothing.
func (a *agent) postControl(action string) {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	if resp, err := client.Post("http://"+a.control+"/v1/agent/"+action, "", nil); err == nil {
		resp.Body.Close()
	}
}
