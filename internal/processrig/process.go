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
	// ReadyTimeout is the time limit for an agent to accept clients after its start.
	ReadyTimeout = 20 * time.Second
	// StopTimeout is the time limit for an agent to end after SIGTERM: longer than the longest deadline and the drain together.
	StopTimeout = 8 * time.Second

	readyPollInterval = 20 * time.Millisecond
)

// Process is an agent's process, and after a restart the one that follows it at the same addresses. Its methods are safe for concurrent
// use, except that only the goroutine that ended the process may call Restart.
type Process struct {
	Addr    string // address for clients
	Control string // address for operators

	command     []string
	configFile  string // path of the platform's configuration
	filePrefix  string // path of the process's files without their extension
	incarnation int    // number of the folder for temporary files, counted up at each fresh start

	mu           sync.Mutex
	cmd          *exec.Cmd
	exited       chan struct{} // closed after the present process has ended and has been waited for
	exitErr      error         // valid once exited is closed
	hasBeenReady bool          // the present process has accepted clients, so it handles signals
	stoppedByRig bool          // the rig has ended the present process, so Stop does not report its exit
	earlierCPU   time.Duration // CPU time of the processes that have ended
}

// Start starts an agent of a world, given its number, with a command such as the path of the program and "agent". It does not wait until
// the agent is ready. The agent's configuration, log and state are written to dir. peers is nil for an agent that does not gossip. The
// caller must call Stop.
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
		return nil, fmt.Errorf("writing the agent's configuration: %w", err)
	}
	p := &Process{Addr: listen, Control: control, command: command, configFile: configFile, filePrefix: prefix}
	return p, p.start(true)
}

// start starts a process. A fresh one gets a new folder for temporary files, and so has no persisted state; any other gets the folder of
// the process before it.
func (p *Process) start(fresh bool) error {
	if fresh {
		p.incarnation++
	}
	tmp := fmt.Sprintf("%s.tmp%d", p.filePrefix, p.incarnation)
	if err := os.MkdirAll(tmp, 0o700); err != nil {
		return fmt.Errorf("creating the agent's temporary folder: %w", err)
	}
	log, err := os.OpenFile(p.logFile(), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return fmt.Errorf("opening the agent's log: %w", err)
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
	p.cmd, p.exited, p.hasBeenReady, p.stoppedByRig = cmd, exited, false, false
	p.mu.Unlock()
	return nil
}

// supervise starts a child, sends the result of that on started, waits for the child's end and closes exited and the log. Because the
// kernel kills the child when the thread that started it ends, the goroutine is locked to its thread until the child has ended.
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

// current returns the present process and the channel that is closed when it has ended.
func (p *Process) current() (*exec.Cmd, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd, p.exited
}

// Ready waits until the agent accepts clients. It returns an error if the process ends first, the context ends, or ReadyTimeout has
// passed.
func (p *Process) Ready(ctx context.Context) error {
	_, exited := p.current()
	timeoutCtx, cancel := context.WithTimeout(ctx, ReadyTimeout)
	defer cancel()
	for {
		ready, err := p.checkReady(timeoutCtx)
		if ready {
			p.recordReady(exited)
		}
		if ready || err != nil {
			return err
		}
		select {
		case <-exited:
			return fmt.Errorf("the agent ended before it was ready: %s; its log is %s", exitText(p.exitErr), p.logFile())
		case <-timeoutCtx.Done():
			if err := ctx.Err(); err != nil {
				return fmt.Errorf("waiting for the agent to become ready was interrupted: %v; its log is %s", err, p.logFile())
			}
			return fmt.Errorf("the agent was not ready within %v; its log is %s", ReadyTimeout, p.logFile())
		case <-time.After(readyPollInterval):
		}
	}
}

// recordReady records that a process, given its exited channel, accepts clients, unless the next process has been started meanwhile.
func (p *Process) recordReady(exited <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.exited == exited {
		p.hasBeenReady = true
	}
}

// awaitSignalHandling waits until the present process handles signals, which it does when it accepts clients. SIGTERM ends a process that
// has just been started and does not handle it yet, which would look like a failure. A process that never accepts clients is waited for
// until ReadyTimeout.
func (p *Process) awaitSignalHandling() {
	p.mu.Lock()
	ready := p.hasBeenReady
	p.mu.Unlock()
	if !ready {
		p.Resume()                    // a paused process does not start to accept clients
		p.Ready(context.Background()) // if it fails, Stop reports how the process ends
	}
}

// checkReady asks the agent once whether it accepts clients. The error is that of an invalid address.
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

// Alive reports whether the present process is still running. A paused process counts as running.
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

// Restart starts the next process at the same addresses after the present one has ended. A fresh one has no persisted state; any other
// has what the process before it persisted. Restart returns an error that wraps ErrRunning if the present process has not ended.
func (p *Process) Restart(fresh bool) error {
	if p.Alive() {
		return fmt.Errorf("restarting %s: %w", p.filePrefix, ErrRunning)
	}
	return p.start(fresh)
}
