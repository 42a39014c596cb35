// Package processrig is a rig of real agent processes beside a world of stand-in nodes on loopback: it starts them, and does to
// them what befalls processes in a fleet. A process can be killed with SIGKILL, ended with SIGTERM, paused with SIGSTOP and let
// go with SIGCONT, once or for a part of the time, and started again, with what it had learnt or without. Between agents and nodes the world's relays shape
// each path (delay, loss, cuts one way or both).
//
// Each child is in a process group of its own, so that Ctrl-C is the rig's to pass on, and gets SIGKILL from the kernel when
// the thread that started it ends (Pdeathsig): a test binary that dies leaves no agent behind. Every child is waited for.
package processrig

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"ryeweir/internal/emulator"
)

const (
	// ReadyTimeout is how long an agent has to take clients after it was started.
	ReadyTimeout = 20 * time.Second
	// StopTimeout is how long an agent has to end after SIGTERM: the longest deadline and the drain, with room to spare.
	StopTimeout = 8 * time.Second
)

// Ports for agents come from below those that the machine gives to outgoing connections: a port of those that was free a moment
// ago may be some other agent's connection when its agent listens. Each agent of a day has a band of its own.
const (
	lowestPort    = 12000
	portsPerAgent = 300
	portAttempts  = 100
)

// FreePort is a port of a loopback host that was free a moment ago, in the band of an agent by its number.
func FreePort(host string, agent int) (addr string, err error) {
	band := lowestPort + agent%emulator.MaxProcesses*portsPerAgent
	for range portAttempts {
		var l net.Listener
		addr = net.JoinHostPort(host, strconv.Itoa(band+rand.IntN(portsPerAgent)))
		if l, err = net.Listen("tcp", addr); err == nil {
			return addr, l.Close()
		}
	}
	return "", err
}

// FreePortPair are addresses for an agent's clients and its operators.
func FreePortPair(host string, agent int) (clients, operators string, err error) {
	if clients, err = FreePort(host, agent); err != nil {
		return "", "", err
	}
	for operators = clients; operators == clients && err == nil; {
		operators, err = FreePort(host, agent)
	}
	return clients, operators, err
}

// Process is an agent's process, and the ones that follow it at the same addresses when it is started again.
type Process struct {
	Addr    string // where its clients connect; the same for each life
	Control string // where its operators do

	command     []string
	configFile  string // the platform's file
	filePrefix  string // the files' name without an ending
	incarnation int    // how many processes came before this one

	mu           sync.Mutex
	cmd          *exec.Cmd
	log          *os.File
	exited       chan struct{} // closed when the present process has ended
	exitErr      error         // how; read after ended
	paused       bool
	stoppedByRig bool          // the present process was ended by the rig
	earlierCPU   time.Duration // of the lives that have ended
}

// Start starts an agent of a world by a command, such as the path of the program and "agent". Its configuration, log and learnt
// state go to a folder. peers may be nil.
func Start(w *emulator.World, agent int, command []string, dir string, limits emulator.Limits, peers *Peers) (*Process, error) {
	if peers != nil {
		command = slices.Concat(command, peers.Args(agent))
	}
	// An address of its own, so that no other rig on this machine takes its ports while it is being started again.
	host := fmt.Sprintf("127.%d.%d.%d", 128+rand.IntN(64), rand.IntN(256), 1+rand.IntN(254))
	listen, control, err := FreePortPair(host, agent)
	if err != nil {
		return nil, err
	}
	known := w.EndpointList(agent)
	text, err := w.Scenario.AgentConfig(agent, listen, control, w.DiscoveryAddr(agent), limits, &known)
	if err != nil {
		return nil, err
	}
	base := filepath.Join(dir, w.Scenario.Agents[agent])
	if err := os.WriteFile(base+".json", text, 0o600); err != nil {
		return nil, fmt.Errorf("the agent's configuration: %w", err)
	}
	p := &Process{Addr: listen, Control: control, command: command, configFile: base + ".json", filePrefix: base}
	return p, p.start(true)
}

// start begins a life of the process: with what the one before it left in its folder for temporary files, or in a new one.
func (p *Process) start(fresh bool) error {
	if fresh {
		p.incarnation++
	}
	tmp := fmt.Sprintf("%s.tmp%d", p.filePrefix, p.incarnation)
	if err := os.MkdirAll(tmp, 0o700); err != nil {
		return fmt.Errorf("the agent's temporary folder: %w", err)
	}
	log, err := os.OpenFile(p.filePrefix+".log", os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return fmt.Errorf("the agent's log: %w", err)
	}
	cmd := exec.Command(p.command[0], p.command[1:]...)
	cmd.Env = append(os.Environ(), "PROXY_CONFIG="+p.configFile, "TMPDIR="+tmp)
	cmd.Stdout, cmd.Stderr = log, log
	// Ctrl-C is ours to pass on; the kernel ends the child when the thread that started it ends, so the thread is kept until
	// the child has been started and stays locked while the child lives.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	started := make(chan error, 1)
	ended := make(chan struct{})
	go func() {
		runtime.LockOSThread() // never unlocked: the thread ends with this goroutine, after the child
		if err := cmd.Start(); err != nil {
			started <- err
			return
		}
		started <- nil
		err := cmd.Wait()
		log.Close()
		p.mu.Lock()
		p.exitErr, p.earlierCPU = err, p.earlierCPU+cmd.ProcessState.UserTime()+cmd.ProcessState.SystemTime()
		p.mu.Unlock()
		close(ended)
	}()
	if err := <-started; err != nil {
		log.Close()
		return fmt.Errorf("starting %s: %w", p.command[0], err)
	}
	p.mu.Lock()
	p.cmd, p.log, p.exited, p.paused, p.stoppedByRig = cmd, log, ended, false, false
	p.mu.Unlock()
	return nil
}

func (p *Process) current() (*exec.Cmd, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd, p.exited
}

// Ready waits until the agent takes clients.
func (p *Process) Ready(ctx context.Context) error {
	_, ended := p.current()
	ctx, cancel := context.WithTimeout(ctx, ReadyTimeout)
	defer cancel()
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.Addr+"/ready", nil)
		if err != nil {
			return err
		}
		if resp, err := http.DefaultClient.Do(req); err == nil {
			io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ended:
			return fmt.Errorf("the agent ended before it was ready: %v; its log is %s.log", p.exitErr, p.filePrefix)
		case <-ctx.Done():
			return fmt.Errorf("the agent is not ready after %v; its log is %s.log", ReadyTimeout, p.filePrefix)
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// Alive says whether the present process has not ended.
func (p *Process) Alive() bool {
	_, ended := p.current()
	select {
	case <-ended:
		return false
	default:
		return true
	}
}

// Kill ends the process at once with SIGKILL, as a machine that fails would, and returns when it has been reaped.
func (p *Process) Kill() {
	cmd, ended := p.current()
	p.mu.Lock()
	p.stoppedByRig = true
	p.mu.Unlock()
	cmd.Process.Signal(syscall.SIGKILL)
	<-ended
}

// Terminate ends the process in order with SIGTERM, as a planned restart does, and by force after StopIn.
func (p *Process) Terminate() error {
	cmd, ended := p.current()
	p.mu.Lock()
	p.stoppedByRig = true
	p.mu.Unlock()
	cmd.Process.Signal(syscall.SIGTERM)
	cmd.Process.Signal(syscall.SIGCONT)
	select {
	case <-ended:
		return nil
	case <-time.After(StopTimeout):
		cmd.Process.Kill()
		<-ended
		return fmt.Errorf("%s: the agent had to be killed after SIGTERM", p.filePrefix)
	}
}

// Pause stops the process with SIGSTOP: it holds its sockets and answers nothing, as a peer that is slow beyond measure.
func (p *Process) Pause() error {
	return p.signal(syscall.SIGSTOP, true)
}

// Resume lets a paused process go on with SIGCONT. Its timers have all come due meanwhile.
func (p *Process) Resume() error {
	return p.signal(syscall.SIGCONT, false)
}

// throttlePeriod is the time of which a slow process runs a part: far below what its peers wait for an answer, and longer than the
// system's scheduler takes to let it go on.
const throttlePeriod = 50 * time.Millisecond

// Throttle lets the process run for a part of the time only, for so long or until the context ends, as on a machine that others have
// most of.
func (p *Process) Throttle(ctx context.Context, part float64, away time.Duration) error {
	runs := time.Duration(part * float64(throttlePeriod))
	for end := time.Now().Add(away); time.Now().Before(end); {
		for _, half := range []struct {
			do    func() error
			lasts time.Duration
		}{{p.Pause, throttlePeriod - runs}, {p.Resume, runs}} {
			if err := half.do(); err != nil {
				return err
			}
			select {
			case <-ctx.Done():
				return nil // Stop lets it go on
			case <-time.After(half.lasts):
			}
		}
	}
	return nil
}

func (p *Process) signal(s syscall.Signal, paused bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.exited:
		return fmt.Errorf("%s: the process has ended", p.filePrefix)
	default:
	}
	p.paused = paused
	return p.cmd.Process.Signal(s)
}

// Restart starts the next process at the same addresses after the present one has ended: with a new folder for temporary files,
// and so with nothing learnt, where fresh; else with what the one before left there.
func (p *Process) Restart(fresh bool) error {
	if p.Alive() {
		return fmt.Errorf("%s: the process before has not ended", p.filePrefix)
	}
	return p.start(fresh)
}

// Stop ends the agent in order, or after a while by force, and returns the processor time that all its lives took. A paused
// process is let go first, as SIGTERM alone would wait for it.
func (p *Process) Stop() (cpu time.Duration, err error) {
	cmd, ended := p.current()
	select {
	case <-ended:
		p.mu.Lock()
		if !p.stoppedByRig {
			err = fmt.Errorf("the agent ended by itself: %v; its log is %s.log", p.exitErr, p.filePrefix)
		}
		p.mu.Unlock()
	default:
		cmd.Process.Signal(syscall.SIGTERM)
		cmd.Process.Signal(syscall.SIGCONT)
		select {
		case <-ended:
			err = p.exitErr
		case <-time.After(StopTimeout):
			cmd.Process.Kill()
			<-ended
			err = errors.New("the agent had to be killed")
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.earlierCPU, err
}
