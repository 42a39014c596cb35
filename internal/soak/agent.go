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

// agentIncarnation records when one process of an agent ran, and the faults that affected it.
type agentIncarnation struct {
	number           int           // from 1, in the order of the agent's processes
	startedAt        time.Duration // when it was started, on the machine's monotonic clock, as all times here
	readyAt          time.Duration // when /ready first returned 200; 0: never
	termAt           time.Duration // when SIGTERM was sent; 0: never
	killedAt         time.Duration // when SIGKILL was sent; 0: never
	endedAt          time.Duration // when it exited; 0: it is running
	paused           []span        // from SIGSTOP to SIGCONT
	stalls           []span        // when system calls were held up
	clientReadFaults []span        // when reads from client connections were made to fail
	exitErr          error
}

// agent is one agent of the fleet: its addresses, its current process and its earlier ones.
type agent struct {
	number       int
	name         string
	listen       string // address for clients
	control      string // address for operators
	dir          string
	renderConfig func(discovery string) []byte // the content of the configuration file, with the address of discovery

	mu                  sync.Mutex
	child               *child
	incarnations        []*agentIncarnation
	discovery           *discovery
	discoveries         []*discovery     // all that the agent has had, of which the last is the current one
	stallLog            atomic.Bool      // while it is set, copyLog does not read the agent's log
	maxRSS              int64            // highest resident memory of the agent's processes so far, in bytes
	invariantViolations map[string]int64 // by rule and process, as the agent counts them
	ending              bool             // a fault is ending the current process
}

func (a *agent) current() *agentIncarnation { return a.incarnations[len(a.incarnations)-1] }

func (a *agent) configFile() string { return filepath.Join(a.dir, a.name+".json") }

// start starts the next process of the agent. program is the path of the binary with the soak-agent command.
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

// copyLog copies the agent's log from its pipe to a file. While stallLog is set it does not read the pipe, like a log collector that hangs.
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

// awaitReady waits until the agent's /ready returns 200, and records the time. It returns an error if the process exits first, the
// timeout passes or the caller's context ends.
func (a *agent) awaitReady(ctx context.Context, timeout time.Duration) error {
	timeoutCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	a.mu.Lock()
	process, incarnation := a.child, a.current()
	a.mu.Unlock()
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		req, err := http.NewRequestWithContext(timeoutCtx, http.MethodGet, "http://"+a.listen+"/ready", nil)
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
			return fmt.Errorf("agent %s exited before it became ready: %s", a.name, exitText(process.err))
		case <-timeoutCtx.Done():
			if err := ctx.Err(); err != nil {
				return fmt.Errorf("waiting for agent %s to become ready was interrupted: %v", a.name, err)
			}
			return fmt.Errorf("agent %s did not become ready within %v", a.name, timeout)
		case <-time.After(15 * time.Millisecond):
		}
	}
}

// scrapeMetrics reads the agent's own counts of violated invariants and its resident memory, and keeps the highest value of each.
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

// postControl sends an operator's command to the agent's control address. It ignores errors: a command that fails, for example because
// the process is exiting, has no effect.
func (a *agent) postControl(action string) {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	if resp, err := client.Post("http://"+a.control+"/v1/agent/"+action, "", nil); err == nil {
		resp.Body.Close()
	}
}
