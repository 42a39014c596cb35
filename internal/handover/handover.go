// Package handover finds the socket on which an agent accepts its clients: one that the platform holds through a change of
// version, or one of the agent's own.
//
// The platform names its socket by the environment variable PROXY_ACCEPT_FD, a descriptor that the process inherits. For a while two
// processes, the old version and the new one, accept from that socket. Closing it in one leaves it open in the other, and no
// connection is reset in between.
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

// descriptorEnv is the environment variable that names an inherited socket.
const descriptorEnv = "PROXY_ACCEPT_FD"

// Inherits reports whether the environment names a socket that the platform holds. Then another process with the same limits may
// accept from it, too.
func Inherits(getenv func(string) string) bool { return getenv(descriptorEnv) != "" }

// Listen returns a listener on the socket that the environment names, or else on the address. inherited says which: connections
// that this process does not accept from an inherited socket are accepted by another. The error says which step failed.
func Listen(getenv func(string) string, addr string) (l net.Listener, inherited bool, err error) {
	if !Inherits(getenv) {
		l, err = ListenWithRetry(addr)
		if err != nil {
			return nil, false, fmt.Errorf("listening for clients: %w", err)
		}
		return l, false, nil
	}
	l, err = listenOnDescriptor(getenv(descriptorEnv))
	if err != nil {
		return nil, false, err
	}
	return l, true, nil
}

// listenOnDescriptor returns a listener on the socket whose descriptor the text gives.
func listenOnDescriptor(text string) (net.Listener, error) {
	fd, err := strconv.ParseUint(text, 10, 16)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", descriptorEnv, err)
	}
	file := os.NewFile(uintptr(fd), "inherited listener")
	defer file.Close() // the listener has a descriptor of its own
	l, err := net.FileListener(file)
	if err != nil {
		return nil, fmt.Errorf("descriptor %d of %s: %w", fd, descriptorEnv, err)
	}
	return l, nil
}

// Retries of a socket that can't be had.
const (
	retryWindow   = 5 * time.Second
	retryInterval = 50 * time.Millisecond
)

// ListenWithRetry listens on a TCP address. It retries a system call that fails, for some seconds: for lack of descriptors or
// memory, or while another process still holds the address, the agent would otherwise not start at all. Other errors, as of an
// address that can't be parsed, are returned at once.
func ListenWithRetry(addr string) (net.Listener, error) {
	for end := time.Now().Add(retryWindow); ; time.Sleep(retryInterval) {
		l, err := net.Listen("tcp", addr)
		if err == nil {
			return l, nil
		}
		_, isSystemError := errors.AsType[syscall.Errno](err)
		if !isSystemError || time.Now().After(end) {
			return nil, err
		}
	}
}
