package soak

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"syscall"
)

// child is one process that a run started. The kernel kills it when the soak test's own process exits.
type child struct {
	cmd      *exec.Cmd
	commands io.WriteCloser // its standard input
	ended    chan struct{}  // closed when the process has exited
	err      error          // the result of Wait; read it only after ended is closed
}

// launch starts a process in a process group of its own, with a pipe for commands as its standard input.
func launch(cmd *exec.Cmd) (*child, error) {
	commands, err := cmd.StdinPipe()
	if err != nil {
		return nil, err
	}
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	c := &child{cmd: cmd, commands: commands, ended: make(chan struct{})}
	started := make(chan error, 1)
	go func() {
		runtime.LockOSThread() // never unlocked: the kernel kills the child when the thread that started it exits
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

// send writes a command line to the process's standard input. It ignores errors: the process may have exited.
func (c *child) send(format string, args ...any) { fmt.Fprintf(c.commands, format+"\n", args...) }

func (c *child) signal(s syscall.Signal) { c.cmd.Process.Signal(s) }

// kill sends SIGKILL and waits until the process has exited.
func (c *child) kill() {
	c.cmd.Process.Kill()
	<-c.ended
}

// exitText says in a text how a process exited. exitErr is the result of its Wait, which is nil after exit code 0.
func exitText(exitErr error) string {
	if exitErr == nil {
		return "exit status 0"
	}
	return exitErr.Error()
}

// errNoFreePort is the error of freePort after 100 ports that are in use.
var errNoFreePort = errors.New("no free port for an agent: 100 random ports are in use")

// Agents listen on ports below the range that the machine uses for outgoing connections.
const (
	lowestAgentPort = 13000
	agentPorts      = 10000 // number of ports from lowestAgentPort
)

// freePort returns an address of the host with a random port of the agents' range that is free. randomInt returns a random number below
// its argument.
func freePort(host string, randomInt func(int) int) (string, error) {
	for range 100 {
		addr := net.JoinHostPort(host, strconv.Itoa(lowestAgentPort+randomInt(agentPorts)))
		if l, err := net.Listen("tcp", addr); err == nil {
			return addr, l.Close()
		}
	}
	return "", errNoFreePort
}

// replaceFile replaces the content of a file atomically, as the deployment platform does.
func replaceFile(path string, text []byte) error {
	temporary := path + ".new"
	if err := os.WriteFile(temporary, text, 0o600); err != nil {
		return err
	}
	return os.Rename(temporary, path)
}
