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

// send sends a line to the process.
func (c *child) send(format string, args ...any) { fmt.Fprintf(c.commands, format+"\n", args...) }

func (c *child) signal(s syscall.Signal) { c.cmd.Process.Signal(s) }

// kill ends it at once and waits for it.
func (c *child) kill() {
	c.cmd.Process.Kill()
	<-c.ended
}

// errPorts is returned where no port is free.
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

// replaceFile replaces a file's content atomically, as the platform does.
func replaceFile(path string, text []byte) error {
	part := path + ".new"
	if err := os.WriteFile(part, text, 0o600); err != nil {
		return err
	}
	return os.Rename(part, path)
}
