// Package handover opens the listener on which an agent accepts its clients. It uses either a socket that the platform keeps open
// during a change of version, or a socket of the agent's own.
//
// The platform passes its socket as a file descriptor that the process inherits, and gives the descriptor's number in the
// environment variable PROXY_ACCEPT_FD. For a while two processes, the old version and the new one, accept from that socket. When
// one of them closes it, it stays open in the other, so no connection is reset during the change.
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

// descriptorEnv is the environment variable that holds the descriptor number of an inherited socket.
const descriptorEnv = "PROXY_ACCEPT_FD"

// Inherits reports whether the environment gives the descriptor number of an inherited socket. If so, another process of the agent may
// accept from it at the same time. Both share the limits that the platform sets, such as that on memory, so the caller must not claim
// all of a limit for itself.
func Inherits(getenv func(string) string) bool { return getenv(descriptorEnv) != "" }

// Listen returns a listener on the inherited socket whose descriptor number the environment gives, or on addr if it gives none.
// inherited reports whether it is the inherited socket. Connections on an inherited socket that this process does not accept are
// accepted by another process. The error says which step failed.
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

// listenOnDescriptor returns a listener on the socket with the given descriptor number.
func listenOnDescriptor(text string) (net.Listener, error) {
	fd, err := strconv.ParseUint(text, 10, 16)
	if err != nil {
		return nil, fmt.Errorf("parsing the descriptor number in %s: %w", descriptorEnv, err)
	}
	file := os.NewFile(uintptr(fd), "inherited listener")
	defer file.Close() // the listener uses its own duplicate of the descriptor
	l, err := net.FileListener(file)
	if err != nil {
		return nil, fmt.Errorf("listening on inherited descriptor %d (from %s): %w", fd, descriptorEnv, err)
	}
	return l, nil
}

// Timing of the retries in ListenWithRetry.
const (
	retryWindow   = 5 * time.Second
	retryInterval = 50 * time.Millisecond
)

// ListenWithRetry listens on a TCP address. If a system call fails, it tries again every retryInterval for retryWindow, because
// otherwise a temporary lack of descriptors or memory, or another process that still holds the address, would keep the agent from
// starting. Temporary and permanent errors of system calls are not told apart, so a permanent one, such as a lack of permission, is
// returned only after retryWindow. All other errors, such as an address that can't be parsed, are returned at once. The error is that
// of the last try; it does not say how long the retries took.
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
