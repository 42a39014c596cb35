package processrig

import (
	"context"
	"errors"
	"fmt"
	"os/exec"
	"syscall"
	"time"
)

// Errors of signals and of Restart.
var (
	ErrRunning = errors.New("the process before has not ended")
	ErrExited  = errors.New("the process has ended")
	// ErrKilled says that the agent did not end within StopTimeout after SIGTERM.
	ErrKilled = errors.New("the agent had to be killed after SIGTERM")
)

// Kill ends the process at once with SIGKILL, as a machine that fails would, and returns when it has been waited for.
func (p *Process) Kill() {
	cmd, exited := p.current()
	p.expectExit()
	cmd.Process.Signal(syscall.SIGKILL)
	<-exited
}

// Terminate ends the process gracefully with SIGTERM, as a planned restart does. One that has not ended after StopTimeout is killed;
// the error then wraps ErrKilled.
func (p *Process) Terminate() error {
	cmd, exited := p.current()
	p.expectExit()
	if !terminate(cmd, exited) {
		return fmt.Errorf("%s: %w", p.filePrefix, ErrKilled)
	}
	return nil
}

// expectExit notes that the rig ends the present process, so that Stop does not report it.
func (p *Process) expectExit() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stoppedByRig = true
}

// terminate sends SIGTERM and waits for the process's end. A paused process is resumed, as it gets SIGTERM only then. It returns
// false where the process had to be killed.
func terminate(cmd *exec.Cmd, exited <-chan struct{}) bool {
	cmd.Process.Signal(syscall.SIGTERM)
	cmd.Process.Signal(syscall.SIGCONT)
	select {
	case <-exited:
		return true
	case <-time.After(StopTimeout):
		cmd.Process.Kill()
		<-exited
		return false
	}
}

// Stop ends the agent as Terminate does, and returns the processor time of all its processes. It returns an error where the agent
// had ended by itself, ended with one, or had to be killed.
func (p *Process) Stop() (cpu time.Duration, err error) {
	cmd, exited := p.current()
	switch {
	case isClosed(exited):
		err = p.unexpectedExit()
	case terminate(cmd, exited):
		err = p.exitErr
	default:
		err = ErrKilled
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.earlierCPU, err
}

// unexpectedExit returns an error where the process has ended and the rig did not end it.
func (p *Process) unexpectedExit() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stoppedByRig {
		return nil
	}
	return fmt.Errorf("the agent ended by itself: %v; its log is %s", p.exitErr, p.logFile())
}

// Pause stops the process with SIGSTOP: it holds its sockets and answers nothing. The error wraps ErrExited where it has ended.
func (p *Process) Pause() error { return p.signal(syscall.SIGSTOP) }

// Resume lets a paused process go on with SIGCONT. Its timers that came due meanwhile fire at once.
func (p *Process) Resume() error { return p.signal(syscall.SIGCONT) }

func (p *Process) signal(s syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if isClosed(p.exited) {
		return fmt.Errorf("%s: %w", p.filePrefix, ErrExited)
	}
	return p.cmd.Process.Signal(s)
}

// throttlePeriod is the time of which a throttled process runs a part: far below its peers' timeouts, and longer than the kernel
// takes to let it go on.
const throttlePeriod = 50 * time.Millisecond

// Throttle lets the process run for a fraction of the time only, as on a machine that is overcommitted, until the duration is over
// or the context ends. The error wraps ErrExited where the process ends meanwhile.
func (p *Process) Throttle(ctx context.Context, runFraction float64, duration time.Duration) error {
	runs := time.Duration(runFraction * float64(throttlePeriod))
	for end := time.Now().Add(duration); time.Now().Before(end); {
		if done, err := p.hold(ctx, p.Pause, throttlePeriod-runs); done || err != nil {
			return err
		}
		if done, err := p.hold(ctx, p.Resume, runs); done || err != nil {
			return err
		}
	}
	return nil
}

// hold signals the process and waits. done says that the context has ended: a process that is then paused is resumed by Stop.
func (p *Process) hold(ctx context.Context, signal func() error, wait time.Duration) (done bool, err error) {
	if err := signal(); err != nil {
		return false, err
	}
	select {
	case <-ctx.Done():
		return true, nil
	case <-time.After(wait):
		return false, nil
	}
}
