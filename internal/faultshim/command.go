package faultshim

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// errnoByName returns the system error with a name such as EMFILE. known is false for an error that commands can't name.
func errnoByName(name string) (errno syscall.Errno, known bool) {
	errnos := map[string]syscall.Errno{
		"EADDRNOTAVAIL": syscall.EADDRNOTAVAIL,
		"ECONNABORTED":  syscall.ECONNABORTED,
		"ECONNRESET":    syscall.ECONNRESET,
		"EHOSTUNREACH":  syscall.EHOSTUNREACH,
		"EINTR":         syscall.EINTR,
		"EIO":           syscall.EIO,
		"EMFILE":        syscall.EMFILE,
		"ENETDOWN":      syscall.ENETDOWN,
		"ENETUNREACH":   syscall.ENETUNREACH,
		"ENFILE":        syscall.ENFILE,
		"ENOBUFS":       syscall.ENOBUFS,
		"ENOMEM":        syscall.ENOMEM,
		"ENOSPC":        syscall.ENOSPC,
		"EOPNOTSUPP":    syscall.EOPNOTSUPP,
		"EPERM":         syscall.EPERM,
		"EPIPE":         syscall.EPIPE,
		"EPROTO":        syscall.EPROTO,
		"ETIMEDOUT":     syscall.ETIMEDOUT,
	}
	errno, known = errnos[name]
	return errno, known
}

// CommandError is the error of a command that is malformed or not known.
type CommandError struct {
	Line string // the whole command
	Text string // what is wrong with it
}

// Error implements error.
func (e *CommandError) Error() string { return fmt.Sprintf("command %q: %s", e.Line, e.Text) }

// Run reads commands, one a line, and executes them until the reader ends. It calls invalid for each command that can't be executed.
func (m *Machine) Run(commands io.Reader, invalid func(line string, err error)) {
	lines := bufio.NewScanner(commands)
	for lines.Scan() {
		if err := m.Execute(lines.Text()); err != nil {
			invalid(lines.Text(), err)
		}
	}
}

// Execute executes one command. It returns a *CommandError if the command is malformed or not known, or the error of parsing a number or a
// duration.
func (m *Machine) Execute(line string) error {
	words := strings.Fields(line)
	if len(words) < 2 {
		return &CommandError{line, "must have a name and an argument"}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	switch name, argument := words[0], words[1]; name {
	case "clock":
		return parseDuration(&m.clockOffset, argument)
	case "shortread":
		var duration time.Duration
		err := parseDuration(&duration, argument)
		m.shortUntil = time.Now().Add(duration)
		return err
	case "hold":
		if err := parseDuration(&m.holdDuration, argument); err != nil {
			return err
		}
		return parseCount(&m.holdsRemaining, words)
	case "disk":
		m.diskErr = nil
		if errno, known := errnoByName(argument); known {
			m.diskErr = errno
		}
		return nil
	case "plant":
		return m.plant(line, words)
	default:
		return m.failNext(line, words)
	}
}

// parseDuration parses a duration into to.
func parseDuration(to *time.Duration, text string) (err error) {
	*to, err = time.ParseDuration(text)
	return err
}

// parseCount parses the third word of a command as a count. The count is 1 if there is no third word.
func parseCount(to *int, words []string) (err error) {
	*to = 1
	if len(words) > 2 {
		*to, err = strconv.Atoi(words[2])
	}
	return err
}

// plant sets the probability of a planted fault. m.mu is held.
func (m *Machine) plant(line string, words []string) (err error) {
	if len(words) < 3 {
		return &CommandError{line, "must have the name of a planted fault and its probability"}
	}
	m.planted[PlantedFault(words[1])], err = strconv.ParseFloat(words[2], 64)
	return err
}

// failNext makes the next calls at a point fail. m.mu is held.
func (m *Machine) failNext(line string, words []string) error {
	point := Point(words[0])
	switch point {
	case Accept, Connect, ClientRead, ServerRead, ServerWrite:
	default:
		return &CommandError{line, "unknown command"}
	}
	errno, known := errnoByName(words[1])
	if !known {
		return &CommandError{line, "unknown system error"}
	}
	failure := &pendingFailure{errno: errno}
	m.failures[point] = failure
	return parseCount(&failure.remaining, words)
}
