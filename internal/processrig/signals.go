package processrig

import (
	"context"
	"errors"
	"fmt"
	"os/exec"
	"syscall"
	"time"
)

// Errors of the methods of Process.
var (
	// ErrRunning says that Restart was called before the present process had ended.
	ErrRunning = errors.New("the present process has not ended")
	// ErrExited says that a signal could not be sent because the process has ended.
	ErrExited = errors.New("the process has ended")
	// ErrKilled says that the agent did not end within StopTimeout after SIGTERM, and was killed.
	ErrKilled = fmt.Errorf("the agent did not end within %v after SIGTERM and was killed", StopTimeout)
)

// Kill ends the process at once with SIGKILL, as a failing machine would, and returns after the process has been waited for.
func (p *Process) Kill() {
	cmd, exited := p.current()
	p.expectExit()
	cmd.Process.Signal(syscall.SIGKILL)
	<-exited
}

// Terminate ends the process gracefully with SIGTERM, as a planned restart does. If the process does not end within StopTimeout it is
// killed, and the error wraps ErrKilled.
func (p *Process) Terminate() error {
	cmd, exited := p.current()
	p.expectExit()
	if !terminate(cmd, exited) {
		return fmt.Errorf("terminating %s: %w", p.filePrefix, ErrKilled)
	}
	return nil
}

// expectExit records that the rig ends the present process, so that Stop does not report its exit as unexpected.
func (p *Process) expectExit() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stoppedByRig = true
}

// terminate sends SIGTERM and waits for the process's end. It also resumes the process, because a paused one handles SIGTERM only after
// that. It returns false if the process did not end within StopTimeout and was killed.
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

// Stop ends the agent as Terminate does, once it handles signals, and returns the total CPU time of all its processes. It returns an error
// if the agent had already ended without being told to, exited with an error, or had to be killed.
func (p *Process) Stop() (cpu time.Duration, err error) {
	p.awaitSignalHandling()
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

// unexpectedExit returns an error if the process, which has ended, was not ended by the rig.
func (p *Process) unexpectedExit() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stoppedByRig {
		return nil
	}
	return fmt.Errorf("the agent exited unexpectedly: %s; its log is %s", exitText(p.exitErr), p.logFile())
}

// exitText says in an error how a process exited. exitErr is the result of its Wait, which is nil after exit code 0.
func exitText(exitErr error) string {
	if exitErr == nil {
		return "exit status 0"
	}
	return exitErr.Error()
}

// Pause stops the process with SIGSTOP: it keeps its sockets open and answers nothing. The error wraps ErrExited if the process has ended.
func (p *Process) Pause() error { return p.signal(syscall.SIGSTOP) }

// Resume continues a paused process with SIGCONT. Timers of the process that expired during the pause fire at once. The error wraps
// ErrExited if the process has ended.
func (p *Process) Resume() error { return p.signal(syscall.SIGCONT) }

// signal sends a signal to the present process.
func (p *Process) signal(s syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if isClosed(p.exited) {
		return fmt.Errorf("signalling %s: %w", p.filePrefix, ErrExited)
	}
	return p.cmd.Process.Signal(s)
}

// throttlePeriod is one cycle of running and pausing a throttled process. It is far below the timeouts of the process's peers, and longer
// than the kernel takes to resume the process.
const throttlePeriod = 50 * time.Millisecond

// Throttle alternately pauses and resumes the process, so that it runs for only a fraction of the time, as on an overcommitted machine.
// It returns when the duration is over or the context ends. The error wraps ErrExited if the process ends meanwhile.
func (p *Process) Throttle(ctx context.Context, runFraction float64, duration time.Duration) error {
	runs := time.Duration(runFraction * float64(throttlePeriod))
	for end := time.Now().Add(duration); time.Now().Before(end); {
		if done, err := p.signalAndWait(ctx, p.Pause, throttlePeriod-runs); done || err != nil {
			return err
		}
		if done, err := p.signalAndWait(ctx, p.Resume, runs); done || err != nil {
			return err
		}
	}
	return nil
}

// signalAndWait sends a signal to the process and then waits. done reports that the context has ended; a process that is paused at that
// time stays so until Terminate or Stop resumes it.
func (p *Process) signalAndWait(ctx context.Context, signal func() error, wait time.Duration) (done bool, err error) {
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
