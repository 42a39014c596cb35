package processrig

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"sync"
	"syscall"
	"time"

	"ryeweir/internal/emulator"
)

const (
	// ReadyTimeout is how long an agent has from its start until it accepts clients.
	ReadyTimeout = 20 * time.Second
	// StopTimeout is how long an agent has to end after SIGTERM: more than the longest deadline and the drain together.
	StopTimeout = 8 * time.Second

	readyPollInterval = 20 * time.Millisecond
)

// Process is an agent's process, and those that follow it at the same addresses when it is started again. It is safe for concurrent
// use, but for Restart: that is for the one who has ended the process.
type Process struct {
	Addr    string // for clients
	Control string // for operators

	command     []string
	configFile  string // the platform's configuration
	filePrefix  string // the path of the process's files, without an ending
	incarnation int    // counts the folders for temporary files

	mu           sync.Mutex
	cmd          *exec.Cmd
	exited       chan struct{} // closed when the present process has been waited for
	exitErr      error         // read after exited
	stoppedByRig bool          // the present process was ended on purpose
	earlierCPU   time.Duration // of the processes that have ended
}

// Start starts an agent of a world by a command, such as the path of the program and "agent". Its configuration, log and state go to
// a folder. peers may be nil. Stop must be called.
func Start(w *emulator.World, agent int, command []string, dir string, limits emulator.Limits, peers *Peers) (*Process, error) {
	if peers != nil {
		command = slices.Concat(command, peers.Args(agent))
	}
	listen, control, err := FreePortPair(loopbackHost(), agent)
	if err != nil {
		return nil, err
	}
	known := w.EndpointList(agent)
	text, err := w.Scenario.AgentConfig(agent, listen, control, w.DiscoveryAddr(agent), limits, &known)
	if err != nil {
		return nil, err
	}
	prefix := filepath.Join(dir, w.Scenario.Agents[agent])
	configFile := prefix + ".json"
	if err := os.WriteFile(configFile, text, 0o600); err != nil {
		return nil, fmt.Errorf("the agent's configuration: %w", err)
	}
	p := &Process{Addr: listen, Control: control, command: command, configFile: configFile, filePrefix: prefix}
	return p, p.start(true)
}

// start starts a process: in a new folder for temporary files, and so without persisted state, where fresh; else in that of the one
// before it.
func (p *Process) start(fresh bool) error {
	if fresh {
		p.incarnation++
	}
	tmp := fmt.Sprintf("%s.tmp%d", p.filePrefix, p.incarnation)
	if err := os.MkdirAll(tmp, 0o700); err != nil {
		return fmt.Errorf("the agent's temporary folder: %w", err)
	}
	log, err := os.OpenFile(p.logFile(), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return fmt.Errorf("the agent's log: %w", err)
	}
	cmd := exec.Command(p.command[0], p.command[1:]...)
	cmd.Env = append(os.Environ(), "PROXY_CONFIG="+p.configFile, "TMPDIR="+tmp)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	started, exited := make(chan error, 1), make(chan struct{})
	go p.supervise(cmd, log, started, exited)
	if err := <-started; err != nil {
		return fmt.Errorf("starting %s: %w", p.command[0], err)
	}
	p.mu.Lock()
	p.cmd, p.exited, p.stoppedByRig = cmd, exited, false
	p.mu.Unlock()
	return nil
}

// supervise starts a child, sends on started whether it could, waits for its end and closes exited. It closes the log. The kernel
// kills the child when the thread that started it ends, so the goroutine holds its thread until the child has ended.
func (p *Process) supervise(cmd *exec.Cmd, log *os.File, started chan<- error, exited chan<- struct{}) {
	runtime.LockOSThread() // never unlocked: the thread ends with this goroutine
	defer log.Close()
	err := cmd.Start()
	started <- err
	if err != nil {
		return
	}
	err = cmd.Wait()
	p.mu.Lock()
	p.exitErr = err
	p.earlierCPU += cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime()
	p.mu.Unlock()
	close(exited)
}

func (p *Process) logFile() string { return p.filePrefix + ".log" }

func (p *Process) current() (*exec.Cmd, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd, p.exited
}

// Ready waits until the agent accepts clients. It returns an error when the process ends first, and when the context ends or
// ReadyTimeout is over.
func (p *Process) Ready(ctx context.Context) error {
	_, exited := p.current()
	ctx, cancel := context.WithTimeout(ctx, ReadyTimeout)
	defer cancel()
	for {
		ready, err := p.checkReady(ctx)
		if ready || err != nil {
			return err
		}
		select {
		case <-exited:
			return fmt.Errorf("the agent ended before it was ready: %v; its log is %s", p.exitErr, p.logFile())
		case <-ctx.Done():
			return fmt.Errorf("the agent is not ready after %v; its log is %s", ReadyTimeout, p.logFile())
		case <-time.After(readyPollInterval):
		}
	}
}

// checkReady asks the agent once whether it accepts clients.
func (p *Process) checkReady(ctx context.Context) (bool, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.Addr+"/ready", nil)
	if err != nil {
		return false, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false, nil // it does not listen yet
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, resp.Body)
	return resp.StatusCode == http.StatusOK, nil
}

// Alive reports whether the present process has not ended.
func (p *Process) Alive() bool {
	_, exited := p.current()
	return !isClosed(exited)
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// Restart starts the next process at the same addresses after the present one has ended: without persisted state where fresh, else
// with what the one before it left. It returns an error wrapping ErrRunning where that has not ended.
func (p *Process) Restart(fresh bool) error {
	if p.Alive() {
		return fmt.Errorf("%s: %w", p.filePrefix, ErrRunning)
	}
	return p.start(fresh)
}
