package soak

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
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
)

// child is one process of a soak. The kernel ends it when the soak's own process ends.
type child struct {
	cmd      *exec.Cmd
	commands io.WriteCloser
	ended    chan struct{}
	err      error // how it ended; read after ended
}

// launch starts a process in a group of its own.
func launch(cmd *exec.Cmd) (*child, error) {
	commands, err := cmd.StdinPipe()
	if err != nil {
		return nil, err
	}
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	c := &child{cmd: cmd, commands: commands, ended: make(chan struct{})}
	started := make(chan error, 1)
	go func() {
		runtime.LockOSThread() // the kernel ends the child with the thread that started it: keep that, and never unlock it
		if err := cmd.Start(); err != nil {
			started <- err
			return
		}
		started <- nil
		c.err = cmd.Wait()
		close(c.ended)
	}()
	return c, <-started
}

func (c *child) alive() bool {
	select {
	case <-c.ended:
		return false
	default:
		return true
	}
}

// command sends a line to the process.
func (c *child) command(format string, args ...any) { fmt.Fprintf(c.commands, format+"\n", args...) }

func (c *child) signal(s syscall.Signal) { c.cmd.Process.Signal(s) }

// kill ends it at once and waits for it.
func (c *child) kill() {
	c.cmd.Process.Kill()
	<-c.ended
}

// span is a time in which something was so.
type span struct{ from, to time.Duration }

// overlaps reports whether the span has a part of the time between two moments, with a margin behind it.
func (s span) overlaps(from, to, margin time.Duration) bool {
	end := s.to
	if end == 0 {
		end = 1<<62 - 1 - margin
	}
	return s.from <= to && from <= end+margin
}

// agentLife is one process of an agent, as the soak's account has it.
type agentLife struct {
	number  int
	started time.Duration
	ready   time.Duration // 0: never
	term    time.Duration // SIGTERM was sent; 0: never
	killed  time.Duration // SIGKILL was sent; 0: never
	ended   time.Duration // 0: it did not
	paused  []span
	holds   []span
	faults  []span // in which calls on clients' connections were made to fail
	exit    error
}

// agent is an agent with its processes.
type agent struct {
	number  int
	name    string
	listen  string
	control string
	dir     string
	config  func(discovery string) []byte

	mu        sync.Mutex
	child     *child
	lives     []*agentLife
	disco     *discovery
	discos    []*discovery
	stallLog  atomic.Bool
	mostRSS   int64
	violated  map[string]int64
	expectEnd bool
}

func (a *agent) life() *agentLife { return a.lives[len(a.lives)-1] }

func (a *agent) configFile() string { return filepath.Join(a.dir, a.name+".json") }

// start starts the next process of the agent. command is the soak's program.
func (a *agent) start(program string, seed uint64, extra ...string) error {
	if err := os.WriteFile(a.configFile(), a.config(a.disco.at), 0o600); err != nil {
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
	c, err := launch(cmd)
	write.Close()
	if err != nil {
		return err
	}
	go a.keepLog(read, log)
	life := &agentLife{number: len(a.lives) + 1, started: monotonic()}
	a.mu.Lock()
	a.child, a.expectEnd = c, false
	a.lives = append(a.lives, life)
	a.mu.Unlock()
	go func() {
		<-c.ended
		a.mu.Lock()
		defer a.mu.Unlock()
		life.ended, life.exit = monotonic(), c.err
	}()
	return nil
}

// keepLog copies the agent's log to a file. While it stalls nobody reads the pipe, as with a collector that hangs.
func (a *agent) keepLog(from *os.File, to *os.File) {
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
func (a *agent) awaitReady(ctx context.Context, most time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, most)
	defer cancel()
	a.mu.Lock()
	c, life := a.child, a.life()
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
				life.ready = monotonic()
				a.mu.Unlock()
				return nil
			}
		}
		select {
		case <-c.ended:
			return fmt.Errorf("agent %s ended before it was ready: %v", a.name, c.err)
		case <-ctx.Done():
			return fmt.Errorf("agent %s is not ready after %v", a.name, most)
		case <-time.After(15 * time.Millisecond):
		}
	}
}

// look takes in the agent's own count of broken invariants, its memory and its processor time.
func (a *agent) look() {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + a.control + "/v1/metrics")
	if err != nil {
		return
	}
	defer resp.Body.Close()
	var figures struct {
		Invariants map[string]int64 `json:"invariants"`
		Border     map[string]int64 `json:"border"`
	}
	if json.NewDecoder(resp.Body).Decode(&figures) != nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.violated == nil {
		a.violated = map[string]int64{}
	}
	for rule, n := range figures.Invariants {
		key := fmt.Sprintf("%s of process %d", rule, a.life().number)
		a.violated[key] = max(a.violated[key], n)
	}
	for fault, n := range figures.Border {
		key := fmt.Sprintf("border %s of process %d", fault, a.life().number)
		a.violated[key] = max(a.violated[key], n)
	}
	a.mostRSS = max(a.mostRSS, residentBytes(a.child.cmd.Process.Pid))
}

// steer makes a call of the operators. One that fails, as to a process that ends, changes nothing.
func (a *agent) steer(to string) {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	if resp, err := client.Post("http://"+a.control+"/v1/agent/"+to, "", nil); err == nil {
		resp.Body.Close()
	}
}

// residentBytes is how much memory a process has.
func residentBytes(pid int) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize())
}

// processorTime is what a process has taken so far.
func processorTime(pid int) time.Duration {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	if len(fields) < 13 {
		return 0
	}
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	return time.Duration(user+system) * 10 * time.Millisecond // of a clock of 100 Hz
}

// server is a backend with its processes.
type server struct {
	id       string
	mu       sync.Mutex
	child    *child
	instance int
	addr     string
	attempts []Attempt
	started  []time.Duration // of each process that is in slow start, by instance
	paused   []span
}

// start starts the next process of the backend and returns its address.
func (s *server) start(program string, seed uint64) error {
	s.mu.Lock()
	s.instance++
	instance := s.instance
	s.mu.Unlock()
	cmd := exec.Command(program, "soak-backend", "--id", s.id, "--instance", strconv.Itoa(instance), "--seed", strconv.FormatUint(seed, 10))
	out, in, err := os.Pipe() // not StdoutPipe: Wait would close it over what the process said last
	if err != nil {
		return err
	}
	cmd.Stdout, cmd.Stderr = in, os.Stderr
	c, err := launch(cmd)
	in.Close()
	if err != nil {
		return err
	}
	lines := bufio.NewReaderSize(out, 1<<16)
	addr, err := lines.ReadString('\n')
	if err != nil {
		return fmt.Errorf("backend %s said no address: %w", s.id, err)
	}
	s.mu.Lock()
	s.child, s.addr = c, strings.TrimSpace(addr)
	s.mu.Unlock()
	go func() {
		defer out.Close()
		s.take(lines)
	}()
	return nil
}

// take keeps what the process says of attempts.
func (s *server) take(from io.Reader) {
	in := json.NewDecoder(from)
	for {
		var a Attempt
		if err := in.Decode(&a); err != nil {
			return
		}
		s.mu.Lock()
		s.attempts = append(s.attempts, a)
		s.mu.Unlock()
	}
}

// errPorts says that no port was free.
var errPorts = errors.New("no port is free")

// Ports of agents come from below those that the machine gives to outgoing connections.
const (
	lowestAgentPort = 13000
	agentPorts      = 10000
)

// freePort is an address of the host at a port that is free.
func freePort(host string, draw func(int) int) (string, error) {
	for range 100 {
		addr := net.JoinHostPort(host, strconv.Itoa(lowestAgentPort+draw(agentPorts)))
		if l, err := net.Listen("tcp", addr); err == nil {
			return addr, l.Close()
		}
	}
	return "", errPorts
}

// replaceFile puts a text in the place of a file's, whole, as the platform does.
func replaceFile(path string, text []byte) error {
	part := path + ".new"
	if err := os.WriteFile(part, text, 0o600); err != nil {
		return err
	}
	return os.Rename(part, path)
}
