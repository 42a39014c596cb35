// Package handover finds the socket on which an agent takes its clients: one that the platform holds through a change of
// version, or one of the agent's own.
package handover

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"syscall"
	"time"
)

// Inherits reports whether the environment names a socket that the platform holds. Then another process with the same
// limits may be serving from it.
func Inherits(getenv func(string) string) bool { return getenv("PROXY_ACCEPT_FD") != "" }

// Listen returns the socket that the environment names, or else binds the address. inherited says which: an inherited
// socket stays open elsewhere, so that connections which this process does not accept are accepted by another.
func Listen(getenv func(string) string, addr string) (l net.Listener, inherited bool, err error) {
	if !Inherits(getenv) {
		if l, err = ListenWithRetry(addr); err != nil {
			return nil, false, fmt.Errorf("listening for clients: %w", err)
		}
		return l, false, nil
	}
	fd, err := strconv.ParseUint(getenv("PROXY_ACCEPT_FD"), 10, 16)
	if err != nil {
		return nil, false, fmt.Errorf("PROXY_ACCEPT_FD: %w", err)
	}
	file := os.NewFile(uintptr(fd), "inherited listener")
	defer file.Close() // the listener has a descriptor of its own
	l, err = net.FileListener(file)
	if err != nil {
		return nil, false, fmt.Errorf("descriptor %d of PROXY_ACCEPT_FD: %w", fd, err)
	}
	return l, true, nil
}

// How long a socket that can't be had is tried again, and how often.
const (
	listenFor   = 5 * time.Second
	listenEvery = 50 * time.Millisecond
)

// ListenWithRetry binds an address. A system call that fails, as for lack of descriptors or memory or while another process still
// holds the address, is made again for some seconds.
func ListenWithRetry(addr string) (net.Listener, error) {
	for end := time.Now().Add(listenFor); ; time.Sleep(listenEvery) {
		l, err := net.Listen("tcp", addr)
		if err == nil {
			return l, nil
		}
		if _, failed := errors.AsType[syscall.Errno](err); !failed || time.Now().After(end) {
			return nil, err
		}
	}
}
